package outbound

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// errAttemptEnded means that the attempt ended before the gate had asked for the rest.
var errAttemptEnded = errors.New("the rest of the body was not asked for")

// creditReader is a body of which the gate asks for one part after the other. A nil *creditReader
// has no bound.
type creditReader struct {
	src io.Reader
	// length of the whole body.
	length int64

	mu   sync.Mutex
	cond *sync.Cond
	// available may still be read, sent has been.
	available, sent int64
	reading, closed bool
}

func newCreditReader(src io.Reader, length, allowed int64) *creditReader {
	c := &creditReader{src: src, length: length, available: allowed}
	c.cond = sync.NewCond(&c.mu)
	return c
}

// add lets so many more bytes be read.
func (c *creditReader) add(n int64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.available += n
	c.cond.Signal()
}

// close ends the reading; a read that waits fails.
func (c *creditReader) close() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.cond.Broadcast()
}

// closeTruncated closes the body and reports whether a part of it will certainly never be sent.
func (c *creditReader) closeTruncated() bool {
	if c == nil {
		return false
	}
	c.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.reading && c.sent < c.length
}

// Read implements io.Reader. It waits until the gate has asked for something.
func (c *creditReader) Read(p []byte) (int, error) {
	c.mu.Lock()
	for c.available <= 0 && !c.closed {
		c.cond.Wait()
	}
	if c.closed {
		c.mu.Unlock()
		return 0, errAttemptEnded
	}
	p = p[:min(int64(len(p)), c.available)]
	c.reading = true
	c.mu.Unlock()
	n, err := c.src.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.available -= int64(n)
	c.sent += int64(n)
	return n, err
}
