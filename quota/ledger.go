package quota

import (
	"math"
	"slices"
	"time"

	"github.com/crocuscross/crocuscross/quota/quotapb"
)

// ledger is the owner's account of one customer's contract. It is not safe for
// concurrent use.
type ledger struct {
	opts     Options
	contract amount
	entries  []*entry
	byHolder map[holderID]*entry
	sum      totals
	pool     pool
	earlier  earlierOwners
	// rejoining is what was leased in regions that are heard again.
	rejoining rejoining
	// swept is the fleet that the entries were last held against.
	swept *fleet

	// opensAt is when the ledger stops to settle, at the earliest.
	opensAt time.Duration
	open    bool
	// known is what holders hold while the ledger settles: authority that is
	// this ledger's to hand on.
	known amount
}

// newLedger returns a ledger without entries. The pool holds what has come in
// since the ledger opened.
func newLedger(opts Options, contract amount, opensAt, now time.Duration) *ledger {
	l := &ledger{opts: opts, contract: contract, byHolder: map[holderID]*entry{}, opensAt: opensAt}
	// Open before the pool is filled for the first time: the share of a ledger
	// that settles would make that a fiftieth of the burst.
	l.open = now >= opensAt
	l.pool.at = min(now, opensAt)
	return l
}

// settle makes the ledger give up its authority: it goes on with what holders
// have, since another owner may have granted all the rest.
func (l *ledger) settle(opensAt, now time.Duration) {
	l.opensAt = opensAt
	l.open = false
	for _, e := range l.entries {
		l.change(e, func() { e.pooled = false })
	}
	l.known = l.sum.charged
	l.pool = pool{at: now}
}

// claim answers one claim.
func (l *ledger) claim(now time.Duration, f *fleet, id holderID, sequence uint64, c *quotapb.Claim) *quotapb.Lease {
	if e := l.byHolder[id]; e != nil && sequence <= e.sequence {
		return &quotapb.Lease{Verdict: quotapb.Verdict_VERDICT_STALE}
	}
	l.advance(now, f)
	if e := l.byHolder[id]; e != nil && e.cutOff {
		l.rejoin(now, func(o *entry) bool { return o == e })
	}
	l.pool.repay(float64(c.GetUnleased()), l.contract.burst)

	e := l.entry(id)
	before := e.charged()
	l.change(e, func() { e.report(sequence, f, c) })
	l.pool.put(float64(c.GetReturned()), l.poolCapacity())
	l.locate(now, f, e, before, c)
	granted := l.grant(l.limit(now, f), e)
	l.change(e, func() { e.answer(granted, now, now+l.opts.ownerLeaseTime()) })
	return l.lease(now, f, e, c.GetNeed())
}

// locate finds out where a holder has its lease from, and so what is charged for
// it already.
func (l *ledger) locate(now time.Duration, f *fleet, e *entry, before amount, c *quotapb.Claim) {
	by := c.GetGrantedBy()
	foreign := by != 0 && by != f.boot()
	switch {
	case f.rejoins(e.holder.host, now):
		if foreign || before == (amount{}) {
			l.rejoining.report(e.held, now+l.opts.rejoinTime())
		}
	case foreign:
		l.earlier.report(by, e.holder, c.GetOrigin(), now, now+l.opts.ownerLeaseTime())
		l.adopt(e.held.minus(before).atLeastZero())
	}
}

// entry returns the entry of a holder and makes it if need be.
func (l *ledger) entry(id holderID) *entry {
	e := l.byHolder[id]
	if e == nil {
		e = &entry{holder: id}
		l.entries, l.byHolder[id] = append(l.entries, e), e
		l.sum.add(e)
	}
	return e
}

// change changes an entry and the sums with it.
func (l *ledger) change(e *entry, f func()) {
	l.sum.remove(e)
	f()
	l.sum.add(e)
}

// adopt takes over authority that an earlier owner granted.
func (l *ledger) adopt(news amount) {
	if !l.open {
		l.known = l.known.plus(news).min(l.contract)
	}
}

// grant decides what the holder gets. The sum of all that is charged rises
// above the limit in no case: a holder gets more than it holds only out of what
// is free.
func (l *ledger) grant(limit amount, e *entry) amount {
	d := l.division(limit)
	limit.burst = min(limit.burst, d.localBurst())
	room := limit.minus(l.sum.charged).atLeastZero().plus(e.held)
	granted := d.share(e.demand, e.inUse, e.held.burst).min(room).wholeSlots()
	if near(granted.rate, e.held.rate) || e.lentElsewhere() && granted.rate < e.held.rate {
		granted.rate = e.held.rate
	}
	if granted.burst < minLocalBurst {
		granted.burst = 0
	}
	return granted
}

