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
	// localBurstShare is the part of the contract's burst that buckets at the
	// holders may have; the owner's pool has the rest.
	localBurstShare = 0.65
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

// localBurst returns how much of a contract's burst may lie in buckets. The
// pool keeps room for one call at least.
func localBurst(burst float64) float64 {
	return max(0, min(localBurstShare*burst, burst-1))
}

// fairShare returns the part of the available amount that a holder should have.
//
// Where demand exceeds what is there, holders get it in proportion to their
// demand, but for a remainder: a bucket that overflows now and then loses what
// the pool would give to another. The fuller the buckets are on average the
// larger the remainder, and a small bucket overflows more often.
func fairShare(available amount, burst, demand, inUse float64, all crowd) amount {
	return amount{
		rate:  fairRate(available.rate, burst, demand, all),
		burst: burst,
		slots: fairSlots(available.slots, inUse, all),
	}
}

// fairBurst returns the bucket of a holder, 0 where the burst does not give
// each holder minLocalBurst.
//
// A holder that has none gets one only where there is room to spare: going to
// and fro costs the rate that is charged for both uses at once.
func fairBurst(burst, held, demand float64, all crowd) float64 {
	free := localBurst(burst) - minLocalBurst*all.holders
	if held == 0 && free < spareBurst*all.holders || free < 0 || demand == 0 {
		return 0
	}
	return min(wantedBurst(wantedRate(demand)), minLocalBurst+free*demand/all.demand)
}

func fairRate(rate, burst, demand float64, all crowd) float64 {
	if demand == 0 {
		return 0
	}
	share := rate / all.demand
	if burst > 0 {
		share = localShare(burst)*min(1, share) + max(0, share-1)
	}
	return demand * min(rateHeadroom, share)
}

// localShare returns the part of its demand that a holder with a bucket gets as
// a rate of its own, so that about 2 % of it is lost to overflow.
func localShare(burst float64) float64 {
	return max(0, 1-1.25/burst)
}

// fairSlots returns whole slots; one at least to a holder that needs any.
func fairSlots(slots, inUse float64, all crowd) float64 {
	if inUse == 0 {
		return 0
	}
	share := math.Floor(slots * inUse / all.inUse)
	return min(wantedSlots(inUse), max(1, share))
}
