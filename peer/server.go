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

// Handler serves one kind of stream. ctx ends with the session; the stream is
// closed when the handler returns.
type Handler interface {
	ServeStream(ctx context.Context, s *Stream) error
}

// HandlerFunc is a function as a Handler.
type HandlerFunc func(ctx context.Context, s *Stream) error

// ServeStream calls f.
func (f HandlerFunc) ServeStream(ctx context.Context, s *Stream) error { return f(ctx, s) }

// ServerOptions holds the bounds of a Server.
type ServerOptions struct {
	// MaxSessions bounds the sessions held at once.
	MaxSessions int
	// MaxStreams bounds the streams served at once over all sessions.
	MaxStreams int
	// HeadTimeout is how long a new stream may take to say what it is.
	HeadTimeout time.Duration
	Meter       Meter
	// LocalityOf returns where a peer is, for the meter; nil where nobody asks.
	LocalityOf func(netip.Addr) Locality
	Logger     *slog.Logger
}

// DefaultServerOptions suit a fleet of about a thousand daemons.
func DefaultServerOptions() ServerOptions {
	return ServerOptions{
		MaxSessions: 4096,
		MaxStreams:  8192,
		HeadTimeout: 5 * time.Second,
		Meter:       NoMeter{},
		Logger:      slog.New(slog.DiscardHandler),
	}
}

// Server accepts sessions from other daemons.
type Server struct {
	opts     ServerOptions
	handlers map[peerpb.Kind]Handler
	streams  atomic.Int64

	// serveCalls counts the calls of Serve.
	serveCalls sync.WaitGroup

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	t        tomb.Tomb
}

// NewServer returns a server without handlers. It must be closed.
func NewServer(opts ServerOptions) *Server {
	s := &Server{opts: opts, handlers: map[peerpb.Kind]Handler{}, sessions: map[*yamux.Session]struct{}{}}
	// A tomb takes no goroutine after its last one has ended; this one lives
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

// Serve accepts sessions until Close, and returns nil then.
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

// beginServe holds off the end of the tomb, which takes no goroutine after it; it
// reports false after Close.
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
				return errors.Wrap(err, "accept peer")
			}
			continue
		}
		s.t.Go(func() error {
			s.serveConn(conn)
			return nil
		})
	}
}

// Close ends all sessions and waits for the handlers.
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

// serveStream reads the head and hands the stream over. A peer that sends
// something else, or nothing, loses this stream only.
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
		s.opts.Logger.Warn("peer: stream refused", "kind", head.GetKind(), "version", head.GetVersion())
		return
	}
	st.kind = head.GetKind()
	_ = st.SetReadDeadline(time.Time{})
	if err := s.handle(ctx, h, st); err != nil {
		s.opts.Logger.Debug("peer: exchange ended", "kind", st.kind, "error", err)
	}
}

// handle calls the handler. A panic ends its stream alone: a call on which handlers panic
// would be sent again to the next daemon, and would end one after the other.
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
