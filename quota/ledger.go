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
	thaws    thaws

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
		l.sum.remove(e)
		e.pooled = false
		l.sum.add(e)
	}
	l.known = l.sum.charged
	l.pool = pool{at: now}
}

// claim answers one claim.
func (l *ledger) claim(now time.Duration, f *fleet, self uint64, id holderID, sequence uint64, c *quotapb.Claim) *quotapb.Lease {
	e := l.byHolder[id]
	if e != nil && sequence <= e.sequence {
		return &quotapb.Lease{Verdict: quotapb.Verdict_VERDICT_STALE}
	}
	if e == nil {
		e = &entry{holder: id}
		l.entries, l.byHolder[id] = append(l.entries, e), e
		l.sum.add(e)
	}
	l.advance(now, f)
	l.pool.repay(float64(c.GetUnleased()), l.contract.burst)

	l.sum.remove(e)
	before := e.charged()
	e.report(sequence, f.runs(id.host, id.boot), c)
	if by := c.GetGrantedBy(); by != 0 && by != self {
		if !l.thaws.report(f.region(id.host), e.held, now) {
			l.earlier.report(by, id, c.GetOrigin(), now, now+l.opts.ownerLeaseTime())
		}
		l.adopt(e.held.minus(before).atLeastZero())
	}
	l.grant(now, f, e, c.GetPooled() || e.held.rate == 0)
	l.sum.add(e)
	return l.lease(now, f, e, c.GetNeed())
}

// report takes over what the holder tells.
func (e *entry) report(sequence uint64, seen bool, c *quotapb.Claim) {
	e.sequence = sequence
	e.held = amountFromProto(c.GetHeld())
	e.granted = amount{}
	e.demand = sane(c.GetDemand())
	e.inUse = float64(c.GetInUse())
	e.seen = e.seen || seen
	e.frozen = false
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
func (l *ledger) grant(now time.Duration, f *fleet, e *entry, leaves bool) {
	all := l.sum.crowd
	all.demand += e.demand
	all.inUse += e.inUse
	if e.demand > 0 {
		all.holders++
	}
	burst := fairBurst(l.contract.burst, e.held.burst, e.demand, all)
	target := fairShare(l.available(now, f), burst, e.demand, e.inUse, all)
	limit := l.limit(now, f)
	limit.burst = min(limit.burst, localBurst(l.contract.burst))
	room := limit.minus(l.sum.charged).max(e.held)
	e.granted = target.min(room).atLeastZero().wholeSlots()
	if near(e.granted.rate, e.held.rate) {
		e.granted.rate = min(e.held.rate, max(0, room.rate))
	}
	if e.granted.burst < minLocalBurst {
		e.granted.burst = 0
	}
	e.pooled = leaves && e.granted.burst == 0
	e.lentUntil = now + lendTime
	e.expires = now + l.opts.ownerLeaseTime()
}

// lease puts the grant into words, with tokens from the pool for calls that
// wait.
func (l *ledger) lease(now time.Duration, f *fleet, e *entry, need uint32) *quotapb.Lease {
	available := l.available(now, f)
	contended := wantedRate(l.sum.demand) > contendedShare*available.rate
	slotsContended := l.contract.slots > 0 && wantedSlots(l.sum.inUse) > contendedShare*available.slots
	pooled := e.granted.burst == 0
	renew := l.opts.RenewInterval
	if pooled {
		renew = min(renew, pooledRenewal)
	}
	if slotsContended || contended && !pooled {
		renew = min(renew, l.opts.contendedRenewal())
	}
	return &quotapb.Lease{
		Verdict:        quotapb.Verdict_VERDICT_GRANTED,
		Granted:        e.granted.proto(),
		LeaseMs:        uint32(l.opts.LeaseTime.Milliseconds()),
		Pooled:         pooled,
		Tokens:         l.tokens(e, need, contended),
		ExpectedRate:   l.expectedRate(available.rate, e),
		RenewAfterMs:   uint32(renew.Milliseconds()),
		ChargedToAll:   l.sum.charged.proto(),
		SlotsContended: slotsContended,
	}
}

// available returns what is there for the holders that can be heard.
func (l *ledger) available(now time.Duration, f *fleet) amount {
	return l.limit(now, f).minus(l.sum.frozen).atLeastZero()
}

// tokens takes from the pool what calls wait for and, while there is plenty,
// what fills the holder's bucket, so that the next calls need not ask.
func (l *ledger) tokens(e *entry, need uint32, contended bool) uint32 {
	n := l.pool.take(need)
	if fill := math.Floor(e.granted.burst); need > 0 && !contended && l.pool.level-fill >= l.poolCapacity()/2 {
		n += l.pool.take(uint32(fill))
	}
	return n
}

// poolCapacity returns how much the pool may store.
func (l *ledger) poolCapacity() float64 { return max(1, l.contract.burst-l.sum.charged.burst) }

func (l *ledger) expectedRate(available float64, e *entry) float64 {
	if e.demand == 0 {
		return 0
	}
	return available * e.demand / l.sum.demand
}

// limit returns how much may be granted in sum.
func (l *ledger) limit(now time.Duration, f *fleet) amount {
	full := l.contract
	if f.isolated {
		full = full.scale(f.heardShare)
	}
	if !l.open {
		return l.known.plus(l.contract.scale(settlingShare * f.heardShare)).min(full)
	}
	return full.minus(l.earlier.silent(now)).minus(l.thaws.rest(now)).atLeastZero()
}

// poolRate returns what fills the pool: what is neither leased nor held in
// silence.
func (l *ledger) poolRate(now time.Duration, f *fleet) float64 {
	return max(0, l.limit(now, f).rate-l.sum.charged.rate+l.sum.feeding)
}

// advance brings pool and settling up to now. Holders have had the time to
// report when the ledger opens; while a region is lost they have not, and they
// are given the time once it is heard again.
func (l *ledger) advance(now time.Duration, f *fleet) {
	l.pool.refill(now, l.poolRate(now, f), l.poolCapacity())
	if !l.open && len(f.lostRegions) > 0 {
		l.opensAt = max(l.opensAt, now+l.opts.settleTime())
	}
	l.open = l.open || now >= l.opensAt
}

// sweep drops the leases that have ended.
func (l *ledger) sweep(now time.Duration, f *fleet) {
	l.advance(now, f)
	l.sum = totals{}
	l.entries = slices.DeleteFunc(l.entries, func(e *entry) bool {
		if l.gone(now, f, e) {
			delete(l.byHolder, e.holder)
			return true
		}
		e.pooled = e.pooled && now < e.lentUntil
		l.sum.add(e)
		return false
	})
}

// gone reports whether nothing of a lease can be in use any more.
func (l *ledger) gone(now time.Duration, f *fleet, e *entry) bool {
	id := e.holder
	if f.runs(id.host, id.boot) {
		e.seen = true
	} else if e.seen && f.moved(id.host, id.boot) {
		return true
	}
	lost := f.lost(id.host)
	if e.frozen && !lost {
		// The owner on the other side renews until it has heard of this one.
		l.thaws.add(f.region(id.host), e.charged(), now+l.opts.settleTime()+l.opts.ownerLeaseTime())
		return true
	}
	e.frozen = lost && now >= e.expires
	return !lost && now >= e.expires
}

// idle reports whether the ledger says no more than a new one would.
func (l *ledger) idle() bool {
	return l.open && len(l.entries) == 0 && l.pool.level >= l.contract.burst
}
