package quota

import (
	"math"
	"slices"
	"time"

	"github.com/crocuscross/crocuscross/quota/quotapb"
	"github.com/crocuscross/crocuscross/snapshot"
)

// ledger is the owner's record of one customer's contract. It is not safe for concurrent use.
type ledger struct {
	opts     Options
	contract amount
	// settlingRate is the rate that may be granted beyond the reported one while the ledger settles.
	settlingRate float64
	entries      []*entry
	byHolder     map[holderID]*entry
	sum          totals
	pool         pool
	earlier      earlierOwners
	// rejoining is the amount that was leased in regions that have become reachable again.
	rejoining rejoining
	// sweptFleet is the fleet for which the entries were last updated.
	sweptFleet *fleet

	// opensAt is the time at which the ledger stops settling at the latest, and settlingSince the
	// time since which holders must have claimed for it to stop earlier.
	opensAt, settlingSince time.Duration
	open                   bool
	// reported is what holders are known to hold while the ledger settles. The ledger may
	// renew and redistribute that amount.
	reported amount
}

// newLedger returns a ledger without entries. Its pool starts with the tokens that have
// accumulated since opensAt.
func newLedger(opts Options, contract *snapshot.Contract, opensAt, now time.Duration) *ledger {
	l := &ledger{opts: opts, byHolder: map[holderID]*entry{}, opensAt: opensAt}
	l.setContract(contract)
	// Set open before the pool is first refilled: while a ledger settles, only
	// settlingShare of the rate is available, and the pool would get a fiftieth of the
	// burst.
	l.open = now >= opensAt
	l.pool.at = min(now, opensAt)
	return l
}

func (l *ledger) setContract(c *snapshot.Contract) {
	l.contract = l.opts.Tolerance.amount(c)
	l.settlingRate = l.opts.Tolerance.settlingRate(c)
}

// settle restarts settling: the ledger continues with what its holders have, since another
// owner may have granted all the rest.
func (l *ledger) settle(opensAt, now time.Duration) {
	l.opensAt, l.settlingSince = opensAt, now
	l.open = false
	for _, e := range l.entries {
		l.update(e, func() { e.pooled = false })
	}
	l.reported = l.sum.charged
	l.pool = pool{at: now}
}

// settleAgain restarts settling. If the absence continues for which a ledger settles already, only its
// end is postponed, so that the pool keeps what the settling rate has brought.
func (l *ledger) settleAgain(opensAt, now time.Duration, continues bool) {
	if continues && !l.open {
		l.opensAt, l.settlingSince = opensAt, now
		return
	}
	l.settle(opensAt, now)
}

// claim answers one claim.
func (l *ledger) claim(now time.Duration, f *fleet, id holderID, sequence uint64, c *quotapb.Claim) *quotapb.Lease {
	if e := l.byHolder[id]; e != nil && sequence <= e.sequence {
		return &quotapb.Lease{Verdict: quotapb.Verdict_VERDICT_STALE}
	}
	l.advance(now, f)
	if e := l.byHolder[id]; e != nil && e.partitioned {
		l.rejoin(now, func(o *entry) bool { return o == e })
	}
	l.pool.deduct(float64(c.GetUnleased()), l.contract.burst)

	e := l.entry(id)
	before := e.charged()
	l.update(e, func() { e.recordClaim(sequence, f, c) })
	e.claimedAt = now
	l.pool.put(float64(c.GetReturned()), l.poolCapacity())
	l.recordOrigin(now, f, e, before, c)
	granted := l.grant(l.limit(now, f), e)
	l.update(e, func() { e.recordGrant(granted, now, now+l.opts.ownerLeaseTime()) })
	return l.lease(now, f, e, c.GetNeed())
}

// recordOrigin determines which owner granted the holder's lease, and so whether the lease is
// charged already.
func (l *ledger) recordOrigin(now time.Duration, f *fleet, e *entry, before amount, c *quotapb.Claim) {
	by := c.GetGrantedBy()
	foreign := by != 0 && by != f.boot()
	switch {
	case f.rejoins(e.holder.host, now):
		if foreign || before == (amount{}) {
			l.rejoining.report(e.held, now+l.opts.rejoinTime())
		}
	case foreign:
		l.earlier.report(by, e.holder, c.GetOrigin(), now, now+l.opts.ownerLeaseTime())
		l.addReported(e.held.minus(before).atLeastZero())
	}
}

