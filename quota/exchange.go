package quota

import (
	"time"

	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/quota/quotapb"
)

const (
	// minEmptyClaimInterval is the shortest time between two claims that bring no tokens.
	minEmptyClaimInterval = 100 * time.Millisecond
	// firstBackoff and maxBackoff bound the time between claims to an owner that does not
	// answer.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// minRetryShare is the share of a holder's expected rate that is promised to retried
	// calls, even if new calls alone demand more than is available.
	minRetryShare = 0.25
)

// exchange is one request to an owner and its answer.
type exchange struct {
	owner         *membership.Member
	request       *quotapb.Request
	accounts      []*account
	pendingClaims []*pendingClaim
	sentAt        time.Duration
}

// step does all work that is due and returns the exchanges to make. The caller must pass each
// of them to finish.
func (h *holder) step(now time.Duration) []*exchange {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drainQueue(now)
	if now >= h.nextTick {
		h.nextTick = now + tickInterval
		h.tick(now)
	}
	return h.collect(now)
}

// handleQueued activates an account that was received from the queue.
func (h *holder) handleQueued(a *account, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.queued.Store(false)
	h.activate(a, now)
}

func (h *holder) drainQueue(now time.Duration) {
	for {
		select {
		case a := <-h.queue:
			a.queued.Store(false)
			h.activate(a, now)
		default:
			return
		}
	}
}

// activate marks an account for a claim after a call missed, and adds it to the active accounts
// if it was idle.
func (h *holder) activate(a *account, now time.Duration) {
	if !a.listed {
		h.list(a, now)
		a.demand.reset(a.arrivals.Load()-1, now)
	}
	a.missed = true
}

// list adds an idle account to the active accounts.
func (h *holder) list(a *account, now time.Duration) {
	a.listed = true
	h.active = append(h.active, a)
	a.demand.reset(a.arrivals.Load(), now)
	a.lastArrivalAt = now
	a.nextClaim = now
	h.setOwner(a, now)
}

// tick updates all active accounts.
func (h *holder) tick(now time.Duration) {
	kept := h.active[:0]
	for _, a := range h.active {
		if h.retireIfIdle(a, now) {
			continue
		}
		kept = append(kept, a)
		a.demand.observe(a.arrivals.Load(), now)
		a.samplePeak()
		a.useWithoutPool(now)
		if a.needsEarlyClaim(now) {
			a.nextClaim = now
		}
	}
	clear(h.active[len(kept):])
	h.active = kept
}

// retireIfIdle deactivates an account that has become idle and reports whether it did. The
// lease is returned first, so that other holders need not wait until it expires.
func (h *holder) retireIfIdle(a *account, now time.Duration) bool {
	if n := a.arrivals.Load(); n != a.lastArrivals {
		a.lastArrivals, a.lastArrivalAt = n, now
		a.busyRate = a.demand.rate(n)
		return false
	}
	idle := now - a.lastArrivalAt
	if idle < minIdle || a.awaiting || a.reportDue || a.inFlight.Load() > 0 {
		return false
	}
	if l := a.lease.Load(); l.valid(now) && l.amount != (amount{}) {
		if idle >= idleAfter(a.busyRate, h.opts.LeaseTime) && a.failures == 0 {
			a.demand.reset(a.lastArrivals, now)
			a.nextClaim = now
		}
		return false
	}
	a.active.Store(false)
	if a.arrivals.Load() != a.lastArrivals && a.active.CompareAndSwap(false, true) {
		return false
	}
	a.listed = false
	a.owner = nil
	return true
}

// collect builds one request for each owner that has a due claim and no exchange in progress.
// Claims to the same owner that are due soon are included.
func (h *holder) collect(now time.Duration) []*exchange {
	var exchanges []*exchange
	byOwner := map[string]*exchange{}
	for _, a := range h.active {
		if !a.due(now) {
			continue
		}
		target := a.claimTarget(now)
		if h.awaiting[target.Host] || byOwner[target.Host] != nil {
			continue
		}
		q := &exchange{owner: target, sentAt: now}
		byOwner[target.Host] = q
		exchanges = append(exchanges, q)
	}
	if len(exchanges) == 0 {
		return nil
	}
	soon := now + h.opts.RenewInterval/batchDivisor
	for _, a := range h.active {
		if a.owner == nil || a.awaiting {
			continue
		}
		if q := byOwner[a.claimTarget(now).Host]; q != nil && (a.due(now) || a.nextClaim <= soon) {
			q.accounts = append(q.accounts, a)
		}
	}
	for _, q := range exchanges {
		h.buildRequest(q, now)
	}
	return exchanges
}

