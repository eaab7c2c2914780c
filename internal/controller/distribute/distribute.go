// Package distribute brings the platform's configuration records to the
// blackboard, from the log or from other daemons.
package distribute

import (
	"context"

	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/loop"
	"github.com/crocuscross/crocuscross/spread"
)

// Controller owns the State and Source cells.
type Controller struct {
	Board    *blackboard.Board
	Spreader *spread.Spreader
}

// OnState is the spreader's callback for each new state.
func (c *Controller) OnState(st *fold.State) { c.Board.State.Store(st) }

// OnStatus is the spreader's callback for each change of its status.
func (c *Controller) OnStatus(st spread.Status) {
	c.Board.Source.Store(&blackboard.Source{
		Reader:        st.Reader,
		KnownOffset:   st.KnownOffset,
		LogError:      st.LogError,
		LogErrorSince: st.LogErrorSince,
		StuckReason:   st.StuckReason,
	})
}

// Run spreads, and keeps the spreader's view of the fleet up to date, until
// ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	return loop.Run(ctx, c.Spreader.Run, c.followView)
}

func (c *Controller) followView(ctx context.Context) error {
	for {
		view, changed := c.Board.Members.Watch()
		if view != nil {
			c.Spreader.SetView(view)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}
