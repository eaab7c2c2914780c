package backendconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/crocuscross/crocuscross/internal/netopt"
)

const (
	// maxForeignResponses is how many late responses to earlier calls are skipped before a call
	// fails, and maxForeignBytes the largest body of such a response, in bytes.
	maxForeignResponses = 4
	maxForeignBytes     = 1 << 20
	// maxDirectBody is the largest body, in bytes, that is written completely before the
	// response is read. It fits into the TCP windows of a connection, so that a server that
	// responds early cannot block the write.
	maxDirectBody = 16 << 10
	// maxRequestIDs bounds the request IDs that are kept for a connection, 8 bytes each. A connection
	// that has carried as many calls is closed, since nothing bounds how late a second response may be.
	maxRequestIDs = 256
	// maxHeadBytes bounds what is read for the heads of one response, in bytes: the head itself and the
	// interim responses before it. Header fields take many times as much memory as bytes.
	maxHeadBytes = 32 << 10
	// bufferSize is the size of the read buffer and of the write buffer of a connection, in
	// bytes.
	bufferSize = 4 << 10
)

// conn is one connection to the server. It carries one call at a time.
type conn struct {
	client *Client
	nc     net.Conn
	br     *bufio.Reader
	out    *writeSide
	bw     *bufio.Writer
	// reusableUntil is the time until which the connection may take another call.
	reusableUntil time.Time
	// number counts the connections of the client from 1.
	number uint64
	// calls is the number of calls that the connection has carried, and requestIDs has the hashes of
	// their request IDs.
	calls      int
	requestIDs []uint64
}

func newConn(c *Client, nc net.Conn, number uint64) *conn {
	out := &writeSide{nc: nc}
	return &conn{
		client: c, nc: nc, number: number,
		br:  bufio.NewReaderSize(nc, bufferSize),
		out: out, bw: bufio.NewWriterSize(out, bufferSize),
	}
}

func (cn *conn) close() { _ = cn.nc.Close() }

// reusable reports whether the server has neither closed an idle connection nor sent anything
// on it. Input on an idle connection belongs to no call and would be taken for the response to
// the next one.
func (cn *conn) reusable() bool {
	if cn.br.Buffered() > 0 {
		return false
	}
	found := netopt.Peek(cn.nc)
	return found == netopt.NoInput || found == netopt.InputUnknown
}

// fits reports whether a call with a request ID may be sent on the connection. The attempts of a
// request share its ID, so the connection must not have carried another one of them: a late second
// response to that one would be taken for the response to the call. An ID may match by a collision
// of hashes, which costs a connection.
func (cn *conn) fits(requestID uint64) bool { return !slices.Contains(cn.requestIDs, requestID) }

// do sends a call on the connection. When the call ends, the connection is closed or returned
// to the idle list.
func (cn *conn) do(ctx context.Context, r *Request) (*http.Response, error) {
	r.Conn = ConnInfo{Number: cn.number, EarlierCalls: cn.calls}
	cn.calls++
	if cn.client.opts.RequestIDHeader != "" {
		cn.requestIDs = append(cn.requestIDs, cn.client.requestID(r))
	}
	unbind := context.AfterFunc(ctx, func() { _ = cn.nc.SetDeadline(time.Unix(1, 0)) })
	writer := &requestWriter{cn: cn, done: make(chan struct{})}
	if err := writer.start(r); err != nil {
		unbind()
		cn.close()
		return nil, err
	}
	resp, err := cn.readResponse(r)
	if err != nil {
		unbind()
		cn.close()
		return nil, err
	}
	keepAlive := !resp.Close && !bodyMayBeUnread(r, resp) && len(cn.requestIDs) < maxRequestIDs
	resp.Body = &responseBody{
		src: resp.Body, cn: cn, writer: writer, unbind: unbind, endsWithConn: endsWithConn(resp),
		keepAlive: keepAlive, reusableUntil: reuseDeadline(resp.Header),
	}
	return resp, nil
}

// bodyMayBeUnread reports whether the server may still have to read the request body after its
// response. A server that rejects a call may respond before it reads the body, and read the
// rest at any later time; a body that fits into the TCP windows of the connection looks sent
// all the same. The next call on the connection would wait behind that body and run for a
// caller that has disconnected. A success status is taken as a sign that the body was read,
// although the protocol does not guarantee it.
func bodyMayBeUnread(r *Request, resp *http.Response) bool {
	return r.Length != 0 && resp.StatusCode >= http.StatusMultipleChoices
}