// buildRequest adds the claims of the exchange's accounts to its request.
func (h *holder) buildRequest(q *exchange, now time.Duration) {
	h.awaiting[q.owner.Host] = true
	h.sequence++
	q.request = &quotapb.Request{Host: h.opts.Host, Boot: h.fleet.boot(), Sequence: h.sequence}
	for _, a := range q.accounts {
		r := a.pending.Swap(newPendingClaim())
		q.pendingClaims = append(q.pendingClaims, r)
		q.request.Claims = append(q.request.Claims, a.claim(now, q.owner.Boot, r))
	}
}

// finish applies the answer of an exchange, or its error.
func (h *holder) finish(q *exchange, answer *quotapb.Answer, err error, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.awaiting, q.owner.Host)
	leases := answer.GetLeases()
	for i, a := range q.accounts {
		a.awaiting = false
		c := q.request.GetClaims()[i]
		switch {
		case err != nil || i >= len(leases):
			if c.GetPooled() {
				a.lease.Load().endDelegation(q.owner.Boot, now+delegationTime+delegationMargin)
			}
			h.retryClaim(a, q.owner, now)
		case leases[i].GetVerdict() != quotapb.Verdict_VERDICT_GRANTED:
			// An owner that refuses the claim does not use a delegated rate either.
			a.lease.Load().endDelegation(answer.GetBoot(), now)
			h.retryClaim(a, q.owner, now)
		default:
			h.applyLease(a, q.sentAt, c, leases[i], answer.GetBoot(), now)
			if a.previous != nil {
				a.nextClaim = now + previousOwnerInterval
			}
		}
		close(q.pendingClaims[i].done)
	}
}

// retryClaim schedules the next claim after one that was not granted: at once to the owner if it was
// the previous one that did not grant it.
func (h *holder) retryClaim(a *account, asked *membership.Member, now time.Duration) {
	if a.previous == nil || a.previous != asked {
		h.backOff(a, now)
		return
	}
	a.previous = nil
	a.nextClaim = now
}

// backOff keeps the current lease until it expires and schedules a retry of the claim.
func (h *holder) backOff(a *account, now time.Duration) {
	backoff := min(firstBackoff<<min(a.failures, 8), maxBackoff)
	a.failures++
	a.nextClaim = now + backoff/2 + h.jitter(backoff/2)
	a.notBefore.Store(int64(a.nextClaim))
}

// applyLease replaces the account's lease by the one from the answer.
func (h *holder) applyLease(a *account, sentAt time.Duration, c *quotapb.Claim, p *quotapb.Lease, owner uint64, now time.Duration) {
	prev, l := a.lease.Load(), leaseFromProto(c, p, owner, sentAt, now)
	prev.endDelegation(owner, now+delegationTime+delegationMargin)
	a.overflow += l.carryOver(prev, now)
	waiting := min(p.GetTokens(), c.GetNeed())
	l.prepaid.Add(int64(waiting))
	if extra := p.GetTokens() - waiting; extra > 0 {
		a.overflow += l.add(now, float64(extra))
	}
	if !a.reportDue || l.amount != (amount{}) || prev.valid(now) {
		a.lease.Store(l)
	}

	a.failures, a.reportDue = 0, false
	renew := time.Duration(p.GetRenewAfterMs()) * time.Millisecond
	if now < a.revisedUntil {
		renew = min(renew, h.opts.reportSpread())
	}
	a.nextClaim = now + renew - h.jitter(renew/5)
	a.notBefore.Store(0)
	if p.GetTokens() < c.GetNeed() {
		// The pool is empty; another claim right away would bring nothing.
		a.notBefore.Store(int64(now + minEmptyClaimInterval))
	}
}

// leaseFromProto returns the lease that was granted for a claim, with an empty bucket.
func leaseFromProto(c *quotapb.Claim, p *quotapb.Lease, owner uint64, sentAt, now time.Duration) *lease {
	expires := sentAt + time.Duration(p.GetLeaseMs())*time.Millisecond
	l := newLease(amountFromProto(p.GetGranted()), !p.GetPooled(), now, expires)
	l.pooled = p.GetPooled()
	l.grantedBy = owner
	if l.pooled {
		l.delegation = delegation{to: owner, until: now + delegationTime + delegationMargin}
	}
	l.origin = origin{
		charged:      amountFromProto(c.GetHeld()).max(l.amount),
		chargedToAll: amountFromProto(p.GetChargedToAll()),
		at:           now,
	}
	l.retryRate = max(p.GetExpectedRate()-c.GetDemand(), minRetryShare*p.GetExpectedRate())
	l.belowLimit = c.GetDemand() <= p.GetExpectedRate()
	l.slotsContended = p.GetSlotsContended()
	return l
}
