package quota

import "math"

const (
	// rateHeadroom is the ratio of the rate that a holder requests to its demand, so that
	// random variation and slow growth trigger no additional claims.
	rateHeadroom = 1.25
	// slotHeadroom is the same ratio for calls in flight.
	slotHeadroom = 1.25
	// burstTime is the part of its rate that a holder stores, as a time.
	burstTime = 0.5 // seconds
	// minLocalBurst is the smallest useful bucket at a holder. A smaller bucket loses most
	// of its rate to overflow.
	minLocalBurst = 1.75
	// spareBurst is the additional burst per holder that must be free before a holder
	// without a bucket gets one.
	spareBurst = 0.25
	// uncontendedBurstShare is the share of the contract's burst that the buckets at the
	// holders may have; the owner's pool has the rest. contendedBurstShare is the share for
	// a contended contract: its pool is used more, and a small pool would overflow.
	uncontendedBurstShare = 0.85
	contendedBurstShare   = 0.65
	// contendedShare is the share of the available amount above which the wanted amount
	// counts as contended.
	contendedShare = 0.9
	// rateTolerance is the relative change of a rate that is too small to be worth making.
	rateTolerance = 0.15
	// settlingShare is the share of the contract that a settling owner may grant beyond the
	// amounts that were reported to it.
	settlingShare = 0.02
)

// wantedRate returns the rate that serves a demand.
func wantedRate(demand float64) float64 { return rateHeadroom * demand }

// wantedBurst returns the size of the bucket for a rate.
func wantedBurst(rate float64) float64 {
	if rate == 0 {
		return 0
	}
	return minLocalBurst + burstTime*rate
}

// wantedSlots returns the number of slots that serve a number of calls in flight.
func wantedSlots(inUse float64) float64 {
	if inUse == 0 {
		return 0
	}
	return math.Ceil(slotHeadroom * inUse)
}

// withinTolerance reports whether two rates are so close that a change would only move quota
// back and forth: while an answer is under way, the larger of both is charged.
func withinTolerance(a, b float64) bool { return math.Abs(a-b) <= rateTolerance*b }

// aggregateDemand is the demand of all holders of a contract together.
type aggregateDemand struct {
	demand float64
	inUse  float64
	// holders is the number of holders with demand.
	holders float64
}

// division divides the available part of a contract among all holders.
type division struct {
	available amount
	// burst is the burst of the contract.
	burst float64
	all   aggregateDemand
}

// contended reports whether holders want nearly as much as is available, or more.
func (d *division) contended() bool {
	return wantedRate(d.all.demand) > contendedShare*d.available.rate
}

func (d *division) slotsContended() bool {
	return wantedSlots(d.all.inUse) > contendedShare*d.available.slots
}

// localBurst returns the part of the burst that the buckets at the holders may have. The pool
// keeps room for at least one call.
func (d *division) localBurst() float64 {
	share := uncontendedBurstShare
	if d.contended() {
		share = contendedBurstShare
	}
	return max(0, min(share*d.burst, d.burst-1))
}

// share returns the amount that a holder should have, given its demand and the size of the
// bucket that it already has, which may be 0.
//
// If demand exceeds the available rate, holders get rates in proportion to their demand, less a
// remainder that goes to the pool: a bucket that overflows occasionally loses tokens that the
// pool would give to another holder. A small bucket overflows more often, so its remainder is
// larger.
func (d *division) share(demand, inUse, heldBurst float64) amount {
	burst := d.burstShare(demand, heldBurst)
	return amount{rate: d.rateShare(demand, burst), burst: burst, slots: d.slotShare(inUse)}
}

// burstShare returns the size of the bucket, or 0 if the burst does not allow minLocalBurst for
// each holder.
//
// A holder without a bucket gets one only if there is burst to spare: switching back and forth
// costs rate, because the rate is charged for both uses at once.
func (d *division) burstShare(demand, held float64) float64 {
	free := d.localBurst() - minLocalBurst*d.all.holders
	if held == 0 && free < spareBurst*d.all.holders || free < 0 || demand == 0 {
		return 0
	}
	return min(wantedBurst(wantedRate(demand)), minLocalBurst+free*demand/d.all.demand)
}

func (d *division) rateShare(demand, burst float64) float64 {
	if demand == 0 {
		return 0
	}
	share := d.available.rate / d.all.demand
	if burst > 0 {
		share = localShare(burst)*min(1, share) + max(0, share-1)
	}
	return demand * min(rateHeadroom, share)
}

// slotShare returns whole slots, and at least one for a holder that needs any.
func (d *division) slotShare(inUse float64) float64 {
	if inUse == 0 {
		return 0
	}
	share := math.Floor(d.available.slots * inUse / d.all.inUse)
	return min(wantedSlots(inUse), max(1, share))
}

// expectedRate returns the rate that a holder with the given demand may expect to admit,
// including tokens from the pool.
func (d *division) expectedRate(demand float64) float64 {
	if demand == 0 {
		return 0
	}
	return d.available.rate * demand / d.all.demand
}

// localShare returns the share of its demand that a holder with a bucket gets as its own rate,
// so that about 2 % of that rate is lost to overflow.
func localShare(burst float64) float64 {
	return max(0, 1-1.25/burst)
}
