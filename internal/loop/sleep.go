package loop

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d and reports false where ctx is done before.
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

// SleepJittered is Sleep for half of d to one and a half of it. The jitter keeps
// processes that started together from acting together.
func SleepJittered(ctx context.Context, d time.Duration) bool { return Sleep(ctx, d/2+rand.N(d)) }
