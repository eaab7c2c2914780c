package loop

import "context"

// Trigger makes one loop reconcile again. It stays set until the loop waits for it; setting it
// several times has the same effect as setting it once.
type Trigger chan struct{}

// NewTrigger returns a trigger that is not set.
func NewTrigger() Trigger { return make(Trigger, 1) }

// Set sets the trigger. It does not block.
func (w Trigger) Set() {
	select {
	case w <- struct{}{}:
	default:
	}
}

// Wait blocks until the trigger is set, resets it and returns true. It returns false if ctx is
// done first.
func (w Trigger) Wait(ctx context.Context) bool {
	select {
	case <-w:
		return true
	case <-ctx.Done():
		return false
	}
}
