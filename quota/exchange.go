package quota

import (
	"time"

	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/quota/quotapb"
)

const (
	// missGap is the shortest time between two claims that bring nothing.
	missGap = 100 * time.Millisecond
	// firstBackoff and maxBackoff bound the time between claims to an owner
	// that does not answer.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// minReturnShare of what a holder may expect is promised to calls that
	// return, also where new calls alone want more than there is.
	minReturnShare = 0.25
)

// ask is one exchange with an owner.
type ask struct {
	owner    *membership.Member
	request  *quotapb.Request
	accounts []*account
	rounds   []*round
	sentAt   time.Duration
}

// step does all that is due and returns the exchanges to be made. Each must be
// ended by finish.
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

// takeKick looks after one account that a call has missed on.
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

// kicked makes an account due after a miss, and takes it up if it was idle.
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

// tick looks at all active accounts.
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

// retire drops an account that has become idle. The lease is returned first, so
// that others need not wait until it lapses.
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

// collect makes one request for each owner that has something due and no
// exchange in progress.
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

// fillIn writes the request.
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

// finish takes in the answer of an exchange, or its error.
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
			// An owner that serves nobody fills no pool either.
			a.lease.Load().endLoan(answer.GetBoot(), now)
			h.unanswered(a, now)
		default:
			h.answered(a, q.sentAt, c, leases[i], answer.GetBoot(), now)
		}
		close(q.rounds[i].done)
	}
}

// unanswered keeps the lease until it lapses and tries again later.
func (h *holder) unanswered(a *account, now time.Duration) {
	backoff := min(firstBackoff<<min(a.failures, 8), maxBackoff)
	a.failures++
	a.nextClaim = now + backoff/2 + h.jitter(backoff/2)
	a.notBefore.Store(int64(a.nextClaim))
}

// answered takes over a lease.
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
		// The pool is empty; asking again at once would bring nothing.
		a.notBefore.Store(int64(now + missGap))
	}
}

// leaseFromProto returns the lease that was granted for a claim, with an empty
// bucket.
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
