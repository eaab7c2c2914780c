// Package checkpoints writes the folded configuration to the platform's log before the records
// that it was built from expire.
package checkpoints

import (
	"context"
	"log/slog"
	"time"

	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/membership"
)

// idleInterval is how long to wait while there is nothing to write.
const idleInterval = 10 * time.Second

// Checkpointer writes a checkpoint if one is due. Package checkpoint implements it.
type Checkpointer interface {
	// Step writes a checkpoint of st if this daemon has to write one. Live lists the hosts whose
	// daemons may write checkpoints. Step returns how long to wait before the next call, also
	// with an error.
	Step(ctx context.Context, st *fold.State, live []string) (next time.Duration, err error)
}

// Controller runs a Checkpointer on the state from the blackboard. It writes no cell.
type Controller struct {
	Board        *blackboard.Board
	Checkpointer Checkpointer
	Logger       *slog.Logger
}

// Run calls the Checkpointer until ctx is done.
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

// step calls the Checkpointer once and returns how long to wait before the next call.
func (c *Controller) step(ctx context.Context) time.Duration {
	st, view := c.Board.State.Load(), c.Board.Members.Load()
	if st == nil || st.Offset == 0 || view == nil {
		return idleInterval
	}
	next, err := c.Checkpointer.Step(ctx, st, eligibleHosts(view))
	if err != nil {
		c.Logger.Info("checkpoints: step failed", "error", err)
	}
	return next
}

// eligibleHosts returns the hosts whose daemons may write checkpoints: those alive and not
// draining.
func eligibleHosts(view *membership.View) []string {
	var names []string
	for _, m := range view.Members {
		if m.Liveness == membership.Alive && !m.Draining {
			names = append(names, m.Host)
		}
	}
	return names
}
