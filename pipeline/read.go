package pipeline

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/crocuscross/crocuscross/internal/netopt"
)

// readRequest reads one request, including its body if it is small enough to be buffered.
func (c *conn) readRequest() (*exchange, error) {
	c.in.remaining = int64(c.srv.opts.Limits().MaxHeaderBytes)
	r, err := http.ReadRequest(c.br)
	c.in.remaining = unlimited
	if err != nil && c.in.err != nil {
		return nil, c.in.err
	}
	if err != nil {
		return nil, err
	}
	if r.ProtoAtLeast(1, 1) && r.Host == "" {
		return nil, errNoHost
	}
	r.RemoteAddr = c.nc.RemoteAddr().String()
	x := newExchange(c, r)
	if err := c.readBody(x); err != nil {
		return nil, err
	}
	return x, nil
}

// callerDisconnected reports whether the caller has closed or reset the connection and no input
// is left in the kernel.
func (c *conn) callerDisconnected() bool { return netopt.Peek(c.nc) == netopt.InputEnded }

var errNoHost = errors.New("request has no Host header")

// readBody buffers a body of up to MaxBufferedBody bytes and streams a larger one to the handler.
func (c *conn) readBody(x *exchange) error {
	r := x.req
	if r.ContentLength == 0 {
		r.Body = http.NoBody
		return nil
	}
	if c.skipsBody(r) {
		x.streamBody(r.Body)
		return c.nc.SetReadDeadline(time.Time{})
	}
	if r.Header.Get("Expect") != "" {
		c.waitEmpty()
		if err := c.writeContinue(); err != nil {
			return err
		}
	}
	limit := c.srv.opts.MaxBufferedBody
	if r.ContentLength > limit {
		x.streamBody(r.Body)
		return c.nc.SetReadDeadline(time.Time{})
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(bufferedBodyTimeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(body)) <= limit {
		r.Body = io.NopCloser(bytes.NewReader(body))
		r.ContentLength, r.TransferEncoding = int64(len(body)), nil
		return nil
	}
	x.streamBody(struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(body), r.Body), r.Body})
	return c.nc.SetReadDeadline(time.Time{})
}

// maxAwaitedBody is the size in bytes up to which the body of a request is read even if the request
// will be rejected, so that the connection can stay open.
const maxAwaitedBody = 16 << 10

// skipsBody reports whether a request is handled without waiting for its body.
func (c *conn) skipsBody(r *http.Request) bool {
	awaited := r.Header.Get("Expect") == "" && r.ContentLength >= 0 && r.ContentLength <= maxAwaitedBody
	return !awaited && c.srv.opts.RejectsHead(r)
}

func (c *conn) writeContinue() error {
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}

// rejectInput responds to malformed input after all pending responses have been written, and ends
// the connection. It returns err if no response is due because the caller has disconnected, and
// otherwise the error of the write.
func (c *conn) rejectInput(err error) error {
	status := rejectionStatus(err)
	if status == 0 {
		return err
	}
	c.srv.opts.OnMalformed(c.nc.RemoteAddr(), err)
	c.waitEmpty()
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, werr := io.WriteString(c.nc, statusLine(status)+"Connection: close\r\nContent-Length: 0\r\n\r\n")
	return werr
}

// rejectionStatus returns the HTTP status for input that could not be read, or 0 if the caller
// has disconnected.
func rejectionStatus(err error) int {
	var netErr net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return 0
	}
	return http.StatusBadRequest
}
