package backendconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/crocuscross/crocuscross/internal/netopt"
)

const (
	// maxOtherAnswers is how many late answers to earlier calls are passed over,
	// and maxOtherBytes the length of each at most.
	maxOtherAnswers = 4
	maxOtherBytes   = 1 << 20
	// directBytes is the largest body that is written before the answer is looked
	// for. It fits into the windows of a connection, so that a server that answers
	// early cannot hold up the write.
	directBytes = 16 << 10
	bufferBytes = 4 << 10
)

// conn is one connection to the server, used by one call at a time.
type conn struct {
	client *Client
	nc     net.Conn
	br     *bufio.Reader
	bw     *bufio.Writer
	// keptUntil is until when the connection may take another call.
	keptUntil time.Time
}

func newConn(c *Client, nc net.Conn) *conn {
	return &conn{client: c, nc: nc, br: bufio.NewReaderSize(nc, bufferBytes), bw: bufio.NewWriterSize(nc, bufferBytes)}
}

func (cn *conn) close() { _ = cn.nc.Close() }

// sound reports whether the server has neither closed an idle connection nor sent
// anything on it. What it sent belongs to no call and would be taken for the answer
// of the next one.
func (cn *conn) sound() bool {
	if cn.br.Buffered() > 0 {
		return false
	}
	found := netopt.Peek(cn.nc)
	return found == netopt.NoInput || found == netopt.InputUnknown
}

// do sends a call on the connection, which it closes or gives back.
func (cn *conn) do(ctx context.Context, r *Request) (*http.Response, error) {
	unbind := context.AfterFunc(ctx, func() { _ = cn.nc.SetDeadline(time.Unix(1, 0)) })
	up := &sending{cn: cn, done: make(chan struct{})}
	if err := up.start(r); err != nil {
		unbind()
		cn.close()
		return nil, err
	}
	resp, err := cn.readAnswer(r)
	if err != nil {
		unbind()
		cn.close()
		return nil, err
	}
	resp.Body = &answerBody{src: resp.Body, cn: cn, up: up, unbind: unbind, keep: !resp.Close && !mayBeUnread(r, resp), until: keptUntil(resp.Header)}
	return resp, nil
}

// mayBeUnread reports whether the server may still have a call's body to read behind its
// answer. One that turns a call away may do so before it reads the body, and read on when
// it likes; a body that fits into the connection's windows looks sent all the same. The
// next call on the connection would stand behind it and be run for a caller that has left. A
// success is taken to say that the body was read; the protocol does not promise it.
func mayBeUnread(r *Request, resp *http.Response) bool {
	return r.Length != 0 && resp.StatusCode >= http.StatusMultipleChoices
}

// readAnswer returns the head of the call's own answer. A late second answer to an
// earlier call may stand before it; its request id tells.
func (cn *conn) readAnswer(r *Request) (*http.Response, error) {
	id := cn.client.opts.RequestIDHeader
	for others := 0; others <= maxOtherAnswers; {
		resp, err := http.ReadResponse(cn.br, &http.Request{Method: r.Method})
		if err != nil {
			var netErr net.Error
			if errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				return nil, err
			}
			return nil, malformed(err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if id == "" || resp.Header.Get(id) == r.Header.Get(id) {
			return resp, nil
		}
		others++
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxOtherBytes+1))
		if err != nil || n > maxOtherBytes || resp.Close {
			break
		}
	}
	return nil, errOtherAnswer
}

// keptUntil returns until when a connection may take another call after an answer.
func keptUntil(h http.Header) time.Time {
	wait := unstatedIdle
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); ok && err == nil && seconds >= 0 {
			stated := min(time.Duration(seconds)*time.Second, maxStatedIdle)
			wait = time.Duration(float64(stated) * idleShare)
		}
	}
	return time.Now().Add(wait)
}

// sending is a call on its way to the server.
type sending struct {
	cn   *conn
	done chan struct{}
	// err is set before done is closed.
	err error
}

// start writes the head and a small body; a larger one is written meanwhile.
func (s *sending) start(r *Request) error {
	s.cn.writeHead(r)
	if r.Length < 0 || r.Length > directBytes {
		go func() {
			defer close(s.done)
			s.err = s.cn.writeBody(r)
		}()
		return nil
	}
	defer close(s.done)
	s.err = s.cn.writeDirect(r)
	return s.err
}

// writeDirect writes a small body behind the head.
func (cn *conn) writeDirect(r *Request) error {
	if r.Length > 0 {
		if _, err := io.CopyN(cn.bw, r.Body, r.Length); err != nil {
			return err
		}
	}
	return cn.bw.Flush()
}

// whole reports whether the call has been sent to its end by now.
func (s *sending) whole() bool {
	select {
	case <-s.done:
		return s.err == nil
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
	case r.Length > 0 || hasBody(r.Method):
		_, _ = cn.bw.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	}
	_, _ = cn.bw.WriteString("\r\n")
}

// hasBody reports whether requests of a method usually have a body, so that an
// empty one is said to be empty.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// writeBody writes the head, and a large body as it comes, which may be slowly.
func (cn *conn) writeBody(r *Request) error {
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

// chunkWriter writes the chunked form. Each part is flushed, as the next may be long
// in coming.
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

// answerBody reads an answer's body and then gives the connection back or closes it.
type answerBody struct {
	src    io.ReadCloser
	cn     *conn
	up     *sending
	unbind func() bool
	// keep is whether the server keeps the connection, until for how long.
	keep  bool
	until time.Time

	once  sync.Once
	whole bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
		b.release()
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.release()
	return nil
}

// release gives the connection back where the answer came whole, nothing follows it
// and the request was sent to its end. A server that answers a long body early goes
// on reading it: what a next call sends would be taken for the rest.
func (b *answerBody) release() {
	b.once.Do(func() {
		stillBound := b.unbind()
		if stillBound && b.whole && b.keep && b.up.whole() && b.cn.br.Buffered() == 0 {
			b.cn.keptUntil = b.until
			b.cn.client.keep(b.cn)
			return
		}
		b.cn.close()
	})
}
