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
	// lingerTime is how long input is still read, and thrown away, behind the last
	// answer. Closing a connection with unread input resets it, and the caller
	// would lose the answer.
	lingerTime = 500 * time.Millisecond
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 30 * time.Second
	// heldBodyTimeout bounds the time until a body that is held is there.
	heldBodyTimeout = time.Minute
)

// conn is one caller's connection. One goroutine reads requests; each request runs
// in one of its own and writes its answer when its turn has come.
type conn struct {
	srv *Server
	nc  net.Conn
	in  *boundedReader
	br  *bufio.Reader
	bw  *bufio.Writer
	ctx context.Context
	// cancel ends the requests in progress: the caller has gone.
	cancel context.CancelFunc
	// room holds a token for each request that may still begin.
	room chan struct{}

	mu sync.Mutex
	// queue holds the requests not answered yet, in order.
	queue []*exchange
	// closing is set once no further request is handled.
	closing bool
	// reading is set while a request is being read.
	reading bool
	// empty is told when the queue has become empty.
	empty *sync.Cond
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{srv: s, nc: nc, in: &boundedReader{src: nc, left: unbounded}}
	c.br = bufio.NewReaderSize(c.in, readBufferBytes)
	c.bw = bufio.NewWriterSize(nc, writeBufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.room = make(chan struct{}, s.opts.MaxInFlight)
	c.empty = sync.NewCond(&c.mu)
	return c
}

// serve reads requests until the caller goes away or the connection is to end.
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

// readRequests returns nil where the connection ends in an orderly way, and else
// why the caller cannot be answered any more.
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
			return c.refuse(err)
		}
		select {
		case c.room <- struct{}{}:
		case <-c.ctx.Done():
			return c.ctx.Err()
		}
		if c.callerLeft() {
			// A process that was busy reads a request together with its caller's close, and would
			// run the call before it reads on.
			c.srv.opts.OnCallerDisconnected(x.req)
			return errGone
		}
		if !c.begin(x) {
			return c.watchLast()
		}
		if x.stream != nil {
			<-x.stream.done
			if !x.stream.finish() {
				return nil
			}
		}
		if x.last {
			return c.watchLast()
		}
	}
}

// errGone means that the caller closed its side while it was owed an answer.
var errGone = errors.New("caller has gone")

// watchLast notices a caller that goes away before its last answer. Whatever it
// sends is thrown away.
func (c *conn) watchLast() error {
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
		return errGone
	}
	return nil
}

// errIdle means that no request came within the idle timeout.
var errIdle = errors.New("connection idle")

// awaitRequest waits for the first byte of a request. Empty lines before it are
// passed over, as RFC 9112 asks.
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

// setIdleDeadline bounds the wait for a request while none is in progress.
func (c *conn) setIdleDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.idleDeadline()
}

// idleDeadline sets the deadline of reads that wait for a request. The caller holds
// mu.
func (c *conn) idleDeadline() {
	var at time.Time
	if len(c.queue) == 0 {
		at = time.Now().Add(c.srv.opts.Limits().IdleTimeout)
	}
	_ = c.nc.SetReadDeadline(at)
}

// idleError tells an idle connection from a caller that has gone.
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

// closeIfIdle ends a connection on which nothing happens.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 && !c.reading {
		c.closing = true
		_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// abort cuts the connection.
func (c *conn) abort() {
	c.cancel()
	_ = c.nc.Close()
}

// waitEmpty waits until all requests in progress have ended.
func (c *conn) waitEmpty() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) > 0 {
		c.empty.Wait()
	}
}

// begin runs a request; it reports false where the connection ends before it, which
// then counts as not read: the caller sends it again.
func (c *conn) begin(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.srv.draining.Load() && len(c.queue) > 0 {
		// A caller that always has a request behind the one that is answered would
		// keep the connection for good.
		c.closing = true
	}
	if c.closing {
		_ = c.nc.SetReadDeadline(time.Time{})
		return false
	}
	x.last = x.req.Close || !x.req.ProtoAtLeast(1, 1)
	c.closing = x.last
	c.queue = append(c.queue, x)
	if len(c.queue) == 1 {
		close(x.turn)
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	go x.run()
	return true
}

// end takes an answered request out of the queue.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = c.queue[1:]
	<-c.room
	if len(c.queue) > 0 {
		close(c.queue[0].turn)
		return
	}
	c.empty.Broadcast()
	if !c.reading {
		c.idleDeadline()
	}
	if c.closing {
		// The reader may wait for a request that is not to be handled any more.
		_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// lastAnswer reports whether the connection ends with the answer whose turn it is.
// It goes on where requests behind it are in progress already.
func (c *conn) lastAnswer(wanted bool) bool {
	wanted = wanted || c.srv.mustShed()
	c.mu.Lock()
	defer c.mu.Unlock()
	if wanted && len(c.queue) == 1 {
		c.closing = true
	}
	return c.closing && len(c.queue) == 1
}

// linger lets the caller read the last answer before the connection is closed.
func (c *conn) linger() {
	if tcp, ok := c.nc.(interface{ CloseWrite() error }); ok && tcp.CloseWrite() != nil {
		return
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.nc)
}
