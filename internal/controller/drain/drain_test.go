package drain

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/blackboard"
)

// The callers of a stopping daemon need 2 s to move to other daemons. If its peers were notified
// of the drain at once, its backend server would be idle for all of that time. They are notified
// only 0.6 s before the gate closes.
func TestController_BackendServesWhileCallersMoveAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := &blackboard.Board{}
		var refused atomic.Pointer[time.Time]
		c := &Controller{
			Board: board, Logger: slog.New(slog.DiscardHandler),
			GracePeriod: 2 * time.Second, PeerNotice: 600 * time.Millisecond,
			RejectNewCalls: func() {
				now := time.Now()
				refused.Store(&now)
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = c.Run(ctx) }()
		c.Serving()
		c.Drain("signal")
		start := time.Now()
		phase := func() blackboard.Phase { return board.Lifecycle.Load().Phase }
		time.Sleep(1300 * time.Millisecond)
		must.Eq(t, blackboard.Draining, phase())
		time.Sleep(200 * time.Millisecond)
		must.Eq(t, blackboard.Leaving, phase())
		must.Nil(t, refused.Load())
		time.Sleep(time.Second)
		must.Eq(t, 2*time.Second, refused.Load().Sub(start))
	})
}
