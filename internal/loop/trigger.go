package loop

import "context"

// Trigger makes one loop reconcile again. It stays set until the loop waits for it; setting it
// several times has the same effect as setting it once.
type Trigger chan struct{}

// NewTrigger returns a trigger that is not set.
func NewTrigger() Trigger { return make(Trigger, 1) }

// Set sets the trigger. It does not block.
func (t Trigger) Set() {
	select {
	case t <- struct{}{}:
	default:
	}
}

// Wait blocks until the trigger is set, resets it and returns true. It returns false if ctx is
// done first.
func (t Trigger) Wait(ctx context.Context) bool {
	select {
	case <-t:
		return true
	case <-ctx.Done():
		return false
	}
}
