package quota

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/quota/quotapb"
	"github.com/crocuscross/crocuscross/snapshot"
)

const (
	// kickBacklog is how many accounts may wait to be looked after.
	kickBacklog = 4096
	// missGap is the shortest time between two claims that bring nothing.
	missGap = 100 * time.Millisecond
	// firstBackoff and maxBackoff bound the time between claims to an owner
	// that does not answer.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// unleasedShare of the contract is what all daemons together may admit per
	// second without leases, and unleasedBurst, in seconds of the rate, at
	// once.
	unleasedShare = 0.02
	unleasedBurst = 0.1
)

// holder keeps the leases of this daemon: it claims, renews and returns them.
type holder struct {
	opts     Options
	kicks    chan *account
	accounts atomic.Pointer[map[string]*account]

	mu     sync.Mutex
	fleet  *fleet
	active []*account
	// asking names the owners with an exchange in progress.
	asking   map[string]bool
	sequence uint64
	nextTick time.Duration
	rng      *rand.Rand
}

// ask is one exchange with an owner.
type ask struct {
	owner    *membership.Member
	request  *quotapb.Request
	accounts []*account
	rounds   []*round
	sentAt   time.Duration
}

func newHolder(opts Options) *holder {
	h := &holder{
		opts:   opts,
		kicks:  make(chan *account, kickBacklog),
		asking: map[string]bool{},
		rng:    rand.New(rand.NewPCG(xxhash.Sum64String(opts.Host), 0)),
	}
	h.accounts.Store(&map[string]*account{})
	return h
}

// account returns the account of a contract, and makes one for a contract that
// the holder has not been told of yet.
func (h *holder) account(c *snapshot.Contract, now time.Duration) *account {
	if a := (*h.accounts.Load())[c.Customer]; a != nil {
		return a
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	old := *h.accounts.Load()
	if a := old[c.Customer]; a != nil {
		return a
	}
	accounts := make(map[string]*account, len(old)+1)
	for customer, a := range old {
		accounts[customer] = a
	}
	a := h.newAccount(c, now)
	accounts[c.Customer] = a
	h.accounts.Store(&accounts)
	return a
}

func (h *holder) newAccount(c *snapshot.Contract, now time.Duration) *account {
	a := newAccount(c)
	h.setSpare(a, now)
	return a
}

// setSpare works out what the account may admit without a lease: an equal part
// of a small share of the contract, so that all daemons together stay within
// that share.
func (h *holder) setSpare(a *account, now time.Duration) {
	known := 1.0
	if h.fleet != nil {
		known = float64(max(1, h.fleet.known))
	}
	part := amount{
		rate:  unleasedShare * a.contract.Rate / known,
		burst: min(a.contract.Burst, unleasedBurst*a.contract.Rate) / known,
		slots: float64(a.contract.MaxConcurrent) / known,
	}
	spare := newLease(part.wholeSlots(), true, now, forever)
	spare.fill(now, part.burst)
	if old := a.spare.Load(); old != nil {
		spare.fill(now, old.level(now))
	}
	a.spare.Store(spare)
}

// setContracts takes over the contracts in force.
func (h *holder) setContracts(contracts map[string]*snapshot.Contract, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := *h.accounts.Load()
	accounts := make(map[string]*account, len(contracts))
	for customer, c := range contracts {
		a := old[customer]
		if a == nil {
			a = h.newAccount(c, now)
		} else if a.contract != c {
			h.revise(a, c, now)
		}
		accounts[customer] = a
	}
	h.active = slices.DeleteFunc(h.active, func(a *account) bool { return accounts[a.customer] != a })
	h.accounts.Store(&accounts)
}

// revise brings an account under a revised contract: the lease shrinks with the
// contract at once, and all holders claim anew soon, not all in one moment.
func (h *holder) revise(a *account, c *snapshot.Contract, now time.Duration) {
	was := contractAmount(a.contract)
	is := contractAmount(c)
	a.contract = c
	h.setSpare(a, now)
	a.nextClaim = min(a.nextClaim, now+h.jitter(h.opts.reportSpread()))
	if l := a.lease.Load(); l.valid(now) {
		a.lease.Store(l.shrunk(now, l.amount.min(amount{
			rate:  l.rate * is.rate / was.rate,
			burst: l.burst * is.burst / was.burst,
			slots: l.slots * is.slots / max(1, was.slots),
		}).wholeSlots()))
	}
}

// setFleet finds the new owners. What is held is reported to a new owner soon,
// not by all holders in one moment.
func (h *holder) setFleet(f *fleet, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	resized := h.fleet == nil || h.fleet.known != f.known
	h.fleet = f
	if resized {
		for _, a := range *h.accounts.Load() {
			h.setSpare(a, now)
		}
	}
	for _, a := range h.active {
		h.setOwner(a, now)
	}
}

func (h *holder) setOwner(a *account, now time.Duration) {
	if h.fleet == nil {
		return
	}
	was := a.owner
	a.owner = h.fleet.owner(a.customer)
	if was != nil && a.owner != nil && (was.Host != a.owner.Host || was.Boot != a.owner.Boot) {
		a.nextClaim = now + h.jitter(h.opts.reportSpread())
		a.notBefore.Store(0)
		a.failures = 0
	}
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

// size returns the number of active accounts.
func (h *holder) size() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.active)
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
		if a.drifted(now) {
			a.nextClaim = now
		}
	}
	clear(h.active[len(kept):])
	h.active = kept
}

