package quota

import (
	"math"
	"time"

	"github.com/crocuscross/crocuscross/quota/quotapb"
)

const (
	// keepShare of a lease is kept as it is rather than shrunk by a little.
	keepShare = 0.9
	// quietDemand in calls per second is as good as none.
	quietDemand = 0.02
)

// due reports whether a claim should go out.
func (a *account) due(now time.Duration) bool {
	if a.asking || a.owner == nil {
		return false
	}
	if now >= a.nextClaim {
		return true
	}
	return a.wanting && int64(now) >= a.notBefore.Load()
}

// drifted reports whether the owner should hear of a change before the next
// renewal.
func (a *account) drifted(now time.Duration) bool {
	if a.failures > 0 || a.asking {
		return false
	}
	if a.demand.surges > 0 {
		return true
	}
	l := a.lease.Load()
	return l.valid(now) && l.slotsContended && int64(l.slots) > a.tickPeak
}

// useAlone takes a pooled rate into use here once the owner has not answered
// and its pool has stopped to use it.
func (a *account) useAlone(now time.Duration) {
	l := a.lease.Load()
	if a.failures > 0 && !a.asking && l.valid(now) && l.pooled && !l.local && now >= l.loan.until {
		a.lease.Store(l.alone(now))
	}
}

// samplePeak notes the calls in flight of the last tick.
func (a *account) samplePeak() {
	a.tickPeak = a.peak.Swap(a.inFlight.Load())
	a.claimPeak = max(a.claimPeak, a.tickPeak)
}

// claim tells the owner what the account uses and wants. What it does not need
// it gives up before it says so.
func (a *account) claim(now time.Duration, owner uint64, r *round) *quotapb.Claim {
	a.asking = true
	a.measure(now)
	l := a.lease.Load()
	contended := l.valid(now) && l.slotsContended
	c := &quotapb.Claim{
		Customer: a.customer,
		Demand:   a.reported,
		InUse:    a.slotsWanted(contended),
		Need:     a.need(now, r),
		Unleased: uint32(a.unleased.Swap(0)),
	}
	a.wanting = false
	a.claimPeak = 0
	a.tellHeld(c, a.giveBack(now, float64(c.InUse), contended), owner, now)
	c.Returned = uint32(a.over)
	a.over -= float64(c.Returned)
	return c
}

// measure brings the demand up to date.
func (a *account) measure(now time.Duration) {
	arrivals := a.arrivals.Load()
	a.demand.observe(arrivals, now)
	a.demand.surges = 0
	a.reported = a.demand.rate(arrivals)
	if a.reported < quietDemand {
		a.reported = 0
	}
}

// tellHeld fills in what the account uses until the answer.
func (a *account) tellHeld(c *quotapb.Claim, held *lease, owner uint64, now time.Duration) {
	inFlight := amount{slots: a.slotsInFlight()}
	if held == nil {
		c.Held = inFlight.proto()
		return
	}
	c.Held = held.max(inFlight).proto()
	c.GrantedBy = held.grantedBy
	// An owner that has just failed to answer is lent nothing again, or the time
	// until the rate may be used here would never end.
	c.Pooled = a.failures == 0 && held.lend(owner, now)
	if held.grantedBy != owner {
		c.Origin = held.origin.proto(now)
	}
}

// need returns how many tokens to ask for: one for each call that waits, or one
// for the call that was refused and may return.
func (a *account) need(now time.Duration, r *round) uint32 {
	n := min(r.waiters.Load(), math.MaxUint16)
	if n == 0 && a.wanting && !a.hasMeans(now) {
		n = 1
	}
	return uint32(n)
}

// slotsInFlight returns the calls in flight where the contract bounds them.
func (a *account) slotsInFlight() float64 {
	if a.contract.MaxConcurrent == 0 {
		return 0
	}
	return float64(a.inFlight.Load())
}

// slotsWanted returns the calls in flight to be reported: the most since the
// latest claim, and one at least for a customer that calls now and then. Where
// others wait for slots, only what is in use right now counts.
func (a *account) slotsWanted(contended bool) uint32 {
	if a.contract.MaxConcurrent == 0 {
		return 0
	}
	recent := max(a.tickPeak, a.peak.Load())
	if contended {
		return uint32(recent)
	}
	wanted := max(a.claimPeak, recent)
	if wanted == 0 && a.reported > 0 {
		wanted = 1
	}
	return uint32(wanted)
}

// giveBack shrinks the lease to what the account has use for and returns it,
// nil if there is none.
func (a *account) giveBack(now time.Duration, slots float64, contended bool) *lease {
	l := a.lease.Load()
	if !l.valid(now) {
		return nil
	}
	keep := l.amount
	if want := wantedRate(a.reported); want < keepShare*keep.rate {
		keep.rate = want
		keep.burst = min(keep.burst, wantedBurst(want))
	}
	if !contended {
		slots = wantedSlots(slots)
	}
	keep.slots = min(keep.slots, slots)
	if keep != l.amount {
		shrunk, over := l.shrunk(now, keep)
		a.lease.Store(shrunk)
		a.over += over
		return shrunk
	}
	return l
}
