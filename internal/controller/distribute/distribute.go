// Package distribute publishes the platform's configuration records on the blackboard. They come
// from the log or from other daemons.
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

// OnState publishes a state. It is the spreader's callback for each new state.
func (c *Controller) OnState(st *fold.State) { c.Board.State.Store(st) }

// OnStatus publishes the spreader's status. It is the spreader's callback for each change of
// that status.
func (c *Controller) OnStatus(st spread.Status) {
	c.Board.Source.Store(&blackboard.Source{
		Reader:        st.Reader,
		KnownOffset:   st.KnownOffset,
		LogError:      st.LogError,
		LogErrorSince: st.LogErrorSince,
		StuckReason:   st.StuckReason,
	})
}

// Run runs the spreader and passes it each new view of the fleet, until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	return loop.Run(ctx, c.Spreader.Run, c.updateView)
}

func (c *Controller) updateView(ctx context.Context) error {
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
