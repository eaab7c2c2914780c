package quota

import (
	"math"
	"sync/atomic"
	"time"
)

// forever is the expiry of what does not lapse, in time since the start of the
// Manager.
const forever = time.Duration(math.MaxInt64)

// maxInterval is the longest time between two tokens that is told from never.
const maxInterval = 24 * time.Hour

// lease is what a holder may use of one contract. All but the counters is
// fixed; a new grant makes a new lease.
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
	// grantedToAll is what the owner had granted to all holders.
	grantedToAll amount
	// expectedRate in calls per second, tokens from the owner's pool included.
	expectedRate float64
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

// newLease returns a lease with an empty bucket.
func newLease(a amount, local bool, now, expires time.Duration) *lease {
	l := &lease{amount: a, local: local, expires: expires}
	l.interval = intervalOf(a.rate)
	if l.interval > 0 {
		l.capacity = time.Duration(min(a.burst*float64(l.interval), float64(math.MaxInt64/4)))
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
	if l.interval == 0 {
		return 0
	}
	filled := min(now-time.Duration(l.emptyAt.Load()), l.capacity)
	return max(0, float64(filled)/float64(l.interval))
}

// fill sets the tokens in the bucket, at most the burst.
func (l *lease) fill(now time.Duration, tokens float64) {
	filled := min(time.Duration(tokens*float64(l.interval)), l.capacity)
	l.emptyAt.Store(int64(now - filled))
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

// succeed carries the tokens of the lease before over.
func (l *lease) succeed(prev *lease, now time.Duration) {
	if !prev.valid(now) {
		return
	}
	l.prepaid.Add(max(0, prev.prepaid.Load()))
	if prev.local && l.local {
		l.fill(now, prev.level(now))
	}
}

// shrunk returns the lease with smaller amounts and the tokens that fit.
func (l *lease) shrunk(now time.Duration, to amount) *lease {
	s := l.copyWith(now, to)
	s.local = l.local
	s.succeed(l, now)
	return s
}

// cutOff returns a pooled lease for use without the pool. Its bucket starts
// empty, as the rate has filled the pool until now, and holds one call.
func (l *lease) cutOff(now time.Duration) *lease {
	s := l.copyWith(now, l.amount)
	s.local = true
	s.capacity = max(s.capacity, s.interval)
	s.prepaid.Store(max(0, l.prepaid.Load()))
	return s
}

func (l *lease) copyWith(now time.Duration, a amount) *lease {
	s := newLease(a, false, now, l.expires)
	s.pooled = l.pooled
	s.grantedBy = l.grantedBy
	s.grantedToAll = l.grantedToAll
	s.expectedRate = l.expectedRate
	s.slotsContended = l.slotsContended
	return s
}
