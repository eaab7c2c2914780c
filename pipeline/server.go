// Package pipeline serves HTTP/1.1 connections on which callers send requests ahead
// of the answers. Unlike the standard library's server it runs the requests of one
// connection side by side, answers them in order, and goes on reading meanwhile, so
// that a caller that goes away is noticed behind any number of requests.
//
// Requests that stand one behind the other would else add up their times: three
// lookups of 200 ms each, sent at once, would take 600 ms.
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

// Limits bound what a caller may send. They are read anew for each request.
type Limits struct {
	// MaxHeaderBytes bounds a request's line and header.
	MaxHeaderBytes int
	// HeaderTimeout is how long a header may take from its first byte on.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration
}

// Options configure a Server. Handler is required.
type Options struct {
	Handler http.Handler
	// Limits returns the limits in force.
	Limits func() Limits
	// MaxBufferedBody is the largest body that is read before its request is handled,
	// in bytes. Larger ones are handed over as they come, and requests behind them
	// wait.
	MaxBufferedBody int64
	// MaxInFlight bounds the requests of one connection that are in progress.
	MaxInFlight int
	// MaxKeepAliveConns is how many connections are kept for further requests. With more, an
	// answer with no request behind it ends its connection: callers that open a new
	// one for each try would else use up the process's descriptors.
	MaxKeepAliveConns int
	// OnMalformed is told of input that never became a request.
	OnMalformed func(remote net.Addr, err error)
	// OnCallerDisconnected is told of each request that was read and does not begin, as its caller
	// had left by then.
	OnCallerDisconnected func(r *http.Request)
	Logger               *slog.Logger
}

// DefaultOptions suit callers on the same host.
func DefaultOptions() Options {
	return Options{
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 64 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}
		},
		MaxBufferedBody:      1 << 20,
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
	// serving counts the connections.
	serving sync.WaitGroup
}

// NewServer returns a server without connections.
func NewServer(opts Options) *Server {
	return &Server{opts: opts, listeners: make(map[net.Listener]struct{}), conns: make(map[*conn]struct{})}
}

// Serve accepts connections until the server is closed; it returns ErrClosed then,
// and else the listener's error.
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
			if !passing(err) {
				return err
			}
			s.opts.Logger.Warn("pipeline: connection not accepted", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		if c := s.add(nc); c != nil {
			go c.serve()
		}
	}
}

// acceptPause is the wait after a connection could not be accepted for want of
// something that others will give back, such as descriptors.
const acceptPause = 10 * time.Millisecond

// passing reports whether an error of Accept says nothing of the listener itself.
func passing(err error) bool {
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

// add takes in a connection, nil once the server is closed.
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

// mustShed reports whether connections are to end with their next answer.
func (s *Server) mustShed() bool {
	return s.draining.Load() || s.OpenConns() > s.opts.MaxKeepAliveConns
}

// Drain lets each connection end with its next answer that has no request behind
// it. Connections are not cut, as a request may be on its way.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown accepts nothing more, closes connections as they become idle, and
// returns when all have ended or, with its error, when ctx is done.
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

// Close ends everything at once.
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

// boundedReader is a connection's input of which at most left bytes are read on.
type boundedReader struct {
	src  io.Reader
	left int64
	// err is the latest error. The parser takes a line that breaks off for a
	// malformed one.
	err error
}

const unbounded = int64(1) << 62

var errHeaderTooLarge = errors.New("header too large")

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		r.err = errHeaderTooLarge
		return 0, r.err
	}
	if int64(len(p)) > r.left {
		p = p[:r.left]
	}
	n, err := r.src.Read(p)
	r.left -= int64(n)
	if err != nil {
		r.err = err
	}
	return n, err
}
