// Package drain takes a daemon through its life's phases and lets it stop
// without cutting off a request.
package drain

import (
	"context"
	"log/slog"
	"time"

	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/loop"
)

const pollInterval = 20 * time.Millisecond

// InFlightCounter counts work that must end before the daemon may stop.
type InFlightCounter interface {
	InFlight() int
}

// Controller owns the Lifecycle cell.
type Controller struct {
	Board  *blackboard.Board
	Logger *slog.Logger
	// GracePeriod is how long a draining daemon goes on taking calls, until its callers have
	// gone elsewhere and all others know that it drains.
	GracePeriod time.Duration
	// PeerNotice is the last part of Quiet, from when on the others are told to send no more
	// calls to the backend server. Told at the start, they would leave it idle while its
	// callers go: of three servers one was so for 3 s of each restart.
	PeerNotice time.Duration
	Counters   []InFlightCounter
	// RejectNewCalls makes the gate turn away new calls; it comes after Quiet.
	RejectNewCalls func()
}

// Run tells the others of a drain and lets the gate refuse new calls once they know,
// until ctx is done. Refusing at once would fail the calls that are on their way.
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
		c.enter(blackboard.Leaving, "")
	}
	if loop.Sleep(ctx, c.PeerNotice) {
		c.RejectNewCalls()
	}
	return nil
}

// Joining marks the start: the daemon finds the others and recovers.
func (c *Controller) Joining() { c.enter(blackboard.Joining, "") }

// Serving marks the end of the start.
func (c *Controller) Serving() { c.enter(blackboard.Serving, "") }

// Drain begins a graceful shutdown of this host's share of the work; a second call
// changes nothing. The daemon itself stays up and forwards callers' requests.
func (c *Controller) Drain(reason string) { c.enter(blackboard.Draining, reason) }

// enter moves to a later phase; an earlier or equal one is ignored.
func (c *Controller) enter(p blackboard.Phase, reason string) {
	c.Board.Lifecycle.Update(func(old *blackboard.Lifecycle) *blackboard.Lifecycle {
		if old != nil && old.Phase >= p {
			return old
		}
		c.Logger.Info("drain: phase entered", "phase", p.String(), "reason", reason)
		return &blackboard.Lifecycle{Phase: p, Since: time.Now(), Reason: reason}
	})
}

// Draining reports whether the daemon drains or has stopped.
func (c *Controller) Draining() bool {
	l := c.Board.Lifecycle.Load()
	return l != nil && l.Phase >= blackboard.Draining
}

// WaitGracePeriod blocks until the others know of the drain, or ctx is done.
func (c *Controller) WaitGracePeriod(ctx context.Context) { loop.Sleep(ctx, c.GracePeriod) }

// Wait blocks until no request is in flight or ctx is done. It returns how many
// still were. New requests must not come any more, or it may wait in vain.
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
