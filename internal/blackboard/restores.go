package blackboard

import (
	"context"

	"github.com/crocuscross/crocuscross/eventlog"
)

// RestoreWatcher tells of the log's returns from an older copy, as the daemon's state shows them.
// What daemons keep beside the log may have gone back as well. It serves one goroutine.
type RestoreWatcher struct {
	board *Board
	epoch uint32
	// known is set once a state has told the epoch.
	known bool
}

// NewRestoreWatcher returns a Restores that has seen no state yet.
func NewRestoreWatcher(b *Board) *RestoreWatcher { return &RestoreWatcher{board: b} }

// Wait returns behind the next restore, or false where ctx is done before.
func (r *RestoreWatcher) Wait(ctx context.Context) bool {
	for {
		state, changed := r.board.State.Watch()
		if state != nil && r.reach(eventlog.Epoch(state.Offset)) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// reach takes in an epoch, and reports whether it follows another one.
func (r *RestoreWatcher) reach(epoch uint32) bool {
	follows := r.known && epoch > r.epoch
	r.epoch, r.known = epoch, true
	return follows
}
