package quota

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/snapshot"
)

const (
	// queueSize is the number of accounts that may wait in the holder's queue.
	queueSize = 4096
	// unleasedShare is the share of the contract's rate that all daemons together may admit
	// without leases. unleasedBurst is the corresponding burst, in seconds of the
	// contract's rate.
	unleasedShare = 0.02
	unleasedBurst = 0.1
	// maxReportedCustomers is the number of customers up to which a daemon also claims for those
	// without calls when their owner changes. After a restart of all daemons each of them sends that
	// many claims, some 20 KB, within reportSpread. With more customers, owners settle for their full
	// time.
	maxReportedCustomers = 256
)

// holder keeps the leases of this daemon: it claims, renews and returns them.
type holder struct {
	opts     Options
	queue    chan *account
	accounts atomic.Pointer[map[string]*account]

	mu     sync.Mutex
	fleet  *fleet
	active []*account
	// awaiting contains the hosts of the owners with an exchange in progress.
	awaiting map[string]bool
	// reportedTo maps each customer to the boot ID of the owner that was or will be informed of what
	// this daemon holds.
	reportedTo map[string]uint64
	sequence   uint64
	nextTick   time.Duration
	rng        *rand.Rand
}

func newHolder(opts Options) *holder {
	h := &holder{
		opts:     opts,
		queue:    make(chan *account, queueSize),
		awaiting: map[string]bool{}, reportedTo: map[string]uint64{},
		rng: rand.New(rand.NewPCG(xxhash.Sum64String(opts.Host), 0)),
	}
	h.accounts.Store(&map[string]*account{})
	return h
}

// account returns the account of a contract, and creates one if the contract has not been
// passed to setContracts yet.
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
	h.setFallback(a, now)
	return a
}

// setFallback computes what the account may admit without a lease: an equal part of a small
// share of the contract, so that all daemons together stay within that share.
func (h *holder) setFallback(a *account, now time.Duration) {
	known := 1.0
	if h.fleet != nil {
		known = float64(max(1, h.fleet.known))
	}
	whole := h.opts.Tolerance.amount(a.contract)
	part := amount{
		rate:  unleasedShare * whole.rate / known,
		burst: min(whole.burst, unleasedBurst*whole.rate) / known,
		slots: whole.slots / known,
	}
	fallback := newLease(part.wholeSlots(), true, now, forever)
	fallback.fill(now, part.burst)
	if old := a.fallback.Load(); old != nil {
		tokens, _ := old.drain(now)
		fallback.fill(now, tokens)
	}
	a.fallback.Store(fallback)
}

// setContracts replaces the contracts in force.
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
	h.reportToOwners(now)
}

// reportToOwners schedules a claim for each customer whose owner is a process that this daemon has
// not claimed from yet, also if the customer has no calls here. The owner stops settling once all
// daemons have reported what they hold.
func (h *holder) reportToOwners(now time.Duration) {
	accounts := *h.accounts.Load()
	if h.fleet == nil || len(accounts) > maxReportedCustomers {
		return
	}
	maps.DeleteFunc(h.reportedTo, func(customer string, _ uint64) bool { return accounts[customer] == nil })
	for customer, a := range accounts {
		owner := h.fleet.owner(customer)
		if owner == nil || h.reportedTo[customer] == owner.Boot {
			continue
		}
		h.reportedTo[customer] = owner.Boot
		a.reportDue = true
		if a.listed {
			// setOwner has scheduled a claim.
			continue
		}
		h.list(a, now)
		a.nextClaim = now + h.jitter(h.opts.reportSpread())
	}
}

// reportToSelf schedules a claim for each customer that this daemon owns, since its ledgers settle
// again.
func (h *holder) reportToSelf(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fleet == nil {
		return
	}
	self := h.fleet.boot()
	maps.DeleteFunc(h.reportedTo, func(_ string, owner uint64) bool { return owner == self })
	h.reportToOwners(now)
	for _, a := range h.active {
		if a.owner != nil && a.owner.Boot == self {
			a.nextClaim = min(a.nextClaim, now+h.jitter(h.opts.reportSpread()))
		}
	}
}

// revise applies a revised contract to an account. The lease shrinks with the contract at once.
// All holders claim again soon, spread out to avoid a simultaneous burst of claims, and do so until
// the owner has had time to get the revision: one that still had the previous contract granted that
// again until the next renewal.
func (h *holder) revise(a *account, c *snapshot.Contract, now time.Duration) {
	previous := h.opts.Tolerance.amount(a.contract)
	revised := h.opts.Tolerance.amount(c)
	a.contract = c
	h.setFallback(a, now)
	a.nextClaim = min(a.nextClaim, now+h.jitter(h.opts.reportSpread()))
	a.revisedUntil = now + h.opts.settleTime()
	if previous.slots == 0 && revised.slots > 0 {
		// A lease from a contract without a concurrency limit has no slots.
		a.nextClaim = now
	}
	if l := a.lease.Load(); l.valid(now) {
		shrunk, _ := l.shrunk(now, l.amount.min(amount{
			rate:  l.rate * revised.rate / previous.rate,
			burst: l.burst * revised.burst / previous.burst,
			slots: l.slots * revised.slots / max(1, previous.slots),
		}).wholeSlots())
		a.lease.Store(shrunk)
	}
}

// setFleet determines the owners of all active accounts. Current leases are reported to a new
// owner soon, spread out so that not all holders report at the same moment.
func (h *holder) setFleet(f *fleet, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	resized := h.fleet == nil || h.fleet.known != f.known
	h.fleet = f
	if resized {
		for _, a := range *h.accounts.Load() {
			h.setFallback(a, now)
		}
	}
	for _, a := range h.active {
		h.setOwner(a, now)
	}
	h.reportToOwners(now)
}

func (h *holder) setOwner(a *account, now time.Duration) {
	if h.fleet == nil {
		return
	}
	previous := a.owner
	a.owner = h.fleet.owner(a.customer)
	if previous != nil && a.owner != nil && (previous.Host != a.owner.Host || previous.Boot != a.owner.Boot) {
		a.nextClaim = now + h.jitter(h.opts.reportSpread())
		a.notBefore.Store(0)
		a.failures = 0
		if h.fleet.replaced(holderID{previous.Host, previous.Boot}) {
			// The process has ended, and its pool with it.
			a.lease.Load().endDelegation(previous.Boot, now)
		}
		a.askPrevious(previous, h.fleet, now)
	}
}

// askPrevious makes the account ask its previous owner once more, if that lives and the rate is
// delegated to it. As soon as it confirms that it no longer owns the customer, the rate can feed the
// pool of the next owner. Otherwise the rate would be unused until the delegation ends.
func (a *account) askPrevious(previous *membership.Member, f *fleet, now time.Duration) {
	a.previous = nil
	l := a.lease.Load()
	if !l.valid(now) || !l.pooled || l.local || l.delegation.to != previous.Boot || !f.runs(holderID{previous.Host, previous.Boot}) {
		return
	}
	a.previous, a.previousUntil = previous, now+previousOwnerTime
	a.nextClaim = now
}

// claimTarget returns the owner to which the next claim goes.
func (a *account) claimTarget(now time.Duration) *membership.Member {
	if a.previous != nil && now >= a.previousUntil {
		a.previous = nil
	}
	if a.previous != nil {
		return a.previous
	}
	return a.owner
}

// jitter returns a random duration from 0 to d.
func (h *holder) jitter(d time.Duration) time.Duration {
	return time.Duration(h.rng.Int64N(int64(d) + 1))
}

// size returns the number of active accounts.
func (h *holder) size() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.active)
}
