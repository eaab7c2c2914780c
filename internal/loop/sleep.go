package loop

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d and returns true. It returns false if ctx is done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// SleepJittered is Sleep for a random duration from d/2 to 3d/2; d must be positive. The jitter
// keeps processes that started together from acting in lockstep.
func SleepJittered(ctx context.Context, d time.Duration) bool { return Sleep(ctx, d/2+rand.N(d)) }
