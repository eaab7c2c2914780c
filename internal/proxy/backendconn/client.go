// Package backendconn sends calls to the backend server beside a daemon over persistent
// HTTP/1.1 connections. It never sends a call twice, distinguishes a call that was not sent
// from one that may have run, and never returns the response to another call.
//
// The standard library's transport guarantees neither: it retries some requests on its own, and
// if a server sends two responses to a call, it returns the second one for the next call.
package backendconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// dialTimeout bounds the time to connect. The server is on the same host, where connecting
	// takes milliseconds unless the server is down.
	dialTimeout = time.Second
	// maxIdle bounds the idle connections. There are never more of them than concurrent calls.
	maxIdle = 64
	// defaultIdleTimeout is how long an idle connection is kept if the server states no
	// timeout. Keep-Alive states whole seconds only, so the timeout of such a server is below
	// one second.
	defaultIdleTimeout = 250 * time.Millisecond
	// idleTimeoutFactor is the fraction of the stated timeout for which an idle connection is
	// kept. A call that is sent while the server closes the connection would be lost, and a
	// non-idempotent call could not be sent again.
	idleTimeoutFactor = 0.5
	// maxIdleTimeout bounds the timeout that the server states, which is not reliable for long
	// periods.
	maxIdleTimeout = 8 * time.Second
)

// Request is one call to the server.
type Request struct {
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	// Body yields Length bytes, or ends with io.EOF if Length is -1.
	Body   io.Reader
	Length int64
	// Conn is the connection that carried the call. Client.Do sets it.
	Conn ConnInfo
}

// ConnInfo identifies a connection to the server in logs.
type ConnInfo struct {
	// Number counts the connections of a client from 1. It is 0 if no connection was used.
	Number uint64
	// EarlierCalls is the number of calls that the connection had carried before.
	EarlierCalls int
}

// NotSentError reports that no byte of the call reached the server, so that the call has not
// run.
type NotSentError struct{ Cause error }

// Error returns the text of the cause with a prefix.
func (e *NotSentError) Error() string { return "call not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Options configures a Client.
type Options struct {
	// Address is the server's address as IP:port.
	Address string
	// RequestIDHeader is the name of the header that identifies a call and that the server
	// copies to its response. It is empty if there is no such header.
	RequestIDHeader string
	// OnConnect is called for each new connection, OnLateResponse for each response to an earlier
	// call that was skipped. Either may be nil.
	OnConnect, OnLateResponse func()
}

// Client sends calls to one server. It is safe for concurrent use.
type Client struct {
	opts   Options
	dialer net.Dialer
	// dialed is the number of connections so far.
	dialed atomic.Uint64

	mu     sync.Mutex
	closed bool
	// idle holds the idle connections, the most recently used one last.
	idle []*conn
}

// New returns a client that has no connections yet.
func New(opts Options) *Client {
	return &Client{opts: opts, dialer: net.Dialer{Timeout: dialTimeout}}
}

// Do sends a call and returns the head of its response. The caller must close the response
// body. The error is a *NotSentError if the call has certainly not run.
func (c *Client) Do(ctx context.Context, r *Request) (*http.Response, error) {
	// An idle connection would take the call even if the context is already done.
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{err}
	}
	requestID := c.requestID(r)
	cn := c.takeIdle(func(cn *conn) bool { return cn.fits(requestID) })
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
	if c.opts.OnConnect != nil {
		c.opts.OnConnect()
	}
	return newConn(c, nc, c.dialed.Add(1)), nil
}

// exitProbeTimeout bounds the check whether the server still listens. On the same host the
// kernel answers at once.
const exitProbeTimeout = 200 * time.Millisecond

// ServerExited reports whether the server has certainly exited: it keeps no idle connection
// open, and its address refuses new connections. A connection that the check opens is kept for
// the next call.
func (c *Client) ServerExited() bool {
	if cn := c.takeIdle(func(*conn) bool { return true }); cn != nil {
		c.putIdle(cn)
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), exitProbeTimeout)
	defer cancel()
	cn, err := c.dial(ctx)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	cn.reusableUntil = time.Now().Add(defaultIdleTimeout)
	c.putIdle(cn)
	return false
}

// requestID returns the hash of the call's request ID. Calls without an ID have the same one.
func (c *Client) requestID(r *Request) uint64 {
	if c.opts.RequestIDHeader == "" {
		return 0
	}
	return xxhash.Sum64String(r.Header.Get(c.opts.RequestIDHeader))
}

// takeIdle returns the most recently used idle connection that fits and is still usable, or nil if
// there is none. It closes the unusable connections that it finds.
func (c *Client) takeIdle(fits func(*conn) bool) *conn {
	now := time.Now()
	for {
		cn := c.removeIdle(fits)
		if cn == nil || now.Before(cn.reusableUntil) && cn.reusable() {
			return cn
		}
		cn.close()
	}
}

// removeIdle removes the most recently used connection that fits from the idle list and returns it.
func (c *Client) removeIdle(fits func(*conn) bool) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, cn := range slices.Backward(c.idle) {
		if fits(cn) {
			c.idle = slices.Delete(c.idle, i, i+1)
			return cn
		}
	}
	return nil
}

// putIdle returns a connection whose response has been read completely to the idle list. It
// closes the connection if the list is full or the client is closed.
func (c *Client) putIdle(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle) >= maxIdle {
		cn.close()
		return
	}
	c.idle = append(c.idle, cn)
}

// Close closes the idle connections. Those in use are closed when their calls end.
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
	// errForeignResponse means that the server sent only responses to other calls.
	errForeignResponse = errors.New("received only responses to other calls")
	errNotHTTP         = errors.New("response is not HTTP")
	errHeadTooLarge    = fmt.Errorf("the head of a response exceeds %d bytes", maxHeadBytes)
)

// malformedError wraps a parse error of a response as errNotHTTP.
func malformedError(err error) error { return fmt.Errorf("%w: %w", errNotHTTP, err) }
