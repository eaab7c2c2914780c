package backendconn

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// discardTimeout bounds how long the rest of a response is awaited that nobody needs. A server on the same
// host sends it at once.
const discardTimeout = 50 * time.Millisecond

// responseBody reads the body of a response and then returns the connection to the idle list or
// closes it.
type responseBody struct {
	src    io.ReadCloser
	cn     *conn
	writer *requestWriter
	unbind func() bool
	// endsWithConn is whether the end of the connection is the end of the body.
	endsWithConn bool
	// keepAlive is whether the connection may be used again after the response, and
	// reusableUntil until when.
	keepAlive     bool
	reusableUntil time.Time

	once sync.Once
	// complete is set when the body has been read to its end.
	complete bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	if errors.Is(err, io.EOF) {
		if b.endsWithConn && b.cn.out.stop() {
			return n, io.ErrUnexpectedEOF
		}
		b.complete = true
		b.release()
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.release()
	return nil
}

// Discard reads a response of a stated length of at most limit bytes to its end, if that arrives soon, so
// that its connection can be used again, and closes it. A longer response is closed at once.
func Discard(resp *http.Response, limit int64) {
	b, ok := resp.Body.(*responseBody)
	if n := resp.ContentLength; ok && n >= 0 && n <= limit {
		b.discard()
	}
	_ = resp.Body.Close()
}

// discard reads the rest of the body within discardTimeout.
func (b *responseBody) discard() {
	timer := time.AfterFunc(discardTimeout, func() { _ = b.cn.nc.SetReadDeadline(time.Unix(1, 0)) })
	if _, err := io.Copy(io.Discard, b.src); err == nil && timer.Stop() {
		b.complete = true
	}
}

// release returns the connection to the idle list if the response was read completely, no more
// input follows it and the request was sent completely; otherwise it closes the connection. A
// server that responds to a long body early continues to read it, and would take the next call
// for the rest of that body.
func (b *responseBody) release() {
	b.once.Do(func() {
		stillBound := b.unbind()
		if stillBound && b.complete && b.keepAlive && b.writer.complete() && b.cn.br.Buffered() == 0 {
			b.cn.reusableUntil = b.reusableUntil
			b.cn.client.putIdle(b.cn)
			return
		}
		b.cn.close()
	})
}
