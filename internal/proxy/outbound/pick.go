package outbound

import (
	"slices"
	"time"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/balance"
	"github.com/crocuscross/crocuscross/errkind"
)

// pick chooses a backend server that this call has not tried yet. If all have refused the call
// or are known to be busy, a call under a document's terms may wait at one of them until its
// deadline.
func (c *call) pick() (*balance.Lease, error) {
	servers := c.snap.Backends(c.service)
	opts := balance.PickOptions{
		Exclude: c.wasTried, RemoteCost: c.remoteCost(), Spill: c.spill(), BodyBytes: c.bodyBytes(), TimeLeft: c.timeLeft(),
	}
	if c.route != nil {
		opts.Objective = c.route.Objective
		opts.Route, opts.Nested = c.route.Name, c.admissionRequest.Nested
	}
	byLink := c.h.opts.Picker.PlacesByLink(servers, opts.BodyBytes)
	c.linkMaxWait = 0
	switch {
	case byLink:
		opts.MaxWait = c.maxLateRetryWait()
	case !c.h.opts.TryBusyGates:
		opts.MaxWait = c.maxQueueTime()
	}
	lease, err := c.h.opts.Picker.PickWithOptions(servers, opts)
	if err != nil && !c.fullWait && c.route != nil && !(byLink && errkind.Of(err) == errkind.Overloaded) {
		c.fullWait, c.tried = true, nil
		opts.Spill.Final = true
		if !byLink {
			opts.MaxWait = c.maxQueueTime()
		}
		lease, err = c.h.opts.Picker.PickWithOptions(servers, opts)
	}
	if byLink {
		c.h.opts.Metrics.LinkPlacement(err != nil, err == nil && lease.InZone())
	}
	if err != nil {
		return nil, err
	}
	c.tried = append(c.tried, lease.Server().ID)
	c.linkMaxWait = lease.MaxWait()
	return lease, nil
}

// bodyBytes returns the length of the request body, 0 if it is not known.
func (c *call) bodyBytes() int64 { return max(c.head.GetContentLength(), 0) }

// timeLeft returns the time within which the call should be answered: its objective or, if none
// applies, its deadline.
func (c *call) timeLeft() time.Duration {
	now := time.Now()
	if c.route != nil {
		if left := c.admissionRequest.ObjectiveLeft(now); left > 0 {
			return left
		}
	}
	return max(c.deadline.Sub(now), time.Millisecond)
}

// maxLateRetryWait returns how long a large body may wait for the link of a host or for a slot if its
// answer will be late in any case, 0 for no limit. A long wait would delay bodies whose answers can
// still be in time.
func (c *call) maxLateRetryWait() time.Duration {
	if c.route == nil || !c.admissionRequest.IsLateRetry() {
		return 0
	}
	return c.maxQueueTime()
}

// remoteCost returns the latency that is accepted to keep the bytes of the call and its
// response within the availability zone.
func (c *call) remoteCost() time.Duration {
	if c.route == nil {
		return 0
	}
	objective := c.route.Objective
	if objective == 0 {
		objective = c.terms.MaxWait
	}
	kilobytes := (float64(len(c.buffered)) + c.h.responseSizes.mean(c.route.Name)) / 1000
	return time.Duration(kilobytes * objective.Seconds() * float64(c.h.opts.KilobyteCost()))
}

// maxQueueTime returns how long the next attempt may wait for a slot, 0 for until the call's
// deadline.
func (c *call) maxQueueTime() time.Duration {
	if c.linkMaxWait > 0 {
		return c.linkMaxWait
	}
	if c.route == nil {
		return 0
	}
	history := admission.AttemptHistory{Refusals: c.refusals, FullWait: c.fullWait, RemoteCost: c.remoteCost()}
	return c.admissionRequest.MaxWait(history, time.Now())
}

func (c *call) wasTried(id backend.ID) bool { return slices.Contains(c.tried, id) }
