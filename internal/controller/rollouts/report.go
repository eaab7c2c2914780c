package rollouts

import (
	"context"
	"time"

	"github.com/crocuscross/crocuscross/internal/loop"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/rollout"
)

// report renews the gate's permit, until ctx is done.
func (c *Controller) report(ctx context.Context) error {
	for {
		w := c.reporting()
		if w == nil {
			if !c.tracked.Wait(ctx) {
				return nil
			}
			continue
		}
		wait := c.interval(w)
		if c.reportOnce(ctx, w) {
			wait = confirmAfter
		}
		if !loop.Sleep(ctx, wait) {
			return nil
		}
	}
}

// reporting returns the tracker whose reports the decider needs, nil if there is none.
func (c *Controller) reporting() *rollout.Tracker {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done || c.tracker == nil || c.tracker.Order.Offset == 0 {
		return nil
	}
	return c.tracker
}

// interval returns the time to the next report.
func (c *Controller) interval(w *rollout.Tracker) time.Duration {
	left := w.Order.Duration - c.opts.Now().Sub(w.OrderKnownAt)
	if w.NewVersion || left < moveTime {
		return reportInterval
	}
	return idleInterval
}

// reportOnce reports whether the gate has been opened or closed by the answer.
func (c *Controller) reportOnce(ctx context.Context, w *rollout.Tracker) bool {
	owner := c.decidingFor(w.Order.Service)
	if owner == nil {
		return false
	}
	sent := c.opts.Now()
	p, err := c.ask(ctx, owner, w.Order, w.Report(sent))
	if err != nil {
		c.opts.Logger.Info("rollout: report not answered", "service", w.Order.Service, "by", owner.Host, "error", err)
		return false
	}
	before := w.Mode(sent)
	w.SetPermit(p, sent)
	mode := w.Mode(c.opts.Now())
	if mode != before {
		c.opts.Logger.Info("rollout: gate changed", "service", w.Order.Service, "order", w.Order.Offset, "mode", mode.String(),
			"admit_up_to", p.AdmitUpTo, "outcome", p.Outcome.String(), "by", owner.Host)
	}
	c.mu.Lock()
	c.done = c.done || c.tracker == w && p.Recorded
	c.mu.Unlock()
	c.reconcile(c.opts.Now())
	return mode != before
}

func (c *Controller) ask(ctx context.Context, owner *membership.Member, o rollout.Order, r rollout.Report) (rollout.Permit, error) {
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

// decidingFor returns the member that decides about a service's rollout: the first by
// rendezvous hash among those with wide links. Two that decide at once, as their views
// differ, each grant a share of the calls that they are told of.
func (c *Controller) decidingFor(service string) *membership.Member {
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
		if m.Draining || m.LinkMbps < wideLink*widest {
			continue
		}
		if hash := membership.Rendezvous(m.Host, service); first == nil || hash > highest {
			first, highest = m, hash
		}
	}
	return first
}
