package outbound

import (
	"slices"
	"time"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/balance"
)

// pick chooses a backend server that this call has not tried yet. If all have refused the call
// or are known to be busy, a call under a document's terms may wait at one of them until its
// deadline.
func (c *call) pick() (*balance.Lease, error) {
	servers := c.snap.Backends(c.service)
	opts := balance.PickOptions{Exclude: c.wasTried, RemoteCost: c.remoteCost()}
	if c.route != nil {
		opts.Objective = c.route.Objective
		opts.Route, opts.Nested = c.route.Name, c.admissionRequest.Nested
	}
	if !c.h.opts.TryBusyGates {
		opts.MaxWait = c.maxQueueTime()
	}
	lease, err := c.h.opts.Picker.PickWithOptions(servers, opts)
	if err != nil && !c.fullWait && c.route != nil {
		c.fullWait, c.tried = true, nil
		opts.MaxWait = c.maxQueueTime()
		lease, err = c.h.opts.Picker.PickWithOptions(servers, opts)
	}
	if err != nil {
		return nil, err
	}
	c.tried = append(c.tried, lease.Server().ID)
	return lease, nil
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
	if c.route == nil {
		return 0
	}
	history := admission.AttemptHistory{Refusals: c.refusals, FullWait: c.fullWait, RemoteCost: c.remoteCost()}
	return c.admissionRequest.MaxWait(history, time.Now())
}

func (c *call) wasTried(id backend.ID) bool { return slices.Contains(c.tried, id) }
