package quota

import (
	"math"
	"time"

	"github.com/crocuscross/crocuscross/quota/quotapb"
)

const (
	// shrinkThreshold is the share of a lease's rate below which the wanted rate must fall
	// before the lease shrinks. Smaller differences are not worth a change.
	shrinkThreshold = 0.9
	// negligibleDemand is the demand in calls per second below which it is reported as
	// zero.
	negligibleDemand = 0.02
)

// due reports whether a claim should be sent now.
func (a *account) due(now time.Duration) bool {
	if a.awaiting || a.owner == nil {
		return false
	}
	if now >= a.nextClaim {
		return true
	}
	return a.missed && int64(now) >= a.notBefore.Load()
}

// needsEarlyClaim reports whether the owner should be informed of a change before the next
// renewal.
func (a *account) needsEarlyClaim(now time.Duration) bool {
	if a.failures > 0 || a.awaiting {
		return false
	}
	if a.demand.changes > 0 {
		return true
	}
	l := a.lease.Load()
	return l.valid(now) && l.slotsContended && int64(l.slots) > a.tickPeak
}

// useWithoutPool starts to use a pooled rate locally once the owner has failed to answer and
// its pool has stopped using the rate.
func (a *account) useWithoutPool(now time.Duration) {
	l := a.lease.Load()
	if a.failures > 0 && !a.awaiting && l.valid(now) && l.pooled && !l.local && now >= l.delegation.until {
		a.lease.Store(l.withoutPool(now))
	}
}

// samplePeak records the peak of calls in flight during the last tick.
func (a *account) samplePeak() {
	a.tickPeak = a.peak.Swap(a.inFlight.Load())
	a.claimPeak = max(a.claimPeak, a.tickPeak)
}

// claim returns a claim that reports what the account uses and needs. Unneeded parts of the
// lease are given up before the claim is made.
func (a *account) claim(now time.Duration, owner uint64, r *pendingClaim) *quotapb.Claim {
	a.awaiting = true
	a.updateDemand(now)
	l := a.lease.Load()
	contended := l.valid(now) && l.slotsContended
	c := &quotapb.Claim{
		Customer: a.customer,
		Demand:   a.reported,
		InUse:    a.slotsWanted(contended),
		Need:     a.need(now, r),
		Unleased: uint32(a.unleased.Swap(0)),
	}
	a.missed = false
	a.claimPeak = 0
	a.fillHeld(c, a.giveUpUnneeded(now, owner, float64(c.InUse), contended), owner, now)
	c.Returned = uint32(a.overflow)
	a.overflow -= float64(c.Returned)
	return c
}

// updateDemand computes the demand that the next claim reports.
func (a *account) updateDemand(now time.Duration) {
	arrivals := a.arrivals.Load()
	a.demand.observe(arrivals, now)
	a.demand.changes = 0
	a.reported = a.demand.rate(arrivals)
	if a.reported < negligibleDemand {
		a.reported = 0
	}
}

// fillHeld sets the fields of c that state what the account uses until the answer arrives.
func (a *account) fillHeld(c *quotapb.Claim, held *lease, owner uint64, now time.Duration) {
	inFlight := amount{slots: a.slotsInFlight()}
	if held == nil {
		c.Held = inFlight.proto()
		return
	}
	c.Held = held.max(inFlight).proto()
	c.GrantedBy = held.grantedBy
	// Nothing is delegated to an owner that has just failed to answer. Otherwise the time
	// after which the rate may be used locally would be extended without end.
	c.Pooled = a.failures == 0 && held.delegate(owner, now)
	if held.grantedBy != owner {
		c.Origin = held.origin.proto(now)
	}
}

// need returns how many tokens to request: one for each waiting call, or one for a refused call
// that may retry.
func (a *account) need(now time.Duration, r *pendingClaim) uint32 {
	n := min(r.waiters.Load(), math.MaxUint16)
	if n == 0 && a.missed && !a.canAdmit(now) {
		n = 1
	}
	return uint32(n)
}

// slotsInFlight returns the number of calls in flight if the contract limits them, and 0
// otherwise.
func (a *account) slotsInFlight() float64 {
	if a.contract.MaxConcurrent == 0 {
		return 0
	}
	return float64(a.inFlight.Load())
}

// slotsWanted returns the number of calls in flight to report: the peak since the latest claim,
// and at least one for a customer with any demand. If slots are contended, only the most recent
// peak counts.
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

// giveUpUnneeded shrinks the lease to what the account needs and returns it, or nil if there is
// no valid lease.
func (a *account) giveUpUnneeded(now time.Duration, owner uint64, slots float64, contended bool) *lease {
	l := a.lease.Load()
	if !l.valid(now) {
		return nil
	}
	keep := l.amount
	// An owner that does not answer or has just taken over grants no more than what is held, so
	// that each low sample of the demand would shrink the lease for some seconds.
	stays := a.failures > 0 || l.grantedBy != owner && a.reported > 0
	if want := wantedRate(a.reported); want < shrinkThreshold*keep.rate && !stays {
		keep.rate = want
		keep.burst = min(keep.burst, wantedBurst(want))
	}
	if !contended {
		slots = wantedSlots(slots)
	}
	keep.slots = min(keep.slots, slots)
	if keep != l.amount {
		shrunk, overflow := l.shrunk(now, keep)
		a.lease.Store(shrunk)
		a.overflow += overflow
		return shrunk
	}
	return l
}
