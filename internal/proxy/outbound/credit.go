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

	mu     sync.Mutex
	more   *sync.Cond
	left   int64
	closed bool
}

func newCredit(src io.Reader, allowed int64) *credit {
	c := &credit{src: src, left: allowed}
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
	c.mu.Unlock()
	n, err := c.src.Read(p)
	c.mu.Lock()
	c.left -= int64(n)
	c.mu.Unlock()
	return n, err
}
