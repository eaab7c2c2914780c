package peer

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"gopkg.in/tomb.v2"

	"github.com/crocuscross/crocuscross/peerpb"
)

// Handler serves the streams of one kind. ctx is canceled when the session ends; the stream is
// closed when ServeStream returns.
type Handler interface {
	ServeStream(ctx context.Context, s *Stream) error
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, s *Stream) error

// ServeStream calls f.
func (f HandlerFunc) ServeStream(ctx context.Context, s *Stream) error { return f(ctx, s) }

// ServerOptions configures a Server.
type ServerOptions struct {
	// MaxSessions bounds the number of open sessions.
	MaxSessions int
	// MaxStreams bounds the number of streams served concurrently over all sessions.
	MaxStreams int
	// HeadTimeout bounds the time to receive the Head of a new stream.
	HeadTimeout time.Duration
	Meter       Meter
	// LocalityOf returns the locality of a peer for Meter. If it is nil, the locality is unknown.
	LocalityOf func(netip.Addr) Locality
	Logger     *slog.Logger
}

// DefaultServerOptions returns options for a fleet of about a thousand daemons.
func DefaultServerOptions() ServerOptions {
	return ServerOptions{
		MaxSessions: 4096,
		MaxStreams:  8192,
		HeadTimeout: 5 * time.Second,
		Meter:       NoMeter{},
		Logger:      slog.New(slog.DiscardHandler),
	}
}

// Server accepts sessions from other daemons and serves their streams.
type Server struct {
	opts     ServerOptions
	handlers map[peerpb.Kind]Handler
	streams  atomic.Int64

	// serveCalls tracks the calls of Serve in progress.
	serveCalls sync.WaitGroup

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	t        tomb.Tomb
}

// NewServer returns a server without handlers. The caller must close it.
func NewServer(opts ServerOptions) *Server {
	s := &Server{opts: opts, handlers: map[peerpb.Kind]Handler{}, sessions: map[*yamux.Session]struct{}{}}
	// A tomb rejects new goroutines once its last one has ended. This goroutine keeps it alive
	// until Close.
	s.t.Go(func() error {
		<-s.t.Dying()
		s.serveCalls.Wait()
		return nil
	})
	return s
}

// Handle sets the handler of a kind. It must be called before Serve.
func (s *Server) Handle(kind peerpb.Kind, h Handler) { s.handlers[kind] = h }

// Serve accepts sessions from ln until Close, and then returns nil. It closes ln.
func (s *Server) Serve(ln net.Listener) error {
	if !s.beginServe() {
		return ln.Close()
	}
	defer s.serveCalls.Done()
	result := make(chan error, 1)
	s.t.Go(func() error {
		result <- s.accept(ln)
		return nil
	})
	s.t.Go(func() error {
		<-s.t.Dying()
		return ln.Close()
	})
	return <-result
}

// beginServe registers a call of Serve, which keeps the tomb alive so that it still accepts
// goroutines. It returns false after Close.
func (s *Server) beginServe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.t.Alive() {
		return false
	}
	s.serveCalls.Add(1)
	return true
}

func (s *Server) accept(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			if !s.t.Alive() {
				return nil
			}
			if !isTemporary(err) {
				return errors.Wrap(err, "accept peer connection")
			}
			continue
		}
		s.t.Go(func() error {
			s.serveConn(conn)
			return nil
		})
	}
}

// Close closes all sessions and waits for the handlers to return.
func (s *Server) Close() error {
	s.mu.Lock()
	s.t.Kill(nil)
	for sess := range s.sessions {
		_ = sess.Close()
	}
	s.mu.Unlock()
	return s.t.Wait()
}

func (s *Server) serveConn(conn net.Conn) {
	sess, err := yamux.Server(&frameConn{Conn: conn}, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer sess.Close()
	if !s.add(sess) {
		s.opts.Meter.Rejected(RejectSessions)
		return
	}
	defer s.remove(sess)
	remote := remoteOf(conn, s.opts.LocalityOf)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := sess.AcceptStream()
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, yamux.ErrSessionShutdown) {
				s.opts.Meter.Rejected(RejectSession)
				s.opts.Logger.Debug("peer: session broken", "remote", sess.RemoteAddr(), "error", err)
			}
			cancel()
			return
		}
		if s.streams.Add(1) > int64(s.opts.MaxStreams) {
			s.streams.Add(-1)
			s.opts.Meter.Rejected(RejectStreams)
			_ = conn.Close()
			continue
		}
		wg.Go(func() {
			defer s.streams.Add(-1)
			s.serveStream(ctx, conn, remote)
		})
	}
}

// serveStream reads the Head and calls the handler of its kind. A peer that sends an invalid
// Head, or none in time, loses only this stream.
func (s *Server) serveStream(ctx context.Context, conn net.Conn, remote *remote) {
	st := newStream(conn, peerpb.Kind_KIND_UNSPECIFIED, s.opts.Meter, remote)
	defer st.Close()
	_ = st.SetReadDeadline(time.Now().Add(s.opts.HeadTimeout))
	var head peerpb.Head
	if err := st.RecvMax(&head, MaxHeadBytes); err != nil {
		s.opts.Meter.Rejected(rejectReasonOf(err))
		return
	}
	h, ok := s.handlers[head.GetKind()]
	if !ok || head.GetVersion() != protocolVersion {
		s.opts.Meter.Rejected(RejectKind)
		s.opts.Logger.Warn("peer: stream rejected", "kind", head.GetKind(), "version", head.GetVersion())
		return
	}
	st.kind = head.GetKind()
	_ = st.SetReadDeadline(time.Time{})
	if err := s.handle(ctx, h, st); err != nil {
		s.opts.Logger.Debug("peer: exchange ended", "kind", st.kind, "error", err)
	}
}

// handle calls the handler and turns a panic into an error, so that it ends only this stream. If
// a panic ended the process, the call that caused it would be retried on the next daemon and
// crash one daemon after another.
func (s *Server) handle(ctx context.Context, h Handler, st *Stream) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Newf("handler panicked: %v", p)
			s.opts.Logger.Error("peer: handler panicked", "kind", st.kind, "panic", p, "stack", string(debug.Stack()))
		}
	}()
	return h.ServeStream(ctx, st)
}

func (s *Server) add(sess *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= s.opts.MaxSessions || !s.t.Alive() {
		return false
	}
	s.sessions[sess] = struct{}{}
	return true
}

func (s *Server) remove(sess *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess)
}

func rejectReasonOf(err error) RejectReason {
	var netErr net.Error
	switch {
	case errors.Is(err, ErrMessageTooLarge):
		return RejectLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		return RejectSlow
	}
	return RejectHead
}

func isTemporary(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
