package quota

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/quota/quotapb"
)

// forever is a time that does not come, with room to add to it.
const forever = time.Duration(math.MaxInt64 / 2)

// maxInterval is the longest time between two tokens that is told from never.
const maxInterval = 24 * time.Hour

// lease is what a holder may use of one contract. Calls change its counters, the
// holder its loan; all else is fixed, and a new grant makes a new lease.
type lease struct {
	amount
	// expires is the time since the start of the Manager after which the lease
	// gives nothing.
	expires time.Duration
	// pooled is whether the owner told to leave the rate to its pool.
	pooled bool
	// local is whether the rate fills the bucket here: it is not pooled, or the
	// owner does not answer.
	local bool
	// grantedBy is the life of the owner.
	grantedBy uint64
	loan      loan
	origin    origin
	// returnRate in calls per second is what is left for calls that were
	// refused and return.
	returnRate float64
	// slotsContended asks for idle slots back.
	slotsContended bool

	// interval between two tokens; 0 for none.
	interval time.Duration
	// capacity is the time in which the bucket fills.
	capacity time.Duration
	// emptyAt is the time at which the bucket was, or would have been, empty:
	// the tokens in it are (now - emptyAt) / interval, up to the burst.
	emptyAt atomic.Int64
	// prepaid counts tokens from the owner's pool.
	prepaid atomic.Int64
}

// loan is the time for which the rate of a pooled lease is left to the pool of
// an owner. Using it meanwhile would use it twice.
type loan struct {
	to    uint64
	until time.Duration
}

// open reports whether the rate is left to another owner than the one named.
func (l loan) open(owner uint64, now time.Duration) bool { return l.to != owner && now < l.until }

// lend leaves the rate of a pooled lease to the owner, if it is not with
// another.
func (l *lease) lend(owner uint64, now time.Duration) bool {
	if !l.pooled || l.local || l.loan.open(owner, now) {
		return false
	}
	l.loan = loan{to: owner, until: forever}
	return true
}

// endLoan says when the pool of an owner stops to use the rate.
func (l *lease) endLoan(owner uint64, at time.Duration) {
	if l != nil && l.loan.to == owner {
		l.loan.until = at
	}
}

// origin is what the ledger of the owner looked like when it granted a lease.
type origin struct {
	// charged for this lease, and for all.
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

// intervalOf returns the time between two calls at a rate, rounded up; 0 where
// none comes within maxInterval.
func intervalOf(rate float64) time.Duration {
	if rate*maxInterval.Seconds() < 1 {
		return 0
	}
	return time.Duration(math.Ceil(float64(time.Second) / rate))
}

// valid reports whether the lease still gives anything. A process that was
// stopped and woken reads the clock first and so finds its leases ended.
func (l *lease) valid(now time.Duration) bool { return l != nil && now < l.expires }

// take takes one token: of the bucket, which would overflow, before those from
// the pool.
func (l *lease) take(now time.Duration) bool {
	return l.local && l.takeLocal(now) || l.takePrepaid()
}

func (l *lease) takeLocal(now time.Duration) bool {
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

// level returns the tokens in the bucket.
func (l *lease) level(now time.Duration) float64 {
	return l.tokensSince(time.Duration(l.emptyAt.Load()), now)
}

func (l *lease) tokensSince(emptyAt, now time.Duration) float64 {
	if l.interval == 0 {
		return 0
	}
	return max(0, float64(min(now-emptyAt, l.capacity))/float64(l.interval))
}

// fill sets the tokens in the bucket, at most the burst.
func (l *lease) fill(now time.Duration, tokens float64) {
	filled := min(tokens*float64(l.interval), float64(l.capacity))
	l.emptyAt.Store(int64(now - time.Duration(filled)))
}

// add adds tokens to the bucket and returns how many do not fit.
func (l *lease) add(now time.Duration, tokens float64) (over float64) {
	tokens += l.level(now)
	l.fill(now, tokens)
	return max(0, tokens-l.burst)
}

// drain takes all tokens out, so that a call that still uses the lease while
// another succeeds it cannot take what has been carried over.
func (l *lease) drain(now time.Duration) (tokens float64, prepaid int64) {
	emptyAt := time.Duration(l.emptyAt.Swap(int64(forever)))
	return l.tokensSince(emptyAt, now), l.prepaid.Swap(0)
}

// nextToken returns how long it takes until the bucket has a token; forever if
// it never will.
func (l *lease) nextToken(now time.Duration) time.Duration {
	if !l.local || l.interval == 0 || l.capacity < l.interval {
		return forever
	}
	at := max(time.Duration(l.emptyAt.Load()), now-l.capacity) + l.interval
	return max(0, at-now)
}

// succeed carries the tokens of the lease before over, and returns how many do
// not fit.
func (l *lease) succeed(prev *lease, now time.Duration) (over float64) {
	if !prev.valid(now) {
		return 0
	}
	tokens, prepaid := prev.drain(now)
	if !prev.local {
		tokens = 0
	}
	over = tokens
	if l.local {
		over = max(0, tokens-l.burst)
		l.fill(now, tokens)
	}
	if l.rate > 0 {
		l.prepaid.Store(prepaid)
	} else {
		over += float64(prepaid)
	}
	if prev.loan.open(l.grantedBy, now) {
		l.loan = prev.loan
		l.emptyAt.Store(int64(prev.loan.until))
	}
	return over
}

// shrunk returns the lease with smaller amounts and the tokens that fit, and how
// many do not.
func (l *lease) shrunk(now time.Duration, to amount) (s *lease, over float64) {
	s = l.copyWith(now, to)
	s.local = l.local
	return s, s.succeed(l, now)
}

// alone returns a pooled lease for use without the pool. Its bucket starts
// empty, as the rate has filled the pool until now, and holds one call.
func (l *lease) alone(now time.Duration) *lease {
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
	s.loan = l.loan
	s.origin = l.origin
	s.returnRate = l.returnRate
	s.slotsContended = l.slotsContended
	return s
}
