package outbound

import (
	"slices"
	"time"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/balance"
)

// pick chooses a backend server that this call has not tried yet. Where all have
// refused it or are known to be busy, the call waits at one of them for as long as it
// may.
func (c *call) pick() (*balance.Lease, error) {
	servers := c.snap.Backends(c.service)
	need := balance.Need{Exclude: c.wasTried, RemoteCost: c.remoteCost()}
	if c.route != nil {
		need.Objective = c.route.Objective
	}
	need.MaxWait = c.maxQueue()
	lease, err := c.h.opts.Picker.PickFor(servers, need)
	if err != nil && !c.patient && c.route != nil {
		c.patient, c.tried = true, nil
		need.MaxWait = c.maxQueue()
		lease, err = c.h.opts.Picker.PickFor(servers, need)
	}
	if err != nil {
		return nil, err
	}
	c.tried = append(c.tried, lease.Server().ID)
	return lease, nil
}

// remoteCost returns the time that it is worth to keep the call's bytes in the
// availability zone.
func (c *call) remoteCost() time.Duration {
	if c.route == nil {
		return 0
	}
	objective := c.route.Objective
	if objective == 0 {
		objective = c.terms.MaxWait
	}
	kilobytes := (float64(len(c.held)) + c.h.sizes.of(c.route.Name)) / 1000
	return time.Duration(kilobytes * objective.Seconds() * float64(c.h.opts.KilobyteCost()))
}

const (
	// impatientTries is how many gates a call tries before it settles for a wait,
	// and impatientShare the part of its latency objective that it may have to wait
	// at each of them.
	impatientTries = 2
	impatientShare = 0.125
	// patientShare is the part that it may have to wait at the last ones. With a
	// longer wait ahead the answer would come late, and calls that come after it
	// would wait in turn: refused at once, the caller comes back when the queue is
	// shorter.
	patientShare = 0.6
	// returnedWaitShare is the inverse of the part of its time that a call waits
	// which can only come late.
	returnedWaitShare = 4
)

// maxQueue returns how long the next attempt may have to wait for a slot, 0 for as
// long as its time allows. A gate that refuses at once costs a hop; a queue there,
// while another backend server is free, costs the wait. Where bytes between zones
// are dear, a longer wait is cheaper than the next zone.
func (c *call) maxQueue() time.Duration {
	if c.route == nil || c.route.Objective == 0 {
		return 0
	}
	if c.returned() {
		return max(time.Until(c.deadline)/returnedWaitShare, time.Millisecond)
	}
	objective := float64(c.route.Objective)
	least := time.Duration(impatientShare * objective)
	// What earlier gates took is gone.
	most := max(time.Duration(patientShare*objective)-time.Since(c.began), least)
	if c.patient || c.refusals >= impatientTries {
		return most
	}
	return min(least+c.remoteCost(), most)
}

func (c *call) wasTried(id backend.ID) bool { return slices.Contains(c.tried, id) }
