package quota

import (
	"time"

	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/quota/quotapb"
)

const (
	// minEmptyClaimInterval is the shortest time between two claims that bring no tokens.
	missGap = 100 * time.Millisecond
	// firstBackoff and maxBackoff bound the time between claims to an owner that does not
	// answer.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// minRetryShare is the share of a holder's expected rate that is promised to retried
	// calls, even if new calls alone demand more than is available.
	minReturnShare = 0.25
)

// exchange is one request to an owner and its answer.
type ask struct {
	owner    *membership.Member
	request  *quotapb.Request
	accounts []*account
	rounds   []*round
	sentAt   time.Duration
}

// step does all work that is due and returns the exchanges to make. The caller must pass each
// of them to finish.
func (h *holder) step(now time.Duration) []*ask {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drainKicks(now)
	if now >= h.nextTick {
		h.nextTick = now + tickInterval
		h.tick(now)
	}
	return h.collect(now)
}

// handleQueued activates an account that was received from the queue.
func (h *holder) takeKick(a *account, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.kicked.Store(false)
	h.kicked(a, now)
}

func (h *holder) drainKicks(now time.Duration) {
	for {
		select {
		case a := <-h.kicks:
			a.kicked.Store(false)
			h.kicked(a, now)
		default:
			return
		}
	}
}

// activate marks an account for a claim after a call missed, and adds it to the active accounts
// if it was idle.
func (h *holder) kicked(a *account, now time.Duration) {
	if !a.listed {
		a.listed = true
		h.active = append(h.active, a)
		a.demand.restart(a.arrivals.Load()-1, now)
		a.lastArrivalAt = now
		a.nextClaim = now
		h.setOwner(a, now)
	}
	a.wanting = true
}

// tick updates all active accounts.
func (h *holder) tick(now time.Duration) {
	kept := h.active[:0]
	for _, a := range h.active {
		if h.retire(a, now) {
			continue
		}
		kept = append(kept, a)
		a.demand.observe(a.arrivals.Load(), now)
		a.samplePeak()
		a.useAlone(now)
		if a.drifted(now) {
			a.nextClaim = now
		}
	}
	clear(h.active[len(kept):])
	h.active = kept
}

// retireIfIdle deactivates an account that has become idle and reports whether it did. The
// lease is returned first, so that other holders need not wait until it expires.
func (h *holder) retire(a *account, now time.Duration) bool {
	if n := a.arrivals.Load(); n != a.lastArrivals {
		a.lastArrivals, a.lastArrivalAt = n, now
		a.busyRate = a.demand.rate(n)
		return false
	}
	idle := now - a.lastArrivalAt
	if idle < minIdle || a.asking || a.inFlight.Load() > 0 {
		return false
	}
	if l := a.lease.Load(); l.valid(now) && l.amount != (amount{}) {
		if idle >= idleAfter(a.busyRate, h.opts.LeaseTime) && a.failures == 0 {
			a.demand.restart(a.lastArrivals, now)
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
func (h *holder) collect(now time.Duration) []*ask {
	var asks []*ask
	byOwner := map[string]*ask{}
	for _, a := range h.active {
		if !a.due(now) || h.asking[a.owner.Host] || byOwner[a.owner.Host] != nil {
			continue
		}
		q := &ask{owner: a.owner, sentAt: now}
		byOwner[a.owner.Host] = q
		asks = append(asks, q)
	}
	if len(asks) == 0 {
		return nil
	}
	soon := now + h.opts.RenewInterval/batchDivisor
	for _, a := range h.active {
		if a.owner == nil || a.asking {
			continue
		}
		if q := byOwner[a.owner.Host]; q != nil && (a.due(now) || a.nextClaim <= soon) {
			q.accounts = append(q.accounts, a)
		}
	}
	for _, q := range asks {
		h.fillIn(q, now)
	}
	return asks
}

// buildRequest adds the claims of the exchange's accounts to its request.
func (h *holder) fillIn(q *ask, now time.Duration) {
	h.asking[q.owner.Host] = true
	h.sequence++
	q.request = &quotapb.Request{Boot: h.fleet.boot(), Sequence: h.sequence}
	for _, a := range q.accounts {
		r := a.round.Swap(newRound())
		q.rounds = append(q.rounds, r)
		q.request.Claims = append(q.request.Claims, a.claim(now, q.owner.Boot, r))
	}
}

// finish applies the answer of an exchange, or its error.
func (h *holder) finish(q *ask, answer *quotapb.Answer, err error, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.asking, q.owner.Host)
	leases := answer.GetLeases()
	for i, a := range q.accounts {
		a.asking = false
		c := q.request.GetClaims()[i]
		switch {
		case err != nil || i >= len(leases):
			if c.GetPooled() {
				a.lease.Load().endLoan(q.owner.Boot, now+lendTime+lendMargin)
			}
			h.unanswered(a, now)
		case leases[i].GetVerdict() != quotapb.Verdict_VERDICT_GRANTED:
			// An owner that refuses the claim does not use a delegated rate either.
			a.lease.Load().endLoan(answer.GetBoot(), now)
			h.unanswered(a, now)
		default:
			h.answered(a, q.sentAt, c, leases[i], answer.GetBoot(), now)
		}
		close(q.rounds[i].done)
	}
}

// backOff keeps the current lease until it expires and schedules a retry of the claim.
func (h *holder) unanswered(a *account, now time.Duration) {
	backoff := min(firstBackoff<<min(a.failures, 8), maxBackoff)
	a.failures++
	a.nextClaim = now + backoff/2 + h.jitter(backoff/2)
	a.notBefore.Store(int64(a.nextClaim))
}

// applyLease replaces the account's lease by the one from the answer.
func (h *holder) answered(a *account, sentAt time.Duration, c *quotapb.Claim, p *quotapb.Lease, owner uint64, now time.Duration) {
	prev, l := a.lease.Load(), leaseFromProto(c, p, owner, sentAt, now)
	prev.endLoan(owner, now+lendTime+lendMargin)
	a.over += l.succeed(prev, now)
	waiting := min(p.GetTokens(), c.GetNeed())
	l.prepaid.Add(int64(waiting))
	if extra := p.GetTokens() - waiting; extra > 0 {
		a.over += l.add(now, float64(extra))
	}
	a.lease.Store(l)

	a.failures = 0
	renew := time.Duration(p.GetRenewAfterMs()) * time.Millisecond
	a.nextClaim = now + renew - h.jitter(renew/5)
	a.notBefore.Store(0)
	if p.GetTokens() < c.GetNeed() {
		// The pool is empty; another claim right away would bring nothing.
		a.notBefore.Store(int64(now + missGap))
	}
}

// leaseFromProto returns the lease that was granted for a claim, with an empty bucket.
func leaseFromProto(c *quotapb.Claim, p *quotapb.Lease, owner uint64, sentAt, now time.Duration) *lease {
	expires := sentAt + time.Duration(p.GetLeaseMs())*time.Millisecond
	l := newLease(amountFromProto(p.GetGranted()), !p.GetPooled(), now, expires)
	l.pooled = p.GetPooled()
	l.grantedBy = owner
	if l.pooled {
		l.loan = loan{to: owner, until: now + lendTime + lendMargin}
	}
	l.origin = origin{
		charged:      amountFromProto(c.GetHeld()).max(l.amount),
		chargedToAll: amountFromProto(p.GetChargedToAll()),
		at:           now,
	}
	l.returnRate = max(p.GetExpectedRate()-c.GetDemand(), minReturnShare*p.GetExpectedRate())
	l.slotsContended = p.GetSlotsContended()
	return l
}
