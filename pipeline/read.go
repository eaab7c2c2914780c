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

// readRequest reads one request, with its body if that is held.
func (c *conn) readRequest() (*exchange, error) {
	c.in.left = int64(c.srv.opts.Limits().MaxHeaderBytes)
	r, err := http.ReadRequest(c.br)
	c.in.left = unbounded
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

// callerLeft reports whether the connection ends behind what has been read of it.
func (c *conn) callerLeft() bool { return netopt.Peek(c.nc) == netopt.InputEnded }

var errNoHost = errors.New("request names no host")

// readBody reads a small body whole; the rest of a larger one is handed over as it
// comes.
func (c *conn) readBody(x *exchange) error {
	r := x.req
	if r.ContentLength == 0 {
		r.Body = http.NoBody
		return nil
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
	_ = c.nc.SetReadDeadline(time.Now().Add(heldBodyTimeout))
	held, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(held)) <= limit {
		r.Body = io.NopCloser(bytes.NewReader(held))
		r.ContentLength, r.TransferEncoding = int64(len(held)), nil
		return nil
	}
	x.streamBody(struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(held), r.Body), r.Body})
	return c.nc.SetReadDeadline(time.Time{})
}

func (c *conn) writeContinue() error {
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}

// refuse answers input that is no request, behind the answers that are due, and
// ends the connection.
func (c *conn) refuse(err error) error {
	status := refusalStatus(err)
	if status == 0 {
		return err
	}
	c.srv.opts.OnMalformed(c.nc.RemoteAddr(), err)
	c.waitEmpty()
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, werr := io.WriteString(c.nc, statusLine(status)+"Connection: close\r\nContent-Length: 0\r\n\r\n")
	return werr
}

// refusalStatus returns the status for input that could not be read, 0 where the
// caller has gone.
func refusalStatus(err error) int {
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
