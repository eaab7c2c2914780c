package quota

import (
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/snapshot"
)

// account is the holder's state for one customer. Calls read and change the fields before
// contract concurrently, with atomics only. The fields from contract on belong to the holder
// and are guarded by its mutex.
type account struct {
	customer string
	grant    Grant
	// lease is the latest lease from the owner.
	lease atomic.Pointer[lease]
	// fallback is the small amount that may be used without a valid lease.
	fallback atomic.Pointer[lease]
	// arrivals counts all calls, including refused ones.
	arrivals atomic.Int64
	inFlight atomic.Int64
	// peak is the maximum of inFlight since the last tick, including refused calls.
	peak atomic.Int64
	// unleased counts the calls admitted from fallback since the last claim.
	unleased atomic.Int64
	// active is set while the holder maintains the account.
	active atomic.Bool
	// queued is set while the account is in the holder's queue.
	queued atomic.Bool
	// pending is the next claim. Calls that wait for its answer register there.
	pending atomic.Pointer[pendingClaim]
	// notBefore is the time before which a call without a token triggers no claim.
	notBefore atomic.Int64
	// lastRetryAt is the latest time at which a refused call was told to retry.
	lastRetryAt atomic.Int64

	contract *snapshot.Contract
	demand   demand
	// listed is set while the account is in the holder's list of active accounts.
	listed bool
	// reportDue is set until the owner has granted a claim that informs it of what this daemon holds.
	reportDue bool
	// missed is set if a call found no token or slot since the latest claim.
	missed bool
	owner  *membership.Member
	// previous is the owner before, to which the rate is delegated, until it has confirmed that it
	// no longer owns the customer. nil if there is none.
	previous *membership.Member
	// previousUntil is the time until which previous is asked.
	previousUntil time.Duration
	// awaiting is set while the answer to a claim is outstanding.
	awaiting bool
	// nextClaim is the time at which the next claim is due.
	nextClaim time.Duration
	// revisedUntil is the time until which the owner may not have the latest revision of the
	// contract.
	revisedUntil time.Duration
	// reported is the demand in the latest claim, in calls per second.
	reported float64
	// overflow is the number of tokens that did not fit into the bucket. They are returned
	// to the owner's pool.
	overflow float64
	// failures counts consecutive claims that were not granted.
	failures int
	// tickPeak is the peak of the last tick, claimPeak the peak since the latest claim.
	tickPeak, claimPeak int64
	// lastArrivals is the value of arrivals at lastArrivalAt, the time of the last tick
	// that saw new calls. They show how long the customer has been idle.
	lastArrivals  int64
	lastArrivalAt time.Duration
	// busyRate is the demand at lastArrivalAt, in calls per second.
	busyRate float64
}

// pendingClaim is one claim as seen by the calls that wait for its answer.
type pendingClaim struct {
	waiters atomic.Int64
	done    chan struct{}
}

func newPendingClaim() *pendingClaim { return &pendingClaim{done: make(chan struct{})} }

func newAccount(c *snapshot.Contract) *account {
	a := &account{customer: c.Customer, contract: c}
	a.grant.account = a
	a.pending.Store(newPendingClaim())
	return a
}

// current returns the lease that calls are admitted from: the owner's lease while it is valid,
// otherwise the fallback.
func (a *account) current(now time.Duration) (l *lease, leased bool) {
	if l := a.lease.Load(); l.valid(now) {
		return l, true
	}
	return a.fallback.Load(), false
}

// admit takes a slot and a token. It returns nil if it has taken both.
func (a *account) admit(now time.Duration, maxConcurrent int) *errkind.Error {
	l, leased := a.current(now)
	if !a.acquireSlot(l, maxConcurrent) {
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

// acquireSlot counts a call in flight if a slot is free for it.
func (a *account) acquireSlot(l *lease, maxConcurrent int) bool {
	n := a.inFlight.Add(1)
	storeMax(&a.peak, n)
	if maxConcurrent > 0 && n > int64(l.slots) {
		a.inFlight.Add(-1)
		return false
	}
	return true
}

// canAdmit reports whether the account holds a token, so that a claim for one would be wasted.
func (a *account) canAdmit(now time.Duration) bool {
	l, leased := a.current(now)
	return leased && (l.prepaid.Load() > 0 || l.nextToken(now) == 0)
}

// retryAfter returns the time after which a refused call should find a token. Refused calls are
// told to retry one after another, at the rate that new calls leave unused.
func (a *account) retryAfter(now time.Duration) time.Duration {
	l, leased := a.current(now)
	interval := intervalOf(l.retryRate)
	if !leased || interval == 0 {
		return retryWithoutLease
	}
	first := now + min(l.nextToken(now), interval)
	for {
		old := a.lastRetryAt.Load()
		at := max(first, time.Duration(old)+interval)
		if at-now > maxRetryAfter {
			return maxRetryAfter
		}
		if a.lastRetryAt.CompareAndSwap(old, int64(at)) {
			return at - now
		}
	}
}

// storeMax sets v to n if n is larger.
func storeMax(v *atomic.Int64, n int64) {
	for {
		old := v.Load()
		if n <= old || v.CompareAndSwap(old, n) {
			return
		}
	}
}