// entry returns the entry of a holder and creates it if necessary.
func (l *ledger) entry(id holderID) *entry {
	e := l.byHolder[id]
	if e == nil {
		e = &entry{holder: id}
		l.entries, l.byHolder[id] = append(l.entries, e), e
		l.sum.add(e)
	}
	return e
}

// update changes an entry and adjusts the totals.
func (l *ledger) update(e *entry, f func()) {
	l.sum.remove(e)
	f()
	l.sum.add(e)
}

// addReported adds an amount that an earlier owner granted.
func (l *ledger) addReported(added amount) {
	if !l.open {
		l.reported = l.reported.plus(added).min(l.contract)
	}
}

// grant computes the amount granted to a holder. The total charge never exceeds the limit
// because of a grant: a holder gets more than it holds only from what is free.
func (l *ledger) grant(limit amount, e *entry) amount {
	d := l.division(limit)
	limit.burst = min(limit.burst, d.localBurst())
	room := limit.minus(l.sum.charged).atLeastZero().plus(e.held)
	granted := d.share(e.demand, e.inUse, e.held.burst).min(room).wholeSlots()
	// A ledger that settles keeps what it is told as far as it may grant that much: the sum of the
	// demand is not known yet, and what one holder loses now is not free for another until its next
	// claim.
	keep := !l.open && l.sum.charged.rate <= limit.rate || e.delegatedElsewhere()
	if withinTolerance(granted.rate, e.held.rate) || keep && granted.rate < e.held.rate {
		granted.rate = e.held.rate
	}
	if granted.burst < minLocalBurst {
		granted.burst = 0
	}
	return granted
}

// division returns the division of the limit among the reachable holders.
func (l *ledger) division(limit amount) *division {
	return &division{available: limit.minus(l.sum.partitioned).atLeastZero(), burst: l.contract.burst, all: l.sum.aggregateDemand}
}

// lease returns the answer to a claim, with tokens from the pool for waiting calls.
func (l *ledger) lease(now time.Duration, f *fleet, e *entry, need uint32) *quotapb.Lease {
	d := l.division(l.limit(now, f))
	pooled := e.granted.burst == 0
	slotsContended := l.contract.slots > 0 && d.slotsContended()
	renew := l.opts.RenewInterval
	if pooled {
		renew = min(renew, pooledRenewal)
	}
	if pooled && e.held.burst > 0 {
		// The rate feeds the pool only from the next claim on, which delegates it.
		renew = min(renew, delegateSoon)
	}
	if slotsContended || d.contended() && !pooled {
		renew = min(renew, l.opts.contendedRenewal())
	}
	return &quotapb.Lease{
		Verdict:        quotapb.Verdict_VERDICT_GRANTED,
		Granted:        e.granted.proto(),
		LeaseMs:        uint32(l.opts.LeaseTime.Milliseconds()),
		Pooled:         pooled,
		Tokens:         l.tokens(e, need, d.contended()),
		ExpectedRate:   d.expectedRate(e.demand),
		RenewAfterMs:   uint32(renew.Milliseconds()),
		ChargedToAll:   l.sum.charged.proto(),
		SlotsContended: slotsContended,
	}
}

// tokens takes tokens from the pool for the waiting calls. It adds tokens that the pool has no
// room for any more because the holder's bucket has grown. While the contract is not contended
// and the pool stays at least half full, it also adds tokens to fill the bucket, so that the
// next calls need no claim.
func (l *ledger) tokens(e *entry, need uint32, contended bool) uint32 {
	n := l.pool.take(need)
	if overflow := l.pool.level - l.poolCapacity(); overflow > 0 && e.granted.burst > e.held.burst {
		n += l.pool.take(uint32(math.Ceil(min(overflow, e.granted.burst-e.held.burst))))
	}
	if need > 0 && !contended && l.pool.level-e.granted.burst >= l.poolCapacity()/2 {
		n += l.pool.take(uint32(e.granted.burst))
	}
	return n
}

// poolCapacity returns the number of tokens that the pool may hold. While the ledger settles, the pool
// stores little: an owner that is away for long would otherwise bring another burst back.
func (l *ledger) poolCapacity() float64 {
	capacity := l.contract.burst - l.sum.charged.burst
	if !l.open {
		capacity = min(capacity, l.settlingRate*minSettleTime.Seconds())
	}
	return max(1, capacity)
}

