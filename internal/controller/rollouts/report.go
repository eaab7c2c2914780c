package rollouts

import (
	"context"
	"time"

	"github.com/crocuscross/crocuscross/internal/loop"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/rollout"
)

// report sends reports to renew the gate's permit, until ctx is done.
func (c *Controller) report(ctx context.Context) error {
	for {
		tracker := c.reportingTracker()
		if tracker == nil {
			if !c.trackerSet.Wait(ctx) {
				return nil
			}
			continue
		}
		wait := c.interval(tracker)
		if c.reportOnce(ctx, tracker) {
			wait = confirmDelay
		}
		if !loop.Sleep(ctx, wait) {
			return nil
		}
	}
}

// reportingTracker returns the tracker whose reports the decider needs, nil if there is none.
func (c *Controller) reportingTracker() *rollout.Tracker {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reportingDone || c.tracker == nil || c.tracker.Order.Offset == 0 {
		return nil
	}
	return c.tracker
}

// interval returns the time to the next report.
func (c *Controller) interval(tracker *rollout.Tracker) time.Duration {
	left := tracker.Order.Duration - c.opts.Now().Sub(tracker.OrderKnownAt)
	if tracker.NewVersion || left < trafficShiftTime {
		return reportInterval
	}
	return idleInterval
}

// reportOnce sends one report and reports whether the answer has changed the gate's mode.
func (c *Controller) reportOnce(ctx context.Context, tracker *rollout.Tracker) bool {
	owner := c.deciderFor(tracker.Order.Service)
	if owner == nil {
		return false
	}
	sent := c.opts.Now()
	p, err := c.sendReport(ctx, owner, tracker.Order, tracker.Report(sent))
	if err != nil {
		c.opts.Logger.Info("rollout: report not answered", "service", tracker.Order.Service, "by", owner.Host, "error", err)
		return false
	}
	before := tracker.Mode(sent)
	tracker.SetPermit(p, sent)
	mode := tracker.Mode(c.opts.Now())
	if mode != before {
		c.opts.Logger.Info("rollout: gate changed", "service", tracker.Order.Service, "order", tracker.Order.Offset, "mode", mode.String(),
			"admit_up_to", p.AdmitUpTo, "outcome", p.Outcome.String(), "by", owner.Host)
	}
	c.mu.Lock()
	c.reportingDone = c.reportingDone || c.tracker == tracker && p.Recorded
	c.mu.Unlock()
	c.reconcile(c.opts.Now())
	return mode != before
}

// sendReport sends a report to its decider, which may be this daemon itself.
func (c *Controller) sendReport(ctx context.Context, owner *membership.Member, o rollout.Order, r rollout.Report) (rollout.Permit, error) {
	m := rollout.EncodeReport(o, r)
	if owner.Host == c.opts.Host {
		return c.decide(m)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	p, err := c.opts.Peers.Report(ctx, owner, m)
	if err != nil {
		return rollout.Permit{}, err
	}
	return rollout.DecodePermit(p), nil
}

// deciderFor returns the member that decides on a service's rollout: the first by rendezvous
// hash among those with wide links, nil if there is none. If two members decide at the same time
// because their views differ, each grants a share of only the calls that are reported to it.
func (c *Controller) deciderFor(service string) *membership.Member {
	view := c.opts.Board.Members.Load()
	if view == nil {
		return nil
	}
	live := view.Live()
	widest := float32(0)
	for _, m := range live {
		widest = max(widest, m.LinkMbps)
	}
	var first *membership.Member
	var highest uint64
	for _, m := range live {
		if m.Draining || m.LinkMbps < minLinkShare*widest {
			continue
		}
		if hash := membership.Rendezvous(m.Host, service); first == nil || hash > highest {
			first, highest = m, hash
		}
	}
	return first
}
