package quota

import (
	"context"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/snapshot"
)

const (
	// retryWithoutLease is the retry time of a call that found no lease. The owner has
	// answered by then.
	retryWithoutLease = time.Second
	// maxRetryAfter bounds the retry time of a refused call.
	maxRetryAfter = 30 * time.Second
	// claimsPerCall is the number of claims that a call waits for: the first one may have been sent
	// already, the second one includes the call.
	claimsPerCall = 2
	// claimsPerCallBelowLimit is that number while the customer's demand is below its limit. Claims
	// that bring no tokens are minEmptyClaimInterval apart, so that admitWait has room for no more.
	claimsPerCallBelowLimit = 4
	// minTryInterval is the shortest time after which a waiting call looks for a token again. Many
	// calls may wait for the tokens of one lease.
	minTryInterval = 5 * time.Millisecond
)

// These errors are templates that refusals are copied from. Creating an error for each refusal
// would record a stack trace each time.
var (
	errRate        = errkind.New(errkind.RateLimited, "contracted rate is used up")
	errConcurrency = errkind.New(errkind.ConcurrencyLimit, "contracted number of calls in flight is used up")
)

// Grant is the permission to run one call. Done must be called exactly once.
type Grant struct{ account *account }

// Done releases the slot of a call that has ended.
func (g *Grant) Done() { g.account.inFlight.Add(-1) }

// Admit admits a call from the current lease and never waits. The error is of kind RateLimited,
// with the time after which a token should be available, or of kind ConcurrencyLimit.
func (m *Manager) Admit(c *snapshot.Contract) (*Grant, error) {
	a, now := m.account(c), m.now()
	a.arrivals.Add(1)
	err := m.tryAdmit(a, now, c)
	if err == nil {
		return &a.grant, nil
	}
	m.requestClaim(a, now)
	return nil, m.refusal(a, now, err)
}

// AdmitWait is like Admit, but a call that finds no token waits for the owner's answer if the
// answer may bring one, or for the next token of the lease, which counts while the owner does not
// answer. It waits at most admitWait. If the owner has just answered that its pool is
// empty, the call waits only while the customer's demand is below its limit, for the next token or
// the next claim. AdmitWait serves customers whose calls are spread so thinly that no daemon's share
// amounts to a whole call, and those whose demand rises faster than their leases.
func (m *Manager) AdmitWait(ctx context.Context, c *snapshot.Contract) (*Grant, error) {
	a, now := m.account(c), m.now()
	a.arrivals.Add(1)
	err := m.tryAdmit(a, now, c)
	if err == nil {
		return &a.grant, nil
	}
	deadline := now + admitWait
	var claim *pendingClaim
	for claims := 0; ; {
		next, at := a.nextTry(now, claims, claim != nil, err)
		if at >= deadline && claim == nil && !next {
			break
		}
		if next {
			claims++
			claim = m.joinClaim(a)
		}
		if !claim.wait(ctx, min(at, deadline)-now) {
			break
		}
		if claim != nil && claim.answered() {
			claim = nil
		}
		now = m.now()
		if err = m.tryAdmit(a, now, c); err == nil {
			return &a.grant, nil
		}
		if now >= deadline {
			break
		}
	}
	return nil, m.refusal(a, now, err)
}

// nextTry returns what a call that was refused with err tries next: whether it joins the next claim,
// and the time at which it looks for a token again unless the claim is answered before. That is forever
// if it is not worthwhile. claims is the number of claims that the call has joined, and waiting is
// whether the latest of them is not answered yet.
func (a *account) nextTry(now time.Duration, claims int, waiting bool, err *errkind.Error) (claim bool, at time.Duration) {
	l, _ := a.current(now)
	at = forever
	if err == errRate {
		at = now + max(minTryInterval, l.nextToken(now))
	}
	limit := claimsPerCall
	if l.belowLimit {
		limit = claimsPerCallBelowLimit
	}
	switch {
	case waiting:
		return false, at
	case claims < limit && a.claimAllowed(now):
		return true, at
	case claims >= limit || !l.belowLimit || err != errRate:
		return false, forever
	}
	return false, min(at, max(now+minTryInterval, time.Duration(a.notBefore.Load())))
}

// wait waits until the claim is answered, at most for d. It returns whether ctx was still valid then.
// A nil claim is never answered.
func (p *pendingClaim) wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	var done chan struct{}
	if p != nil {
		done = p.done
	}
	select {
	case <-done:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// answered reports whether the claim has been answered or has failed.
func (p *pendingClaim) answered() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (m *Manager) tryAdmit(a *account, now time.Duration, c *snapshot.Contract) *errkind.Error {
	if !a.active.Load() && a.active.CompareAndSwap(false, true) {
		m.enqueue(a)
	}
	return a.admit(now, c.MaxConcurrent)
}

// requestClaim queues the account for a claim if one is worthwhile, and does not wait for it.
func (m *Manager) requestClaim(a *account, now time.Duration) {
	if a.claimAllowed(now) {
		m.enqueue(a)
	}
}

// joinClaim registers a waiting call with the next claim.
func (m *Manager) joinClaim(a *account) *pendingClaim {
	p := a.pending.Load()
	p.waiters.Add(1)
	m.enqueue(a)
	return p
}

// claimAllowed reports whether the owner may have tokens to give, so that a claim is
// worthwhile.
func (a *account) claimAllowed(now time.Duration) bool {
	return int64(now) >= a.notBefore.Load()
}

func (m *Manager) refusal(a *account, now time.Duration, err *errkind.Error) error {
	m.stats.refused.Add(1)
	if err.Kind == errkind.RateLimited {
		return err.WithRetryAfter(a.retryAfter(now))
	}
	return err
}

// enqueue queues an account for the holder. If the queue is full, the next call tries again.
func (m *Manager) enqueue(a *account) {
	if !a.queued.CompareAndSwap(false, true) {
		return
	}
	select {
	case m.holder.queue <- a:
	default:
		a.queued.Store(false)
		a.active.Store(false)
	}
}
