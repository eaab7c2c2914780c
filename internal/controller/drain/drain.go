// Package drain moves a daemon through the phases of its lifecycle and lets it stop without
// interrupting requests.
package drain

import (
	"context"
	"log/slog"
	"time"

	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/loop"
)

// pollInterval is how often Wait counts the requests in flight.
const pollInterval = 20 * time.Millisecond

// InFlightCounter counts the requests that must end before the daemon may stop.
type InFlightCounter interface {
	InFlight() int
}

// Controller owns the Lifecycle cell.
type Controller struct {
	Board  *blackboard.Board
	Logger *slog.Logger
	// GracePeriod is how long a draining daemon keeps accepting calls, until its callers have
	// moved to other daemons and all peers know of the drain.
	GracePeriod time.Duration
	// PeerNotice is the last part of GracePeriod. When it begins, the daemon announces that its
	// backend server must receive no more calls. An announcement at the start of the drain would
	// leave the backend server idle while callers move away: with three servers, one was idle
	// for 3 s of each restart.
	PeerNotice time.Duration
	// Counters count the requests that Wait waits for.
	Counters []InFlightCounter
	// RejectNewCalls makes the gate reject new calls. It is called at the end of GracePeriod.
	RejectNewCalls func()
}

// Run waits for a drain, announces it to the peers and, once they know of it, makes the gate
// reject new calls. Rejecting calls at once would fail those that are already on their way. Run
// returns early if ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	for {
		l, changed := c.Board.Lifecycle.Watch()
		if l != nil && l.Phase >= blackboard.Draining {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
	if loop.Sleep(ctx, c.GracePeriod-c.PeerNotice) {
		c.enterPhase(blackboard.Leaving, "")
	}
	if loop.Sleep(ctx, c.PeerNotice) {
		c.RejectNewCalls()
	}
	return nil
}

// Joining enters the first phase: the daemon joins the fleet and recovers its configuration.
func (c *Controller) Joining() { c.enterPhase(blackboard.Joining, "") }

// Serving enters the phase that follows a completed startup.
func (c *Controller) Serving() { c.enterPhase(blackboard.Serving, "") }

// Drain begins a graceful shutdown of this host's share of the work; further calls have no
// effect. The daemon itself keeps running and forwards callers' requests.
func (c *Controller) Drain(reason string) { c.enterPhase(blackboard.Draining, reason) }

// enterPhase enters a later phase. An equal or earlier phase is ignored.
func (c *Controller) enterPhase(p blackboard.Phase, reason string) {
	c.Board.Lifecycle.Update(func(old *blackboard.Lifecycle) *blackboard.Lifecycle {
		if old != nil && old.Phase >= p {
			return old
		}
		c.Logger.Info("drain: phase entered", "phase", p.String(), "reason", reason)
		return &blackboard.Lifecycle{Phase: p, Since: time.Now(), Reason: reason}
	})
}

// Draining reports whether the daemon is in phase Draining or a later one.
func (c *Controller) Draining() bool {
	l := c.Board.Lifecycle.Load()
	return l != nil && l.Phase >= blackboard.Draining
}

// WaitGracePeriod blocks for GracePeriod, after which the peers know of the drain, or until ctx
// is done.
func (c *Controller) WaitGracePeriod(ctx context.Context) { loop.Sleep(ctx, c.GracePeriod) }

// Wait blocks until no request is in flight or ctx is done, and returns the number of requests
// still in flight. The caller must have stopped new requests; otherwise Wait may block until ctx
// is done.
func (c *Controller) Wait(ctx context.Context) int {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for n := c.inFlight(); n > 0; n = c.inFlight() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return n
		}
	}
	return 0
}

func (c *Controller) inFlight() int {
	n := 0
	for _, w := range c.Counters {
		n += w.InFlight()
	}
	return n
}
