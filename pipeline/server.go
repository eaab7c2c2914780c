// Package pipeline serves HTTP/1.1 connections whose callers pipeline requests. Unlike the
// standard library's server it runs the requests of one connection concurrently, sends the
// responses in order and keeps reading meanwhile, so that it detects a disconnected caller no
// matter how many requests are pending.
//
// Sequential handling would add up the times of pipelined requests: three lookups of 200 ms each
// would take 600 ms.
package pipeline

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Limits bound what a caller may send. They are read again for each request.
type Limits struct {
	// MaxHeaderBytes bounds the size of the request line and the header.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time to receive a header, from its first byte on.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without requests stays open.
	IdleTimeout time.Duration
}

// Options configure a Server. Handler is required; DefaultOptions sets the others.
type Options struct {
	Handler http.Handler
	// Limits returns the current limits.
	Limits func() Limits
	// MaxBufferedBody is the size in bytes up to which a body is read before its request is
	// handled. Larger bodies are streamed to the handler and delay the requests behind them.
	MaxBufferedBody int64
	// RejectsHead reports whether Handler will reject a request whatever its body is. The body of
	// such a request is not awaited if it is longer than maxAwaitedBody or its caller waits for a
	// go-ahead. The connection closes after the response.
	RejectsHead func(r *http.Request) bool
	// MaxInFlight bounds the requests in progress on one connection.
	MaxInFlight int
	// MaxKeepAliveConns is the number of connections that are kept open for further requests.
	// While more are open, a connection closes after a response with no request behind it.
	// Callers that open a new connection for each attempt would otherwise exhaust the file
	// descriptors of the process.
	MaxKeepAliveConns int
	// OnMalformed is called for input that could not be parsed as a request.
	OnMalformed func(remote net.Addr, err error)
	// OnCallerDisconnected is called for each request that was read but not started because its
	// caller had already disconnected.
	OnCallerDisconnected func(r *http.Request)
	Logger               *slog.Logger
}

// DefaultOptions returns options for callers on the same host, without a handler.
func DefaultOptions() Options {
	return Options{
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 64 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}
		},
		MaxBufferedBody:      1 << 20,
		RejectsHead:          func(*http.Request) bool { return false },
		MaxInFlight:          64,
		MaxKeepAliveConns:    2048,
		OnMalformed:          func(net.Addr, error) {},
		OnCallerDisconnected: func(*http.Request) {},
		Logger:               slog.New(slog.DiscardHandler),
	}
}

// ErrClosed is returned by Serve after Close or Shutdown.
var ErrClosed = errors.New("pipeline: server closed")

// Server serves connections. It is safe for concurrent use.
type Server struct {
	opts     Options
	draining atomic.Bool
	closed   atomic.Bool

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	// serving tracks the open connections.
	serving sync.WaitGroup
}

// NewServer returns a server with the given options.
func NewServer(opts Options) *Server {
	return &Server{opts: opts, listeners: make(map[net.Listener]struct{}), conns: make(map[*conn]struct{})}
}

// Serve accepts connections until the server is closed. It returns ErrClosed after that, or the
// error of the listener.
func (s *Server) Serve(ln net.Listener) error {
	if !s.addListener(ln) {
		return ErrClosed
	}
	for {
		nc, err := ln.Accept()
		if err != nil {
			if s.closed.Load() {
				return ErrClosed
			}
			if !isTransient(err) {
				return err
			}
			s.opts.Logger.Warn("pipeline: accept failed", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c := s.add(nc); c != nil {
			go c.serve()
		}
	}
}

// acceptRetryDelay is the wait after Accept failed for lack of a resource that is freed again,
// such as file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// isTransient reports whether an error of Accept is temporary and not a fault of the listener.
func isTransient(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, syscall.EMFILE) ||
		errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ECONNABORTED)
}

func (s *Server) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed.Load() {
		return false
	}
	s.listeners[ln] = struct{}{}
	return true
}

// add registers a connection. It closes the connection and returns nil if the server is closed.
func (s *Server) add(nc net.Conn) *conn {
	c := newConn(s, nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed.Load() {
		_ = nc.Close()
		return nil
	}
	s.conns[c] = struct{}{}
	s.serving.Add(1)
	return c
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.serving.Done()
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// closeAfterResponse reports whether connections must close after their next response, because
// the server is draining or has too many connections.
func (s *Server) closeAfterResponse() bool {
	return s.draining.Load() || s.OpenConns() > s.opts.MaxKeepAliveConns
}

// Drain makes each connection close after its next response with no request behind it. It does
// not close idle connections, as a request may be in flight on them.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown stops accepting connections, closes existing ones as they become idle, and returns nil
// when all have ended or the error of ctx when ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.closeListeners()
	s.mu.Lock()
	for c := range s.conns {
		c.closeIfIdle()
	}
	s.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		s.serving.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the listeners and aborts all connections.
func (s *Server) Close() error {
	s.closeListeners()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.abort()
	}
	return nil
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed.Store(true)
	for ln := range s.listeners {
		_ = ln.Close()
	}
}

// limitedReader reads at most remaining bytes from a connection.
type limitedReader struct {
	src       io.Reader
	remaining int64
	// err is the latest read error. It is kept here because http.ReadRequest reports a truncated
	// line as a malformed one.
	err error
}

// unlimited is a value of limitedReader.remaining that no connection reaches.
const unlimited = int64(1) << 62

var errHeaderTooLarge = errors.New("request header too large")

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		r.err = errHeaderTooLarge
		return 0, r.err
	}
	if int64(len(p)) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.src.Read(p)
	r.remaining -= int64(n)
	if err != nil {
		r.err = err
	}
	return n, err
}
