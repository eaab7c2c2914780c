package pipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 16 << 10
	// lingerTimeout is how long input is still read and discarded after the last response.
	// Closing a connection with unread input resets it, and the caller would lose the response.
	lingerTimeout = 500 * time.Millisecond
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 30 * time.Second
	// bufferedBodyTimeout bounds the time to receive a body that is read before its request is
	// handled.
	bufferedBodyTimeout = time.Minute
)

// conn is the connection of one caller. One goroutine reads the requests; each request runs in
// its own goroutine and writes its response once all earlier ones have been written.
type conn struct {
	srv *Server
	nc  net.Conn
	in  *limitedReader
	br  *bufio.Reader
	bw  *bufio.Writer
	ctx context.Context
	// cancel cancels the requests in progress, for example when the caller has disconnected.
	cancel context.CancelFunc
	// inFlight holds a token for each request in progress. Its capacity is the limit.
	inFlight chan struct{}

	mu sync.Mutex
	// queue holds the requests that have not been answered completely, in the order received.
	queue []*exchange
	// closing is set once no further request is accepted.
	closing bool
	// reading is set while a request is being read.
	reading bool
	// queueEmpty is signaled when the queue becomes empty.
	queueEmpty *sync.Cond
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{srv: s, nc: nc, in: &limitedReader{src: nc, remaining: unlimited}}
	c.br = bufio.NewReaderSize(c.in, readBufferBytes)
	c.bw = bufio.NewWriterSize(nc, writeBufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.inFlight = make(chan struct{}, s.opts.MaxInFlight)
	c.queueEmpty = sync.NewCond(&c.mu)
	return c
}

// serve handles requests until the caller disconnects or the connection is due to close.
func (c *conn) serve() {
	defer c.srv.remove(c)
	defer c.nc.Close()
	err := c.readRequests()
	if err != nil {
		c.cancel()
	}
	c.waitEmpty()
	c.cancel()
	if err == nil {
		c.linger()
	}
}

// readRequests reads and starts requests until the connection ends. It returns nil if the
// connection ends in an orderly way, and otherwise the reason why no more responses can be sent.
func (c *conn) readRequests() error {
	for {
		if err := c.awaitRequest(); err != nil {
			if errors.Is(err, errIdle) {
				return nil
			}
			return err
		}
		x, err := c.readRequest()
		if err != nil {
			return c.rejectInput(err)
		}
		select {
		case c.inFlight <- struct{}{}:
		case <-c.ctx.Done():
			return c.ctx.Err()
		}
		if c.callerDisconnected() {
			// On a busy process the request and the caller's close may be read together. Without
			// this check the call would run before the next read reports the close.
			c.srv.opts.OnCallerDisconnected(x.req)
			return errCallerDisconnected
		}
		if !c.startExchange(x) {
			return c.detectDisconnect()
		}
		if x.stream != nil {
			<-x.stream.done
			if !x.stream.finish() {
				return nil
			}
		}
		if x.lastRequest {
			return c.detectDisconnect()
		}
	}
}

// errCallerDisconnected means that the caller closed the connection before it received all
// responses.
var errCallerDisconnected = errors.New("caller disconnected")

// detectDisconnect is called after the last request. It reads and discards input until the
// connection ends, and returns errCallerDisconnected if a response is still outstanding then.
func (c *conn) detectDisconnect() error {
	c.mu.Lock()
	answered := len(c.queue) == 0
	c.mu.Unlock()
	if answered {
		return nil
	}
	_, _ = io.Copy(io.Discard, c.br)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 {
		return errCallerDisconnected
	}
	return nil
}

// errIdle means that no further request is due: none arrived within the idle timeout, or the
// connection is closing.
var errIdle = errors.New("connection idle")

// awaitRequest waits for the first byte of a request. It skips empty lines before the request
// line, as RFC 9112 requires.
func (c *conn) awaitRequest() error {
	c.setIdleDeadline()
	for {
		b, err := c.br.Peek(1)
		if err != nil {
			return c.idleError(err)
		}
		if b[0] != '\r' && b[0] != '\n' {
			break
		}
		_, _ = c.br.Discard(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return errIdle
	}
	c.reading = true
	return c.nc.SetReadDeadline(time.Now().Add(c.srv.opts.Limits().HeaderTimeout))
}

// setIdleDeadline clears the reading flag and sets the read deadline for the wait for the next
// request.
func (c *conn) setIdleDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.setIdleDeadlineLocked()
}

// setIdleDeadlineLocked sets the read deadline to the idle timeout, or removes it while requests
// are in progress. The caller holds mu.
func (c *conn) setIdleDeadlineLocked() {
	var at time.Time
	if len(c.queue) == 0 {
		at = time.Now().Add(c.srv.opts.Limits().IdleTimeout)
	}
	_ = c.nc.SetReadDeadline(at)
}

// idleError distinguishes an idle timeout, for which it returns errIdle, from a failed
// connection.
func (c *conn) idleError(err error) error {
	var netErr net.Error
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.As(err, &netErr) && netErr.Timeout() && len(c.queue) == 0 {
		c.closing = true
		return errIdle
	}
	return err
}

// closeIfIdle ends the connection if no request is being read or in progress.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 && !c.reading {
		c.closing = true
		_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// abort cancels all requests and closes the connection immediately.
func (c *conn) abort() {
	c.cancel()
	_ = c.nc.Close()
}

// resetOnClose sets whether closing the connection, also by the end of the process, resets it.
func (c *conn) resetOnClose(reset bool) {
	seconds := -1
	if reset {
		seconds = 0
	}
	if tcp, ok := c.nc.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(seconds)
	}
}

// waitEmpty waits until no requests are in progress.
func (c *conn) waitEmpty() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) > 0 {
		c.queueEmpty.Wait()
	}
}

// startExchange queues the request and runs it. It returns false if the connection is closing;
// the request then counts as not received and the caller sends it again.
func (c *conn) startExchange(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.srv.draining.Load() && len(c.queue) > 0 {
		// A caller that always has another request queued behind the one being answered would
		// otherwise keep the connection open forever.
		c.closing = true
	}
	if c.closing {
		_ = c.nc.SetReadDeadline(time.Time{})
		return false
	}
	x.lastRequest = x.req.Close || !x.req.ProtoAtLeast(1, 1)
	c.closing = x.lastRequest
	c.queue = append(c.queue, x)
	if len(c.queue) == 1 {
		close(x.turn)
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	go x.run()
	return true
}

// endExchange removes the first request from the queue after its response has been written.
func (c *conn) endExchange() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = c.queue[1:]
	<-c.inFlight
	if len(c.queue) > 0 {
		close(c.queue[0].turn)
		return
	}
	c.queueEmpty.Broadcast()
	if !c.reading {
		c.setIdleDeadlineLocked()
	}
	if c.closing {
		// Interrupt the reader, which may be waiting for a request that would no longer be
		// handled.
		_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// closesAfterResponse reports whether the connection closes after the current response. It stays
// open while further requests on it are in progress.
func (c *conn) closesAfterResponse(wanted bool) bool {
	wanted = wanted || c.srv.closeAfterResponse()
	c.mu.Lock()
	defer c.mu.Unlock()
	if wanted && len(c.queue) == 1 {
		c.closing = true
	}
	return c.closing && len(c.queue) == 1
}

// linger closes the write side and discards input, so that the caller can read the last response
// before the connection closes.
func (c *conn) linger() {
	if tcp, ok := c.nc.(interface{ CloseWrite() error }); ok && tcp.CloseWrite() != nil {
		return
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.nc)
}
