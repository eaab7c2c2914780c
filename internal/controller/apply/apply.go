// Package apply puts configuration into force: it builds a snapshot from the folded state and
// the known backend servers and publishes it on the blackboard.
package apply

import (
	"context"
	"log/slog"
	"time"

	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/snapshot"
)

// Controller owns the Snapshot cell.
type Controller struct {
	Board  *blackboard.Board
	Logger *slog.Logger
	// OnInForce is called with the offset of each new version and the time at which it came into
	// force.
	OnInForce func(offset uint64, at time.Time)
}

// Run reconciles until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	for {
		// The channels are obtained before the values are used, so that a change in between
		// causes another round.
		st, stateChanged := c.Board.State.Watch()
		_, backendsChanged := c.Board.Backends.Watch()
		floor, floorChanged := c.Board.Floor.Watch()
		c.reconcile(st, floor)
		select {
		case <-stateChanged:
		case <-backendsChanged:
		case <-floorChanged:
		case <-ctx.Done():
			return nil
		}
	}
}

// reconcile updates the snapshot from the state. Nothing comes into force until the floor is
// known: a restarted daemon would otherwise serve an older version than its host did before, and
// callers would see a contract revert.
func (c *Controller) reconcile(st *fold.State, floor *blackboard.Floor) {
	if st == nil || floor == nil || !floor.Known || st.Offset < floor.Offset {
		return
	}
	prev := c.Board.Snapshot.Load()
	next := snapshot.Build(prev, st, c.Board.Backends.Load())
	if next == prev {
		return
	}
	c.Board.Snapshot.Store(next)
	if prev == nil || next.Offset > prev.Offset || next.Document() != prev.Document() {
		c.Logger.Info("apply: version in force", "offset", next.Offset,
			"document", next.Document().VersionOrZero(), "withheld_routes", len(next.Withheld))
		c.OnInForce(next.Offset, time.Now())
	}
}
