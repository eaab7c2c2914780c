package quota

import (
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/snapshot"
)

// account is the holder's side of one customer. The upper part is read and
// changed by calls with atomics alone; the lower part belongs to the holder,
// under its lock.
type account struct {
	customer string
	grant    Grant
	// lease is what the owner granted last.
	lease atomic.Pointer[lease]
	// spare is what may be used without a lease.
	spare atomic.Pointer[lease]
	// arrivals counts calls, refused ones included.
	arrivals atomic.Int64
	inFlight atomic.Int64
	// peak of inFlight since the last tick, refused calls included.
	peak atomic.Int64
	// unleased counts calls admitted out of the spare.
	unleased atomic.Int64
	// active is whether the holder looks after the account.
	active atomic.Bool
	// kicked is whether the holder has been told of a miss.
	kicked atomic.Bool
	// round is the next claim, for the calls that wait for its answer.
	round atomic.Pointer[round]
	// notBefore is the time before which a miss is not worth a claim.
	notBefore atomic.Int64
	// promised is the latest time at which a refused call was told to return.
	promised atomic.Int64

	contract *snapshot.Contract
	demand   demand
	// listed is whether the account is among the holder's active ones.
	listed bool
	// wanting is whether a call missed since the latest claim.
	wanting bool
	owner   *membership.Member
	// asking is whether an answer is awaited.
	asking bool
	// nextClaim is when the account is due.
	nextClaim time.Duration
	// reported is the demand told in the latest claim.
	reported float64
	// over is tokens that no longer fit into the bucket, to be returned to the
	// owner's pool.
	over float64
	// failures counts claims without an answer in a row.
	failures int
	// tickPeak is the peak of the last tick, claimPeak that since the latest
	// claim.
	tickPeak, claimPeak int64
	// lastArrivals and lastArrivalAt tell how long the customer has been idle.
	lastArrivals  int64
	lastArrivalAt time.Duration
	// busyRate was the demand at that time.
	busyRate float64
}

// round is one claim, seen by the calls that wait for it.
type round struct {
	waiters atomic.Int64
	done    chan struct{}
}

func newRound() *round { return &round{done: make(chan struct{})} }

func newAccount(c *snapshot.Contract) *account {
	a := &account{customer: c.Customer, contract: c}
	a.grant.account = a
	a.round.Store(newRound())
	return a
}

// current returns what calls are admitted from.
func (a *account) current(now time.Duration) (l *lease, leased bool) {
	if l := a.lease.Load(); l.valid(now) {
		return l, true
	}
	return a.spare.Load(), false
}

// admit takes a slot and a token. A nil error means that both are taken.
func (a *account) admit(now time.Duration, maxConcurrent int) *errkind.Error {
	l, leased := a.current(now)
	if !a.enter(l, maxConcurrent) {
		return errConcurrency
	}
	if !l.take(now) {
		a.inFlight.Add(-1)
		return errRate
	}
	if !leased {
		a.unleased.Add(1)
	}
	return nil
}

// enter counts a call in flight if there is a slot for it.
func (a *account) enter(l *lease, maxConcurrent int) bool {
	n := a.inFlight.Add(1)
	raise(&a.peak, n)
	if maxConcurrent > 0 && n > int64(l.slots) {
		a.inFlight.Add(-1)
		return false
	}
	return true
}

// hasMeans reports whether the account could admit a call, so that a claim for
// it would be wasted.
func (a *account) hasMeans(now time.Duration) bool {
	l, leased := a.current(now)
	return leased && (l.prepaid.Load() > 0 || l.nextToken(now) == 0)
}

// retryAfter returns when a refused call finds a token: those refused before it
// have been told to return one after another, at the rate that new calls leave.
func (a *account) retryAfter(now time.Duration) time.Duration {
	l, leased := a.current(now)
	interval := intervalOf(l.returnRate)
	if !leased || interval == 0 {
		return retryWithoutLease
	}
	first := now + min(l.nextToken(now), interval)
	for {
		old := a.promised.Load()
		at := max(first, time.Duration(old)+interval)
		if at-now > maxRetryAfter {
			return maxRetryAfter
		}
		if a.promised.CompareAndSwap(old, int64(at)) {
			return at - now
		}
	}
}

// raise sets v to n if n is larger.
func raise(v *atomic.Int64, n int64) {
	for {
		old := v.Load()
		if n <= old || v.CompareAndSwap(old, n) {
			return
		}
	}
}
