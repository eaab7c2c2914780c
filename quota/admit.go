package quota

import (
	"context"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/snapshot"
)

const (
	// retryWithoutLease is when a call that found no lease may return: the
	// owner has answered by then.
	retryWithoutLease = time.Second
	// maxRetryAfter bounds what a refused call is told.
	maxRetryAfter = 30 * time.Second
)

// The errors that refusals are copied from; making one anew would record the
// stack for each.
var (
	errRate        = errkind.New(errkind.RateLimited, "contracted rate is used up")
	errConcurrency = errkind.New(errkind.ConcurrencyLimit, "contracted number of calls in flight is used up")
)

// Grant is the right to run one call. It must be given back by Done exactly
// once.
type Grant struct{ account *account }

// Done tells that the call has ended.
func (g *Grant) Done() { g.account.inFlight.Add(-1) }

// Admit admits a call out of the lease at hand and never waits. The error is
// of kind RateLimited with the time at which a token will be there, or
// ConcurrencyLimit.
func (m *Manager) Admit(c *snapshot.Contract) (*Grant, error) {
	a, now := m.account(c), m.now()
	a.arrivals.Add(1)
	err := m.try(a, now, c)
	if err == nil {
		return &a.grant, nil
	}
	m.miss(a, now)
	return nil, m.refusal(a, now, err)
}

// AdmitWait is Admit, but a call that finds no token here waits for the
// owner's answer if it may bring one: at most admitWait, and not where the
// owner has just said that there is none. It serves a customer whose calls are
// spread so thin that no daemon's share holds a whole call.
func (m *Manager) AdmitWait(ctx context.Context, c *snapshot.Contract) (*Grant, error) {
	a, now := m.account(c), m.now()
	a.arrivals.Add(1)
	err := m.try(a, now, c)
	if err == nil {
		return &a.grant, nil
	}
	timeout := time.NewTimer(admitWait)
	defer timeout.Stop()
	// The first claim may be on its way already; the one after it carries this
	// call.
	for range 2 {
		if !a.worthAsking(now) || !m.await(ctx, a, timeout.C) {
			break
		}
		now = m.now()
		if err = m.try(a, now, c); err == nil {
			return &a.grant, nil
		}
	}
	return nil, m.refusal(a, now, err)
}

func (m *Manager) try(a *account, now time.Duration, c *snapshot.Contract) *errkind.Error {
	if !a.active.Load() && a.active.CompareAndSwap(false, true) {
		m.kick(a)
	}
	return a.admit(now, c.MaxConcurrent)
}

// miss asks for a claim without waiting for it.
func (m *Manager) miss(a *account, now time.Duration) {
	if a.worthAsking(now) {
		m.kick(a)
	}
}

// await joins the next claim and waits for its answer.
func (m *Manager) await(ctx context.Context, a *account, timeout <-chan time.Time) bool {
	r := a.round.Load()
	r.waiters.Add(1)
	m.kick(a)
	select {
	case <-r.done:
		return true
	case <-timeout:
	case <-ctx.Done():
	}
	return false
}

// worthAsking reports whether the owner may have something to give.
func (a *account) worthAsking(now time.Duration) bool {
	return int64(now) >= a.notBefore.Load()
}

func (m *Manager) refusal(a *account, now time.Duration, err *errkind.Error) error {
	m.stats.refused.Add(1)
	if err.Kind == errkind.RateLimited {
		return err.After(a.retryAfter(now))
	}
	return err
}

// kick wakes the holder for an account. Where the channel is full the next call
// tries again.
func (m *Manager) kick(a *account) {
	if !a.kicked.CompareAndSwap(false, true) {
		return
	}
	select {
	case m.holder.kicks <- a:
	default:
		a.kicked.Store(false)
		a.active.Store(false)
	}
}
