package outbound

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// errNoCredit means that the attempt ended before the gate had asked for the rest.
var errNoCredit = errors.New("the rest of the body was not asked for")

// credit is a body of which the gate asks for one part after the other. A nil *credit
// has no bound.
type credit struct {
	src io.Reader
	// length of the whole body.
	length int64

	mu   sync.Mutex
	more *sync.Cond
	// left may still be read, sent has been.
	left, sent      int64
	reading, closed bool
}

func newCredit(src io.Reader, length, allowed int64) *credit {
	c := &credit{src: src, length: length, left: allowed}
	c.more = sync.NewCond(&c.mu)
	return c
}

// add lets so many more bytes be read.
func (c *credit) add(n int64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left += n
	c.more.Signal()
}

// close ends the reading; a read that waits fails.
func (c *credit) close() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.more.Broadcast()
}

// partOnly closes the body and reports whether a part of it will certainly never be sent.
func (c *credit) partOnly() bool {
	if c == nil {
		return false
	}
	c.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.reading && c.sent < c.length
}

// Read implements io.Reader. It waits until the gate has asked for something.
func (c *credit) Read(p []byte) (int, error) {
	c.mu.Lock()
	for c.left <= 0 && !c.closed {
		c.more.Wait()
	}
	if c.closed {
		c.mu.Unlock()
		return 0, errNoCredit
	}
	p = p[:min(int64(len(p)), c.left)]
	c.reading = true
	c.mu.Unlock()
	n, err := c.src.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.left -= int64(n)
	c.sent += int64(n)
	return n, err
}
