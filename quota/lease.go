package quota

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/quota/quotapb"
)

// forever is a time that is never reached, small enough to add a duration to it without
// overflow.
const forever = time.Duration(math.MaxInt64 / 2)

// maxInterval is the longest interval between two tokens. A rate with a longer interval counts
// as zero.
const maxInterval = 24 * time.Hour

// lease is what a holder may use of one contract. Calls change its counters and the holder
// changes its delegation. All other fields are constant; a new grant creates a new lease.
type lease struct {
	amount
	// expires is the time after which the lease admits nothing, relative to the start of
	// the Manager.
	expires time.Duration
	// pooled is set if the owner instructed the holder to delegate the rate to the owner's
	// pool.
	pooled bool
	// local is set if the rate fills the local bucket, because it is not pooled or because
	// the owner does not answer.
	local bool
	// grantedBy is the boot ID of the owner that granted the lease.
	grantedBy  uint64
	delegation delegation
	origin     origin
	// retryRate is the rate that is left for retries of refused calls, in calls per second.
	retryRate float64
	// belowLimit is set if the demand of all holders was below the limit when the lease was granted.
	belowLimit bool
	// slotsContended is set if the owner requests idle slots back.
	slotsContended bool

	// interval is the time between two tokens, or 0 if there are none.
	interval time.Duration
	// capacity is the time in which the bucket fills.
	capacity time.Duration
	// emptyAt is the time at which the bucket was or would have been empty. The bucket
	// holds (now - emptyAt) / interval tokens, up to the burst.
	emptyAt atomic.Int64
	// prepaid counts the tokens received from the owner's pool.
	prepaid atomic.Int64
}

// delegation is the time for which the rate of a pooled lease belongs to the pool of an owner.
// Using the rate elsewhere during that time would use it twice.
type delegation struct {
	to    uint64
	until time.Duration
}

// open reports whether the rate is still delegated to an owner other than the given one.
func (d delegation) open(owner uint64, now time.Duration) bool { return d.to != owner && now < d.until }

// delegate assigns the rate of a pooled lease to the owner's pool, unless it is still delegated
// to another owner. It reports whether the rate is delegated.
func (l *lease) delegate(owner uint64, now time.Duration) bool {
	if !l.pooled || l.local || l.delegation.open(owner, now) {
		return false
	}
	l.delegation = delegation{to: owner, until: forever}
	return true
}

// endDelegation sets the time at which the pool of an owner stops using the rate.
func (l *lease) endDelegation(owner uint64, at time.Duration) {
	if l != nil && l.delegation.to == owner {
		l.delegation.until = at
	}
}

// origin describes the owner's ledger at the time it granted a lease.
type origin struct {
	// charged is the amount charged for this lease, chargedToAll the sum for all leases.
	charged, chargedToAll amount
	at                    time.Duration
}

func (o *origin) proto(now time.Duration) *quotapb.Origin {
	return &quotapb.Origin{
		Charged:      o.charged.proto(),
		ChargedToAll: o.chargedToAll.proto(),
		AgeMs:        uint32((now - o.at).Milliseconds()),
	}
}

// newLease returns a lease with an empty bucket.
func newLease(a amount, local bool, now, expires time.Duration) *lease {
	l := &lease{amount: a, local: local, expires: expires}
	l.interval = intervalOf(a.rate)
	if l.interval > 0 {
		l.capacity = time.Duration(min(a.burst*float64(l.interval), float64(forever/2)))
	}
	l.emptyAt.Store(int64(now))
	return l
}

// intervalOf returns the time between two calls at a rate, rounded up, or 0 if it exceeds
// maxInterval.
func intervalOf(rate float64) time.Duration {
	if rate*maxInterval.Seconds() < 1 {
		return 0
	}
	return time.Duration(math.Ceil(float64(time.Second) / rate))
}

// valid reports whether the lease has not expired. A process that was paused and resumed reads
// the clock first, and so finds that its leases have expired.
func (l *lease) valid(now time.Duration) bool { return l != nil && now < l.expires }

// take takes one token: from the bucket first, since the bucket may overflow, then from the
// prepaid tokens.
func (l *lease) take(now time.Duration) bool {
	return l.local && l.takeFromBucket(now) || l.takePrepaid()
}