// limit returns the total amount that may be granted.
func (l *ledger) limit(now time.Duration, f *fleet) amount {
	full := l.contract
	if f.isolated {
		full = full.scale(f.reachableShare)
	}
	if !l.open {
		return l.reported.plus(l.settlingAllowance().scale(f.reachableShare)).min(full)
	}
	if !f.allReported() {
		full = full.minus(l.earlier.unreported(now))
	}
	return full.minus(l.rejoining.unreported(now)).atLeastZero()
}

// settlingAllowance returns the amount that may be granted beyond the reported one while the ledger
// settles.
func (l *ledger) settlingAllowance() amount {
	a := l.contract.scale(settlingShare)
	a.rate = l.settlingRate
	return a
}

// poolRate returns the rate that fills the pool: what is neither leased nor possibly in use by
// holders that have not reported, plus the rates delegated to the pool.
func (l *ledger) poolRate(now time.Duration, f *fleet) float64 {
	return max(0, l.limit(now, f).rate-l.sum.charged.rate+l.sum.feeding)
}

// advance updates the settling state and the pool. By the time the ledger opens, all holders
// have had time to report. While a region is partitioned, or this daemon has not found the fleet, its
// holders cannot report, so settling continues until they have had that time afterwards.
func (l *ledger) advance(now time.Duration, f *fleet) {
	if !l.open && (f.alone || len(f.partitionedRegions) > 0) {
		l.opensAt = max(l.opensAt, now+l.opts.settleTime())
	}
	l.open = l.open || now >= l.opensAt || l.allClaimed(now, f)
	l.pool.refill(now, l.poolRate(now, f), l.poolCapacity())
}

// allClaimed reports whether every reachable process has reported what it holds. What unreachable
// processes may hold stays charged, as it does after the whole settling time. The ledger settles until
// no process has become reachable for minSettleTime: while a daemon that has just started learns of the
// members, others may take themselves for the owner.
func (l *ledger) allClaimed(now time.Duration, f *fleet) bool {
	settledFor := min(now-(l.opensAt-l.opts.settleTime()), now-f.grownAt)
	if settledFor < minSettleTime || f.isolated || len(f.partitionedRegions) > 0 || len(l.byHolder) < len(f.reachable) {
		return false
	}
	for _, id := range f.reachable {
		if e := l.byHolder[id]; e == nil || e.claimedAt < l.settlingSince {
			return false
		}
	}
	return true
}

// sweep drops leases that have ended.
func (l *ledger) sweep(now time.Duration, f *fleet) {
	l.advance(now, f)
	if f != l.sweptFleet {
		l.sweptFleet = f
		l.applyFleet(now, f)
	}
	// A lease in a partitioned region may outlast its time, since another owner may be
	// renewing it.
	l.drop(func(e *entry) bool { return now >= e.expires && !e.partitioned })
	l.sum = totals{}
	for _, e := range l.entries {
		e.pooled = e.pooled && now < e.pooledUntil
		l.sum.add(e)
	}
}

// applyFleet updates the entries after a change of the fleet.
func (l *ledger) applyFleet(now time.Duration, f *fleet) {
	l.rejoin(now, func(e *entry) bool { return !f.partitioned(e.holder.host) })
	l.drop(func(e *entry) bool { return e.ended(f) })
	for _, e := range l.entries {
		e.partitioned = f.partitioned(e.holder.host)
	}
}

// drop removes matching entries without updating the totals.
func (l *ledger) drop(match func(*entry) bool) {
	l.entries = slices.DeleteFunc(l.entries, func(e *entry) bool {
		if !match(e) {
			return false
		}
		delete(l.byHolder, e.holder)
		return true
	})
}

// rejoin moves the leases of a formerly partitioned region to one sum, as their holders are
// reachable again and report what they have now.
func (l *ledger) rejoin(now time.Duration, reachable func(*entry) bool) {
	l.drop(func(e *entry) bool {
		if !e.partitioned || !reachable(e) {
			return false
		}
		l.sum.remove(e)
		l.rejoining.add(e.charged(), now+l.opts.rejoinTime())
		return true
	})
}

// idle reports whether the ledger holds no more information than a new one would.
func (l *ledger) idle() bool {
	return l.open && len(l.entries) == 0 && l.pool.level >= l.contract.burst
}
