package loop

import "context"

// Trigger makes one loop look at the state again. Set while nobody waits, it is kept; set
// several times, it is set once.
type Trigger chan struct{}

// NewTrigger returns a Wake that is not set.
func NewTrigger() Trigger { return make(Trigger, 1) }

// Set wakes the loop.
func (w Trigger) Set() {
	select {
	case w <- struct{}{}:
	default:
	}
}

// Wait waits until it is set, and reports false where ctx is done before.
func (w Trigger) Wait(ctx context.Context) bool {
	select {
	case <-w:
		return true
	case <-ctx.Done():
		return false
	}
}