// endsWithConn reports whether the end of the connection is the end of the response body.
func endsWithConn(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// readResponse returns the head of the call's own response. A late second response to an
// earlier call may precede it and is recognized by its request ID, which no earlier call on the
// connection had.
func (cn *conn) readResponse(r *Request) (*http.Response, error) {
	id := cn.client.opts.RequestIDHeader
	headBytes := maxHeadBytes
	for foreign := 0; foreign <= maxForeignResponses; {
		resp, err := cn.readHead(r, &headBytes)
		if err != nil {
			var netErr net.Error
			if errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				return nil, err
			}
			return nil, malformedError(err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if id == "" || resp.Header.Get(id) == r.Header.Get(id) {
			return resp, nil
		}
		foreign++
		if cn.client.opts.OnLateResponse != nil {
			cn.client.opts.OnLateResponse()
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes+1))
		if err != nil || n > maxForeignBytes || resp.Close {
			break
		}
	}
	return nil, errForeignResponse
}

// reuseDeadline returns the time until which a connection may take another call after a
// response with the given header.
func reuseDeadline(h http.Header) time.Time {
	timeout := defaultIdleTimeout
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); ok && err == nil && seconds >= 0 {
			stated := min(time.Duration(seconds)*time.Second, maxIdleTimeout)
			timeout = time.Duration(float64(stated) * idleTimeoutFactor)
		}
	}
	return time.Now().Add(timeout)
}

// requestWriter writes one call to the server.
type requestWriter struct {
	cn *conn
	// done is closed when the write has ended.
	done chan struct{}
	// err is the result of the write. It is set before done is closed.
	err error
}

// start writes the head and a small body. A larger body, or one of unknown length, is written
// in the background while the response is read.
func (w *requestWriter) start(r *Request) error {
	w.cn.writeHead(r)
	if r.Length < 0 || r.Length > maxDirectBody {
		go func() {
			defer close(w.done)
			w.err = w.cn.writeLargeBody(r)
		}()
		return nil
	}
	defer close(w.done)
	w.err = w.cn.writeSmallBody(r)
	return w.err
}

// writeSmallBody writes a small body after the head and flushes both.
func (cn *conn) writeSmallBody(r *Request) error {
	if r.Length > 0 {
		if _, err := io.CopyN(cn.bw, r.Body, r.Length); err != nil {
			return err
		}
	}
	return cn.bw.Flush()
}

// complete reports whether the whole call has been written without an error so far.
func (w *requestWriter) complete() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// writeHead buffers the request line and the header.
func (cn *conn) writeHead(r *Request) {
	_, _ = cn.bw.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(cn.bw)
	switch {
	case r.Length < 0:
		_, _ = cn.bw.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Length > 0 || usuallyHasBody(r.Method):
		_, _ = cn.bw.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	}
	_, _ = cn.bw.WriteString("\r\n")
}

// usuallyHasBody reports whether requests with the method usually have a body. For these
// methods an empty body is declared by a Content-Length of 0.
func usuallyHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// writeLargeBody flushes the head and writes the body as it arrives, which may be slow.
func (cn *conn) writeLargeBody(r *Request) error {
	if err := cn.bw.Flush(); err != nil {
		return err
	}
	if r.Length >= 0 {
		if _, err := io.CopyN(cn.bw, r.Body, r.Length); err != nil {
			return err
		}
		return cn.bw.Flush()
	}
	w := &chunkWriter{cn.bw}
	if _, err := io.Copy(w, r.Body); err != nil {
		return err
	}
	_, _ = cn.bw.WriteString("0\r\n\r\n")
	return cn.bw.Flush()
}

// chunkWriter writes the chunked transfer encoding. It flushes each chunk, since the next one
// may arrive much later.
type chunkWriter struct{ bw *bufio.Writer }

// Write implements io.Writer.
func (w *chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	_, _ = w.bw.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	_, _ = w.bw.Write(p)
	_, _ = w.bw.WriteString("\r\n")
	return len(p), w.bw.Flush()
}
