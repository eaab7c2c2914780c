// Package checkpoints has the folded configuration written to the platform's
// log before the records that made it expire.
package checkpoints

import (
	"context"
	"log/slog"
	"time"

	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/membership"
)

// emptyWait is how long to wait while there is nothing to write.
const emptyWait = 10 * time.Second

// Checkpointer decides whether a checkpoint is due and writes it; checkpoint.Checkpointer
// is one.
type Checkpointer interface {
	Step(ctx context.Context, st *fold.State, live []string) (next time.Duration, err error)
}

// Controller drives a Keeper from the blackboard. It writes no cell.
type Controller struct {
	Board        *blackboard.Board
	Checkpointer Checkpointer
	Logger       *slog.Logger
}

// Run takes steps until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	for {
		t := time.NewTimer(c.step(ctx))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return nil
		}
	}
}

func (c *Controller) step(ctx context.Context) time.Duration {
	st, view := c.Board.State.Load(), c.Board.Members.Load()
	if st == nil || st.Offset == 0 || view == nil {
		return emptyWait
	}
	next, err := c.Checkpointer.Step(ctx, st, hosts(view))
	if err != nil {
		c.Logger.Info("checkpoints: step failed", "error", err)
	}
	return next
}

// hosts returns the names of the daemons that may write.
func hosts(view *membership.View) []string {
	var names []string
	for _, m := range view.Members {
		if m.Liveness == membership.Alive && !m.Draining {
			names = append(names, m.Host)
		}
	}
	return names
}