func (l *lease) takeFromBucket(now time.Duration) bool {
	if l.interval == 0 {
		return false
	}
	for {
		old := l.emptyAt.Load()
		next := max(old, int64(now-l.capacity)) + int64(l.interval)
		if next > int64(now) {
			return false
		}
		if l.emptyAt.CompareAndSwap(old, next) {
			return true
		}
	}
}

func (l *lease) takePrepaid() bool {
	for {
		n := l.prepaid.Load()
		if n <= 0 {
			return false
		}
		if l.prepaid.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

// level returns the number of tokens in the bucket.
func (l *lease) level(now time.Duration) float64 {
	return l.tokensSince(time.Duration(l.emptyAt.Load()), now)
}

func (l *lease) tokensSince(emptyAt, now time.Duration) float64 {
	if l.interval == 0 {
		return 0
	}
	return max(0, float64(min(now-emptyAt, l.capacity))/float64(l.interval))
}

// fill sets the number of tokens in the bucket, at most the burst.
func (l *lease) fill(now time.Duration, tokens float64) {
	filled := min(tokens*float64(l.interval), float64(l.capacity))
	l.emptyAt.Store(int64(now - time.Duration(filled)))
}

// add adds tokens to the bucket and returns the number that do not fit.
func (l *lease) add(now time.Duration, tokens float64) (overflow float64) {
	tokens += l.level(now)
	l.fill(now, tokens)
	return max(0, tokens-l.burst)
}

// drain removes all tokens, so that a call that still uses this lease while another replaces it
// cannot take tokens that have been carried over.
func (l *lease) drain(now time.Duration) (tokens float64, prepaid int64) {
	emptyAt := time.Duration(l.emptyAt.Swap(int64(forever)))
	return l.tokensSince(emptyAt, now), l.prepaid.Swap(0)
}

// nextToken returns the time until the bucket has a token, or forever if it never will.
func (l *lease) nextToken(now time.Duration) time.Duration {
	if !l.local || l.interval == 0 || l.capacity < l.interval {
		return forever
	}
	at := max(time.Duration(l.emptyAt.Load()), now-l.capacity) + l.interval
	return max(0, at-now)
}

// carryOver moves the tokens of the previous lease to l and returns the number that do not fit.
func (l *lease) carryOver(prev *lease, now time.Duration) (overflow float64) {
	if !prev.valid(now) {
		return 0
	}
	tokens, prepaid := prev.drain(now)
	if !prev.local {
		tokens = 0
	}
	overflow = tokens
	if l.local {
		overflow = max(0, tokens-l.burst)
		l.fill(now, tokens)
	}
	if l.rate > 0 {
		l.prepaid.Store(prepaid)
	} else {
		overflow += float64(prepaid)
	}
	if prev.delegation.open(l.grantedBy, now) {
		l.delegation = prev.delegation
		l.emptyAt.Store(int64(prev.delegation.until))
	}
	return overflow
}

// shrunk returns the lease with smaller amounts and the tokens that fit, and the number that do
// not fit.
func (l *lease) shrunk(now time.Duration, to amount) (s *lease, overflow float64) {
	s = l.copyWith(now, to)
	s.local = l.local
	return s, s.carryOver(l, now)
}

// withoutPool returns a copy of a pooled lease for local use. Its bucket starts empty, because
// the rate has filled the pool until now, and holds at least one call.
func (l *lease) withoutPool(now time.Duration) *lease {
	s := l.copyWith(now, l.amount)
	s.local = true
	s.capacity = max(s.capacity, s.interval)
	_, prepaid := l.drain(now)
	s.prepaid.Store(prepaid)
	return s
}

func (l *lease) copyWith(now time.Duration, a amount) *lease {
	s := newLease(a, false, now, l.expires)
	s.pooled = l.pooled
	s.grantedBy = l.grantedBy
	s.delegation = l.delegation
	s.origin = l.origin
	s.retryRate = l.retryRate
	s.belowLimit = l.belowLimit
	s.slotsContended = l.slotsContended
	return s
}
