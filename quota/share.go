package quota

import "math"

const (
	// rateHeadroom is how much more than its demand a holder wants, so that
	// chance and slow growth do not make it ask.
	rateHeadroom = 1.25
	// slotHeadroom is the same for calls in flight.
	slotHeadroom = 1.25
	// burstTime is how much of its rate a holder wants to store.
	burstTime = 0.5 // seconds
	// minLocalBurst is the smallest bucket worth having at a holder; a smaller
	// one loses most of its rate to overflow.
	minLocalBurst = 1.75
	// spareBurst is how much more there must be for each holder before one that
	// has no bucket gets one.
	spareBurst = 0.25
	// calmBurstShare is the part of the contract's burst that buckets at the
	// holders may have; the owner's pool has the rest. contendedBurstShare is
	// the same where the pool is drawn on more, and a small one would overflow.
	calmBurstShare      = 0.85
	contendedBurstShare = 0.65
	// contendedShare of the contract that is wanted makes it contended.
	contendedShare = 0.9
	// nearShare is the change of a rate that is not worth making.
	nearShare = 0.15
	// settlingShare of the contract is what an owner that settles may grant
	// beyond what was reported to it.
	settlingShare = 0.02
)

// wantedRate returns the rate that serves a demand.
func wantedRate(demand float64) float64 { return rateHeadroom * demand }

// wantedBurst returns what a bucket with a rate should hold.
func wantedBurst(rate float64) float64 {
	if rate == 0 {
		return 0
	}
	return minLocalBurst + burstTime*rate
}

// wantedSlots returns the slots that serve a number of calls in flight.
func wantedSlots(inUse float64) float64 {
	if inUse == 0 {
		return 0
	}
	return math.Ceil(slotHeadroom * inUse)
}

// near reports whether two rates are so close that a change would only shift
// quota about: while an answer is on its way the larger of both is charged.
func near(a, b float64) bool { return math.Abs(a-b) <= nearShare*b }

// crowd is all holders of a contract taken together.
type crowd struct {
	demand float64
	inUse  float64
	// holders with demand.
	holders float64
}

// division divides what there is of a contract among all holders.
type division struct {
	available amount
	// burst of the contract.
	burst float64
	all   crowd
}

// contended reports whether holders want about as much as there is.
func (d *division) contended() bool {
	return wantedRate(d.all.demand) > contendedShare*d.available.rate
}

func (d *division) slotsContended() bool {
	return wantedSlots(d.all.inUse) > contendedShare*d.available.slots
}

// localBurst returns how much of the burst may lie in buckets at the holders.
// The pool keeps room for one call at least.
func (d *division) localBurst() float64 {
	share := calmBurstShare
	if d.contended() {
		share = contendedBurstShare
	}
	return max(0, min(share*d.burst, d.burst-1))
}

// share returns what a holder should have that is one of all and holds a bucket
// already, or none.
//
// Where demand exceeds what is there, holders get it in proportion to their
// demand, but for a remainder: a bucket that overflows now and then loses what
// the pool would give to another. A small bucket overflows more often, so the
// remainder is larger.
func (d *division) share(demand, inUse, heldBurst float64) amount {
	burst := d.burstShare(demand, heldBurst)
	return amount{rate: d.rateShare(demand, burst), burst: burst, slots: d.slotShare(inUse)}
}

// burstShare returns the size of the bucket, 0 where the burst does not give
// each holder minLocalBurst.
//
// A holder that has none gets one only where there is room to spare: going to
// and fro costs the rate that is charged for both uses at once.
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

// slotShare returns whole slots; one at least to a holder that needs any.
func (d *division) slotShare(inUse float64) float64 {
	if inUse == 0 {
		return 0
	}
	share := math.Floor(d.available.slots * inUse / d.all.inUse)
	return min(wantedSlots(inUse), max(1, share))
}

// expectedRate returns what a holder with a demand may expect to admit, tokens
// from the pool included.
func (d *division) expectedRate(demand float64) float64 {
	if demand == 0 {
		return 0
	}
	return d.available.rate * demand / d.all.demand
}

// localShare returns the part of its demand that a holder with a bucket gets as
// a rate of its own, so that about 2 % of it is lost to overflow.
func localShare(burst float64) float64 {
	return max(0, 1-1.25/burst)
}
