package pipeline

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"
)

// maxBuffered is how much of an answer is held until its turn has come, and until
// its head is sent, in bytes.
const maxBuffered = 64 << 10

// exchange is one request with its answer. It is the request's ResponseWriter.
type exchange struct {
	c   *conn
	req *http.Request
	// turn is closed when the answers before this one have been written.
	turn chan struct{}
	// stream is the body that comes as it is read, nil for one that is held.
	stream *streamedBody
	// last is set where the caller ends the connection with this request.
	last bool

	header http.Header
	status int
	// sent is the header as it was when the status was set.
	sent     http.Header
	buffered bytes.Buffer
	begun    bool
	chunked  bool
	// declared is the Content-Length of the answer, -1 without one; written is the
	// length of its body so far.
	declared, written int64
	err               error
}

func newExchange(c *conn, r *http.Request) *exchange {
	return &exchange{c: c, req: r, turn: make(chan struct{}), header: make(http.Header), declared: -1}
}

// streamedBody is a request's body that is read from the connection by its handler.
// Reading ends with the handler: the next request follows on the same connection.
type streamedBody struct {
	src  io.ReadCloser
	done chan struct{}

	mu    sync.Mutex
	ended bool
	// whole is set once the body has been read to its end.
	whole bool
}

func (x *exchange) streamBody(src io.ReadCloser) {
	x.stream = &streamedBody{src: src, done: make(chan struct{})}
	x.req.Body = x.stream
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		if b.whole {
			return 0, io.EOF
		}
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.src.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
		b.end()
	}
	return n, err
}

// Close implements io.Closer; what is left is not read.
func (b *streamedBody) Close() error { return nil }

// finish ends the reading and reports whether the body was read to its end.
func (b *streamedBody) finish() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end()
	return b.whole
}

func (b *streamedBody) end() {
	if !b.ended {
		b.ended = true
		close(b.done)
	}
}

// run handles the request and ends its answer.
func (x *exchange) run() {
	ctx, cancel := context.WithCancel(x.c.ctx)
	defer cancel()
	defer x.c.end()
	if !x.handle(x.req.WithContext(ctx)) {
		x.c.abort()
		x.endBody()
		x.awaitTurn()
		return
	}
	if x.stream != nil && !x.stream.hasEnded() {
		// What is left of the body stands where the next request would.
		x.sent.Set("Connection", "close")
	}
	x.finish()
	x.endBody()
}

func (b *streamedBody) hasEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// endBody lets the connection go on behind the body, or end if some of it is left.
func (x *exchange) endBody() {
	if x.stream == nil {
		return
	}
	if !x.stream.finish() {
		x.c.mu.Lock()
		x.c.closing = true
		x.last = true
		x.c.mu.Unlock()
	}
}

// handle calls the handler; it reports false where the connection must be cut.
func (x *exchange) handle(r *http.Request) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			ok = false
			if err, is := p.(error); !is || !errors.Is(err, http.ErrAbortHandler) {
				x.c.srv.opts.Logger.Error("pipeline: handler panicked", "panic", p, "stack", string(debug.Stack()))
			}
		}
	}()
	x.c.srv.opts.Handler.ServeHTTP(x, r)
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	return true
}

// awaitTurn waits until the answers before this one have been written; it reports
// false where the caller has gone.
func (x *exchange) awaitTurn() bool {
	select {
	case <-x.turn:
		return x.c.ctx.Err() == nil
	case <-x.c.ctx.Done():
	}
	// The queue is left in order, whoever ends first.
	<-x.turn
	return false
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if x.status != 0 || status < http.StatusOK {
		return
	}
	x.status = status
	x.sent = x.header.Clone()
	if n, err := strconv.ParseInt(x.sent.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		x.declared = n
	}
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	if x.err != nil {
		return 0, x.err
	}
	if !x.bodyFollows() {
		return len(p), nil
	}
	x.written += int64(len(p))
	if x.declared >= 0 && x.written > x.declared {
		x.err = http.ErrContentLength
		return 0, x.err
	}
	x.buffered.Write(p)
	if x.buffered.Len() >= maxBuffered {
		return len(p), x.FlushError()
	}
	return len(p), nil
}

// FlushError sends what has been written so far; see http.ResponseController.
func (x *exchange) FlushError() error {
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	if x.err == nil {
		x.err = x.send(false)
	}
	return x.err
}

// SetReadDeadline bounds reads of a body that comes as it is read; see
// http.ResponseController.
func (x *exchange) SetReadDeadline(t time.Time) error {
	if x.stream == nil || x.stream.hasEnded() {
		return nil
	}
	return x.c.nc.SetReadDeadline(t)
}

// errShort means that an answer has less body than it said.
var errShort = errors.New("answer shorter than its Content-Length")

// finish sends the rest of the answer. Where that fails the connection is cut, so
// that no caller takes a part for the whole.
func (x *exchange) finish() {
	if x.err == nil && x.declared >= 0 && x.bodyFollows() && x.written < x.declared {
		x.err = errShort
	}
	if x.err == nil {
		x.err = x.send(true)
	}
	if x.err != nil {
		x.c.abort()
		x.awaitTurn()
	}
}

// send writes the head, if it has not been, and what is buffered; end says that
// nothing follows.
func (x *exchange) send(end bool) error {
	if !x.awaitTurn() {
		return context.Canceled
	}
	_ = x.c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if !x.begun {
		x.begun = true
		x.writeHead(end)
	}
	if x.buffered.Len() > 0 && x.chunked {
		fmt.Fprintf(x.c.bw, "%x\r\n", x.buffered.Len())
	}
	if x.buffered.Len() > 0 {
		_, _ = x.c.bw.Write(x.buffered.Bytes())
	}
	if x.buffered.Len() > 0 && x.chunked {
		_, _ = x.c.bw.WriteString("\r\n")
	}
	x.buffered.Reset()
	if end && x.chunked {
		_, _ = x.c.bw.WriteString("0\r\n\r\n")
	}
	// The writer keeps its first error.
	return x.c.bw.Flush()
}

// writeHead writes the status line and the header. A body of unknown length goes in
// chunks; where it is whole already its length is known.
func (x *exchange) writeHead(whole bool) {
	h := x.sent
	for _, name := range []string{"Transfer-Encoding", "Keep-Alive"} {
		h.Del(name)
	}
	switch {
	case !x.bodyFollows():
		if x.status == http.StatusNoContent {
			h.Del("Content-Length")
		}
	case x.declared >= 0:
	case whole:
		h.Set("Content-Length", strconv.Itoa(x.buffered.Len()))
	case x.req.ProtoAtLeast(1, 1):
		x.chunked = true
		h.Set("Transfer-Encoding", "chunked")
	default:
		// A caller of HTTP/1.0 takes the end of the connection for that of the body.
		h.Set("Connection", "close")
	}
	if x.c.lastAnswer(h.Get("Connection") == "close") {
		h.Set("Connection", "close")
	} else {
		h.Del("Connection")
	}
	_, _ = x.c.bw.WriteString(statusLine(x.status))
	_ = h.Write(x.c.bw)
	_, _ = x.c.bw.WriteString("\r\n")
}

// bodyFollows reports whether what the handler writes is sent.
func (x *exchange) bodyFollows() bool {
	return x.status != http.StatusNoContent && x.status != http.StatusNotModified && x.req.Method != http.MethodHead
}

// statusLine returns the first line of an answer.
func statusLine(status int) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"
}