// division divides the limit among the holders that can be heard.
func (l *ledger) division(limit amount) *division {
	return &division{available: limit.minus(l.sum.cutOff).atLeastZero(), burst: l.contract.burst, all: l.sum.crowd}
}

// lease puts the grant into words, with tokens from the pool for calls that
// wait.
func (l *ledger) lease(now time.Duration, f *fleet, e *entry, need uint32) *quotapb.Lease {
	d := l.division(l.limit(now, f))
	pooled := e.granted.burst == 0
	slotsContended := l.contract.slots > 0 && d.slotsContended()
	renew := l.opts.RenewInterval
	if pooled {
		renew = min(renew, pooledRenewal)
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

// tokens takes from the pool what calls wait for; what belongs into the bucket
// that the holder has been given; and, while there is plenty, what fills the
// bucket, so that the next calls need not ask.
func (l *ledger) tokens(e *entry, need uint32, contended bool) uint32 {
	n := l.pool.take(need)
	if over := l.pool.level - l.poolCapacity(); over > 0 && e.granted.burst > e.held.burst {
		n += l.pool.take(uint32(math.Ceil(min(over, e.granted.burst-e.held.burst))))
	}
	if need > 0 && !contended && l.pool.level-e.granted.burst >= l.poolCapacity()/2 {
		n += l.pool.take(uint32(e.granted.burst))
	}
	return n
}

// poolCapacity returns how much the pool may store.
func (l *ledger) poolCapacity() float64 { return max(1, l.contract.burst-l.sum.charged.burst) }

// limit returns how much may be granted in sum.
func (l *ledger) limit(now time.Duration, f *fleet) amount {
	full := l.contract
	if f.isolated {
		full = full.scale(f.heardShare)
	}
	if !l.open {
		return l.known.plus(l.contract.scale(settlingShare * f.heardShare)).min(full)
	}
	return full.minus(l.earlier.silent(now)).minus(l.rejoining.rest(now)).atLeastZero()
}

// poolRate returns what fills the pool: what is neither leased nor held in
// silence.
func (l *ledger) poolRate(now time.Duration, f *fleet) float64 {
	return max(0, l.limit(now, f).rate-l.sum.charged.rate+l.sum.feeding)
}

// advance brings settling and pool up to now. Holders have had the time to
// report when the ledger opens; while a region is cut off they have not, and
// they are given the time once it is heard again.
func (l *ledger) advance(now time.Duration, f *fleet) {
	if !l.open && len(f.lostRegions) > 0 {
		l.opensAt = max(l.opensAt, now+l.opts.settleTime())
	}
	l.open = l.open || now >= l.opensAt
	l.pool.refill(now, l.poolRate(now, f), l.poolCapacity())
}

// sweep drops the leases that have ended.
func (l *ledger) sweep(now time.Duration, f *fleet) {
	l.advance(now, f)
	if f != l.swept {
		l.swept = f
		l.compare(now, f)
	}
	// A lease in a region that is cut off has not ended when its time is up, as
	// there may be another owner who renews it.
	l.drop(func(e *entry) bool { return now >= e.expires && !e.cutOff })
	l.sum = totals{}
	for _, e := range l.entries {
		e.pooled = e.pooled && now < e.lentUntil
		l.sum.add(e)
	}
}

// compare holds the entries against a changed fleet.
func (l *ledger) compare(now time.Duration, f *fleet) {
	l.rejoin(now, func(e *entry) bool { return !f.lost(e.holder.host) })
	l.drop(func(e *entry) bool { return e.gone(f) })
	for _, e := range l.entries {
		e.cutOff = f.lost(e.holder.host)
	}
}

// drop removes entries without care for the sums.
func (l *ledger) drop(match func(*entry) bool) {
	l.entries = slices.DeleteFunc(l.entries, func(e *entry) bool {
		if !match(e) {
			return false
		}
		delete(l.byHolder, e.holder)
		return true
	})
}

// rejoin takes the leases of a region that was cut off into one sum, as their
// holders are heard again and tell what they have now.
func (l *ledger) rejoin(now time.Duration, heard func(*entry) bool) {
	l.drop(func(e *entry) bool {
		if !e.cutOff || !heard(e) {
			return false
		}
		l.sum.remove(e)
		l.rejoining.add(e.charged(), now+l.opts.rejoinTime())
		return true
	})
}

// idle reports whether the ledger says no more than a new one would.
func (l *ledger) idle() bool {
	return l.open && len(l.entries) == 0 && l.pool.level >= l.contract.burst
}
