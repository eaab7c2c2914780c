package backendconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// writeSide writes to a connection and keeps the first error.
//
// The kernel reports the reset of a connection to one system call only. If that is a write, reads return
// io.EOF afterwards, as if the server had closed the connection in an orderly way, and part of a response
// that ends with its connection would be taken for the whole.
type writeSide struct {
	nc net.Conn

	// mu is held during a write, which ends early once stop has been called.
	mu  sync.Mutex
	err error
}

// Write implements io.Writer.
func (w *writeSide) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.nc.Write(p)
	if err != nil && w.err == nil {
		w.err = err
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom, so that a bufio.Writer does not split a large body into parts of the
// size of its buffer.
func (w *writeSide) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{w}, r)
}

// stop ends a write in progress, makes later ones fail, and reports whether a write has failed since the
// server reset the connection before it had sent all its data.
func (w *writeSide) stop() (reset bool) {
	_ = w.nc.SetWriteDeadline(time.Unix(1, 0))
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.err == nil, errors.Is(w.err, os.ErrDeadlineExceeded), errors.Is(w.err, net.ErrClosed):
		return false
	case errors.Is(w.err, syscall.EPIPE):
		// The kernel reports this error in place of ECONNRESET if all data of the server and its orderly
		// end arrived before the reset.
		return false
	}
	return true
}
