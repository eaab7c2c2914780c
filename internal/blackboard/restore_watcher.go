package blackboard

import (
	"context"

	"github.com/crocuscross/crocuscross/eventlog"
)

// RestoreWatcher detects from the epoch of the daemon's state that the log was restored from an
// older copy. What daemons store next to the log may have been reverted as well and must then be
// stored again. A RestoreWatcher must be used by only one goroutine.
type RestoreWatcher struct {
	board *Board
	epoch uint32
	// known is set once an epoch has been observed.
	known bool
}

// NewRestoreWatcher returns a watcher that has observed no epoch yet.
func NewRestoreWatcher(b *Board) *RestoreWatcher { return &RestoreWatcher{board: b} }

// Wait blocks until the next restore of the log and returns true. It returns false if ctx is
// done first.
func (r *RestoreWatcher) Wait(ctx context.Context) bool {
	for {
		state, changed := r.board.State.Watch()
		if state != nil && r.observe(eventlog.Epoch(state.Offset)) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// observe records an epoch and reports whether it is higher than the one recorded before.
func (r *RestoreWatcher) observe(epoch uint32) bool {
	follows := r.known && epoch > r.epoch
	r.epoch, r.known = epoch, true
	return follows
}
