package outbound

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// errAttemptEnded means that the attempt ended before the gate had requested the rest of the
// body.
var errAttemptEnded = errors.New("the attempt ended before the gate had requested the rest of the body")

// creditReader reads a body no further than the gate has requested. The methods other than Read
// accept a nil *creditReader, which stands for a body without a limit.
type creditReader struct {
	src io.Reader
	// length is the length of the whole body in bytes, negative if it is not known.
	length int64

	mu   sync.Mutex
	cond *sync.Cond
	// available is the number of bytes that may still be read, sent the number read so far.
	available, sent int64
	// reading is set while a read of src is in progress.
	reading, closed bool
}

func newCreditReader(src io.Reader, length, allowed int64) *creditReader {
	c := &creditReader{src: src, length: length, available: allowed}
	c.cond = sync.NewCond(&c.mu)
	return c
}

// add allows n more bytes to be read.
func (c *creditReader) add(n int64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.available += n
	c.cond.Signal()
}

// close makes waiting and later reads fail.
func (c *creditReader) close() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.cond.Broadcast()
}

// closeTruncated closes the reader and reports whether it is certain that some of the body is
// never sent.
func (c *creditReader) closeTruncated() bool {
	if c == nil {
		return false
	}
	c.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.reading && c.sent < c.length
}

// Read implements io.Reader. It waits until the gate has requested more of the body.
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
