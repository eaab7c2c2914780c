// Package blackboard holds the state that a daemon's controllers share. Each controller reads
// any cell and writes only the cells that it owns; no controller calls another. Reading a cell
// on the request path costs one atomic load.
package blackboard

import (
	"sync"
	"sync/atomic"
)

// Cell holds one immutable value, which is replaced as a whole (read-copy-update). The zero Cell
// holds nil. A Cell is safe for concurrent use.
type Cell[T any] struct {
	p       atomic.Pointer[T]
	mu      sync.Mutex
	changed chan struct{}
}

// Load returns the current value, nil before the first Store.
func (c *Cell[T]) Load() *T { return c.p.Load() }

// Store replaces the value and wakes all watchers.
func (c *Cell[T]) Store(v *T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.p.Store(v)
	c.notify()
}

// Update replaces the value with the result of f, unless that is nil or the old value, and
// returns the value that the cell then holds. Updates are serialized.
func (c *Cell[T]) Update(f func(old *T) *T) *T {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.p.Load()
	v := f(old)
	if v == nil || v == old {
		return old
	}
	c.p.Store(v)
	c.notify()
	return v
}

// Watch returns the current value and a channel that is closed at the next change. Controllers
// reconcile from the value; the channel only wakes them, so several changes may be observed as
// one.
func (c *Cell[T]) Watch() (*T, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.p.Load(), c.changed
}

// notify wakes all watchers. The caller holds mu.
func (c *Cell[T]) notify() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}
