// Package backendconn carries calls to the backend server beside a daemon over
// kept HTTP/1.1 connections. It never sends a call twice, tells a call that was not
// sent from one that may have run, and takes no answer but the call's own.
//
// The standard library's transport does neither: it repeats calls by itself, and
// hands the second answer of a server that sent two to the next call.
package backendconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds a connection to a server on the same host, which takes
	// milliseconds unless it is gone.
	dialTimeout = time.Second
	// maxIdle bounds the kept connections; there are no more than calls at once.
	maxIdle = 64
	// unstatedIdle is how long a connection is kept whose server states no
	// timeout: it states whole seconds only, so the timeout is below one.
	unstatedIdle = 250 * time.Millisecond
	// idleShare is the part of the stated timeout for which a connection is kept. A
	// call that crosses the server's close would be lost, and a non-idempotent one
	// could not be sent again.
	idleShare = 0.5
	// maxStatedIdle bounds the stated timeout, which is not to be relied on for
	// long.
	maxStatedIdle = 8 * time.Second
)

// Request is one call to the server.
type Request struct {
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	// Body has Length bytes, or ends by itself where Length is -1.
	Body   io.Reader
	Length int64
}

// NotSentError means that no byte of the call reached the server.
type NotSentError struct{ Cause error }

// Error gives the cause.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Options configure a Client.
type Options struct {
	// Address of the server, as IP:port.
	Address string
	// RequestIDHeader is the header field that names a call and that the server sends
	// back; empty where there is none.
	RequestIDHeader string
}

// Client calls one server. It is safe for concurrent use.
type Client struct {
	opts   Options
	dialer net.Dialer

	mu     sync.Mutex
	closed bool
	// idle connections, the one used last at the end.
	idle []*conn
}

// New returns a client without connections.
func New(opts Options) *Client {
	return &Client{opts: opts, dialer: net.Dialer{Timeout: dialTimeout}}
}

// Do sends a call and returns the head of its answer, whose body must be closed. The
// error is a *NotSentError where the call has certainly not run.
func (c *Client) Do(ctx context.Context, r *Request) (*http.Response, error) {
	// A kept connection takes the call whatever the context says.
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{err}
	}
	cn := c.takeIdle()
	if cn == nil {
		var err error
		if cn, err = c.dial(ctx); err != nil {
			return nil, &NotSentError{err}
		}
	}
	return cn.do(ctx, r)
}

func (c *Client) dial(ctx context.Context) (*conn, error) {
	nc, err := c.dialer.DialContext(ctx, "tcp", c.opts.Address)
	if err != nil {
		return nil, err
	}
	return newConn(c, nc), nil
}

// goneTimeout bounds the question whether a server still listens. On the same host the
// kernel answers at once.
const goneTimeout = 200 * time.Millisecond

// ServerExited reports whether the server has certainly ended: it keeps no connection, and its
// address refuses new ones. A connection made to ask is kept for the next call.
func (c *Client) ServerExited() bool {
	if cn := c.takeIdle(); cn != nil {
		c.keep(cn)
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), goneTimeout)
	defer cancel()
	cn, err := c.dial(ctx)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	cn.keptUntil = time.Now().Add(unstatedIdle)
	c.keep(cn)
	return false
}

// takeIdle returns the connection used last that is still sound, nil without one.
func (c *Client) takeIdle() *conn {
	now := time.Now()
	for {
		c.mu.Lock()
		n := len(c.idle)
		if n == 0 {
			c.mu.Unlock()
			return nil
		}
		cn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		if now.Before(cn.keptUntil) && cn.sound() {
			return cn
		}
		cn.close()
	}
}

// keep takes back a connection whose answer was whole.
func (c *Client) keep(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle) >= maxIdle {
		cn.close()
		return
	}
	c.idle = append(c.idle, cn)
}

// Close closes the idle connections; those in use are not kept afterwards.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, cn := range c.idle {
		cn.close()
	}
	c.idle = nil
}

var (
	// errOtherAnswer means that the server sent answers to other calls only.
	errOtherAnswer = errors.New("answers belong to other calls")
	errNotHTTP     = errors.New("answer is not HTTP")
)

func malformed(err error) error { return fmt.Errorf("%w: %w", errNotHTTP, err) }
