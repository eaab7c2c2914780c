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

// maxBufferedResponseBytes bounds the part of a response that is buffered while earlier responses
// are pending or its header has not been sent.
const maxBufferedResponseBytes = 64 << 10

// exchange is one request and its response. It implements http.ResponseWriter for the request.
type exchange struct {
	c   *conn
	req *http.Request
	// turn is closed once all earlier responses on the connection have been written.
	turn chan struct{}
	// stream is the body if the handler reads it from the connection, nil if it was buffered.
	stream *streamedBody
	// lastRequest is set if the connection closes after this request.
	lastRequest bool

	header http.Header
	status int
	// sentHeader is a copy of header, taken when the status was set.
	sentHeader  http.Header
	buffered    bytes.Buffer
	headWritten bool
	chunked     bool
	// endsWithConn is whether the end of the connection is the end of the body.
	endsWithConn bool
	// declaredLength is the Content-Length of the response, -1 if it has none. writtenLength is
	// the length of the body written so far.
	declaredLength, writtenLength int64
	err                           error
}

func newExchange(c *conn, r *http.Request) *exchange {
	return &exchange{c: c, req: r, turn: make(chan struct{}), header: make(http.Header), declaredLength: -1}
}

// streamedBody is a request body that the handler reads directly from the connection. Reading
// stops when the handler returns, since the next request follows on the same connection.
type streamedBody struct {
	src  io.ReadCloser
	done chan struct{}

	mu    sync.Mutex
	ended bool
	// complete is set once the body has been read to its end.
	complete bool
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
		if b.complete {
			return 0, io.EOF
		}
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.src.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
		b.end()
	}
	return n, err
}

// Close implements io.Closer. It does not read the rest of the body.
func (b *streamedBody) Close() error { return nil }

// finish ends reading and reports whether the whole body was read.
func (b *streamedBody) finish() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end()
	return b.complete
}

func (b *streamedBody) end() {
	if !b.ended {
		b.ended = true
		close(b.done)
	}
}

// run handles the request and completes its response.
func (x *exchange) run() {
	ctx, cancel := context.WithCancel(x.c.ctx)
	defer cancel()
	defer x.c.endExchange()
	if !x.handle(x.req.WithContext(ctx)) {
		x.c.abort()
		x.endBody()
		x.awaitTurn()
		return
	}
	if x.stream != nil && !x.stream.hasEnded() {
		// The unread rest of the body occupies the place of the next request.
		x.sentHeader.Set("Connection", "close")
	}
	x.finish()
	x.endBody()
}

func (b *streamedBody) hasEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// endBody lets the connection continue after the body, or marks it for closing if part of the
// body was not read.
func (x *exchange) endBody() {
	if x.stream == nil {
		return
	}
	if !x.stream.finish() {
		x.c.mu.Lock()
		x.c.closing = true
		x.lastRequest = true
		x.c.mu.Unlock()
	}
}

// handle calls the handler. It returns false if the connection must be aborted.
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

// awaitTurn waits until all earlier responses have been written. It returns false if the caller
// has disconnected.
func (x *exchange) awaitTurn() bool {
	select {
	case <-x.turn:
		return x.c.ctx.Err() == nil
	case <-x.c.ctx.Done():
	}
	// Requests leave the queue in order, whichever ends first.
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
	x.sentHeader = x.header.Clone()
	if n, err := strconv.ParseInt(x.sentHeader.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		x.declaredLength = n
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
	if !x.bodyAllowed() {
		return len(p), nil
	}
	x.writtenLength += int64(len(p))
	if x.declaredLength >= 0 && x.writtenLength > x.declaredLength {
		x.err = http.ErrContentLength
		return 0, x.err
	}
	x.buffered.Write(p)
	if x.buffered.Len() >= maxBufferedResponseBytes {
		return len(p), x.FlushError()
	}
	return len(p), nil
}

// FlushError sends the data written so far. See http.ResponseController.
func (x *exchange) FlushError() error {
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	if x.err == nil {
		x.err = x.send(false)
	}
	return x.err
}

// SetReadDeadline bounds reads of a streamed body. See http.ResponseController.
func (x *exchange) SetReadDeadline(t time.Time) error {
	if x.stream == nil || x.stream.hasEnded() {
		return nil
	}
	return x.c.nc.SetReadDeadline(t)
}

// errShortResponse means that the handler wrote less than the declared Content-Length.
var errShortResponse = errors.New("response body shorter than its Content-Length")

// finish sends the rest of the response. On failure it aborts the connection, so that the caller
// does not take a partial response for a complete one.
func (x *exchange) finish() {
	if x.err == nil && x.declaredLength >= 0 && x.bodyAllowed() && x.writtenLength < x.declaredLength {
		x.err = errShortResponse
	}
	if x.err == nil {
		x.err = x.send(true)
	}
	if x.err != nil {
		x.c.abort()
		x.awaitTurn()
	}
}

// send writes the header, unless it has been written, and the buffered data. end states that this
// completes the response.
func (x *exchange) send(end bool) error {
	if !x.awaitTurn() {
		return context.Canceled
	}
	_ = x.c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if !x.headWritten {
		x.headWritten = true
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
	// bufio.Writer returns its first write error from Flush.
	err := x.c.bw.Flush()
	if err == nil && end && x.endsWithConn {
		x.c.resetOnClose(false)
	}
	return err
}

// writeHead writes the status line and the header. complete states that the whole body is
// buffered, so that its length is known; a body of unknown length is sent in chunks.
func (x *exchange) writeHead(complete bool) {
	h := x.sentHeader
	for _, name := range []string{"Transfer-Encoding", "Keep-Alive"} {
		h.Del(name)
	}
	switch {
	case !x.bodyAllowed():
		if x.status == http.StatusNoContent {
			h.Del("Content-Length")
		}
	case x.declaredLength >= 0:
	case complete:
		h.Set("Content-Length", strconv.Itoa(x.buffered.Len()))
	case x.req.ProtoAtLeast(1, 1):
		x.chunked = true
		h.Set("Transfer-Encoding", "chunked")
	default:
		// An HTTP/1.0 caller takes the end of the connection for the end of the body. Until the response is
		// complete, that end must not be an orderly one.
		h.Set("Connection", "close")
		x.endsWithConn = true
		x.c.resetOnClose(true)
	}
	if x.c.closesAfterResponse(h.Get("Connection") == "close") {
		h.Set("Connection", "close")
	} else {
		h.Del("Connection")
	}
	_, _ = x.c.bw.WriteString(statusLine(x.status))
	_ = h.Write(x.c.bw)
	_, _ = x.c.bw.WriteString("\r\n")
}

// bodyAllowed reports whether the response may have a body.
func (x *exchange) bodyAllowed() bool {
	return x.status != http.StatusNoContent && x.status != http.StatusNotModified && x.req.Method != http.MethodHead
}

// statusLine returns the HTTP/1.1 status line, with its line ending.
func statusLine(status int) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"
}
