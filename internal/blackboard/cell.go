// Package blackboard is the state that a daemon's controllers share. Each
// controller reads cells and writes the ones that it owns; no controller calls
// another. A reader on a request's path pays one atomic load.
package blackboard

import (
	"sync"
	"sync/atomic"
)

// Cell holds one immutable value, replaced as a whole (read-copy-update). The
// zero Cell holds nil.
type Cell[T any] struct {
	p       atomic.Pointer[T]
	mu      sync.Mutex
	changed chan struct{}
}

// Load returns the current value, nil before the first Store.
func (c *Cell[T]) Load() *T { return c.p.Load() }

// Store replaces the value and wakes all who watch.
func (c *Cell[T]) Store(v *T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.p.Store(v)
	c.wake()
}

// Update replaces the value with f's result, one update at a time. A nil
// result or the old value leaves the cell as it is.
func (c *Cell[T]) Update(f func(old *T) *T) *T {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.p.Load()
	v := f(old)
	if v == nil || v == old {
		return old
	}
	c.p.Store(v)
	c.wake()
	return v
}

// Watch returns the current value and a channel that is closed at the next
// change. Controllers reconcile from the value; the channel only wakes them,
// so several changes may be seen as one.
func (c *Cell[T]) Watch() (*T, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.p.Load(), c.changed
}

func (c *Cell[T]) wake() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}