// retire drops an account that has been idle for a lease time. The lease is
// returned first, so that others need not wait until it lapses.
func (h *holder) retire(a *account, now time.Duration) bool {
	if n := a.arrivals.Load(); n != a.lastArrivals {
		a.lastArrivals, a.lastArrivalAt = n, now
		return false
	}
	if now-a.lastArrivalAt < h.opts.LeaseTime || a.asking || a.inFlight.Load() > 0 {
		return false
	}
	if l := a.lease.Load(); l.valid(now) && l.amount != (amount{}) && a.failures == 0 {
		a.demand.restart(a.arrivals.Load(), now)
		a.nextClaim = now
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
	soon := now + h.opts.RenewInterval/contendedDivisor
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
	q.request = &quotapb.Request{Boot: h.fleet.view.Self.Boot, Sequence: h.sequence}
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
		if err != nil || i >= len(leases) {
			h.unanswered(a, now)
		} else {
			h.answered(a, q, q.request.GetClaims()[i].GetNeed(), leases[i], answer.GetBoot(), now)
		}
		close(q.rounds[i].done)
	}
}

// unanswered keeps the lease until it lapses and tries again later. A pooled
// rate is used here from now on, as there is no pool to draw from.
func (h *holder) unanswered(a *account, now time.Duration) {
	backoff := min(firstBackoff<<min(a.failures, 8), maxBackoff)
	a.failures++
	a.nextClaim = now + backoff/2 + h.jitter(backoff/2)
	a.notBefore.Store(int64(a.nextClaim))
	if l := a.lease.Load(); l.valid(now) && !l.local {
		a.lease.Store(l.cutOff(now))
	}
}

// answered takes over a lease.
func (h *holder) answered(a *account, q *ask, need uint32, p *quotapb.Lease, owner uint64, now time.Duration) {
	if p.GetVerdict() != quotapb.Verdict_VERDICT_GRANTED {
		h.unanswered(a, now)
		return
	}
	a.failures = 0
	renew := time.Duration(p.GetRenewAfterMs()) * time.Millisecond
	a.nextClaim = now + renew - h.jitter(renew/5)
	expires := q.sentAt + time.Duration(p.GetLeaseMs())*time.Millisecond
	l := newLease(amountFromProto(p.GetGranted()), !p.GetPooled(), now, expires)
	l.pooled = p.GetPooled()
	l.grantedBy = owner
	l.grantedToAll = amountFromProto(p.GetGrantedToAll())
	l.expectedRate = p.GetExpectedRate()
	l.slotsContended = p.GetSlotsContended()
	l.succeed(a.lease.Load(), now)
	l.prepaid.Add(int64(p.GetTokens()))
	a.lease.Store(l)
	a.notBefore.Store(0)
	if p.GetTokens() < need {
		// The pool is empty; asking again at once would bring nothing.
		a.notBefore.Store(int64(now + missGap))
	}
}

// jitter returns a random part of d.
func (h *holder) jitter(d time.Duration) time.Duration {
	return time.Duration(h.rng.Int64N(int64(d) + 1))
}
