package quota

import (
	"time"

	"github.com/crocuscross/crocuscross/quota/quotapb"
)

// ledger is the owner's account of one customer's contract. It is not safe for
// concurrent use.
type ledger struct {
	opts     Options
	contract amount
	entries  map[holderID]*entry
	sum      totals
	pool     pool
	earlier  earlierOwner

	// opensAt is when the ledger stops to settle, at the earliest.
	opensAt time.Duration
	open    bool
	// known is what holders hold while the ledger settles: authority that is
	// this ledger's to hand on.
	known amount
}

// earlierOwner is what is known of the leases that another owner granted.
type earlierOwner struct {
	// granted is the largest sum that a holder reported.
	granted amount
	// adopted is the part of it that has been reported lease by lease.
	adopted amount
	// until is when all of them have ended.
	until time.Duration
}

// unreported returns what may be in use without being reported.
func (o *earlierOwner) unreported(now time.Duration) amount {
	if now >= o.until {
		*o = earlierOwner{}
	}
	return o.granted.minus(o.adopted).atLeastZero()
}

// newLedger returns a ledger without entries. The pool holds what has come in
// since the ledger opened.
func newLedger(opts Options, contract amount, opensAt, now time.Duration) *ledger {
	l := &ledger{opts: opts, contract: contract, entries: map[holderID]*entry{}, opensAt: opensAt}
	l.pool.at = min(now, max(opensAt, 0))
	return l
}

// settle makes the ledger give up its authority: it goes on with what holders
// have, since another owner may have granted all the rest.
func (l *ledger) settle(opensAt, now time.Duration) {
	l.opensAt = opensAt
	l.open = false
	l.known = l.sum.charged
	l.pool = pool{at: now}
}

// claim answers one claim.
func (l *ledger) claim(now time.Duration, f *fleet, self uint64, id holderID, sequence uint64, c *quotapb.Claim) *quotapb.Lease {
	e := l.entries[id]
	if e != nil && sequence <= e.sequence {
		return &quotapb.Lease{Verdict: quotapb.Verdict_VERDICT_STALE}
	}
	if e == nil {
		e = &entry{}
		l.entries[id] = e
		l.sum.add(e)
	}
	l.refill(now, f)
	l.pool.repay(float64(c.GetUnleased()), l.contract.burst)

	l.sum.remove(e)
	before := e.charged()
	e.report(sequence, f.runs(id.host, id.boot), c)
	if by := c.GetGrantedBy(); by != 0 && by != self {
		l.adopt(now, e, before, amountFromProto(c.GetGrantedToAll()))
	}
	l.grant(now, f, e, c.GetPooled())
	l.sum.add(e)
	return l.lease(now, f, e, c.GetNeed())
}

// report takes over what the holder tells.
func (e *entry) report(sequence uint64, seen bool, c *quotapb.Claim) {
	e.sequence = sequence
	e.held = amountFromProto(c.GetHeld())
	e.granted = amount{}
	e.demand = max(0, c.GetDemand())
	e.inUse = float64(c.GetInUse())
	e.seen = e.seen || seen
	e.frozen = false
}

// adopt takes over a lease that an earlier owner granted.
func (l *ledger) adopt(now time.Duration, e *entry, before, grantedToAll amount) {
	news := e.held.minus(before).atLeastZero()
	if !l.open {
		l.known = l.known.plus(news).min(l.contract)
	}
	o := &l.earlier
	o.unreported(now)
	o.granted = o.granted.max(grantedToAll)
	o.adopted = o.adopted.plus(news)
	o.until = now + l.opts.ownerLeaseTime()
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
	available := l.limit(now, f).minus(l.sum.frozen).atLeastZero()
	burst := fairBurst(l.contract.burst, e.demand, all)
	target := fairShare(available, burst, e.demand, e.inUse, all)
	room := l.limit(now, f).minus(l.sum.charged).max(e.held)
	e.granted = target.min(room).atLeastZero().wholeSlots()
	if e.granted.burst < 1 {
		e.granted.burst = 0
	}
	e.pooled = leaves && e.granted.burst == 0
	e.expires = now + l.opts.ownerLeaseTime()
}

// lease puts the grant into words, with tokens from the pool for calls that
// wait.
func (l *ledger) lease(now time.Duration, f *fleet, e *entry, need uint32) *quotapb.Lease {
	available := l.limit(now, f).minus(l.sum.frozen).atLeastZero()
	slotsContended := l.contract.slots > 0 && wantedSlots(l.sum.inUse) > contendedShare*available.slots
	renew := l.opts.RenewInterval
	if slotsContended || wantedRate(l.sum.demand) > contendedShare*available.rate {
		renew = l.opts.contendedRenewal()
	}
	return &quotapb.Lease{
		Verdict:        quotapb.Verdict_VERDICT_GRANTED,
		Granted:        e.granted.proto(),
		LeaseMs:        uint32(l.opts.LeaseTime.Milliseconds()),
		Pooled:         e.granted.burst == 0,
		Tokens:         l.pool.take(need),
		ExpectedRate:   l.expectedRate(available.rate, e),
		RenewAfterMs:   uint32(renew.Milliseconds()),
		GrantedToAll:   l.sum.charged.proto(),
		SlotsContended: slotsContended,
	}
}

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
	if !l.open && now >= l.opensAt && len(f.lostRegions) == 0 {
		l.open = true
	}
	if l.open {
		return full.minus(l.earlier.unreported(now)).atLeastZero()
	}
	return l.known.plus(l.contract.scale(settlingShare * f.heardShare)).min(full)
}

// refill adds to the pool what is neither leased nor unreported.
func (l *ledger) refill(now time.Duration, f *fleet) {
	rate := l.limit(now, f).rate - l.sum.charged.rate + l.sum.feeding
	l.pool.refill(now, max(0, rate), max(1, l.contract.burst-l.sum.charged.burst))
}

// sweep drops the leases that have ended.
func (l *ledger) sweep(now time.Duration, f *fleet) {
	l.refill(now, f)
	l.sum = totals{}
	for id, e := range l.entries {
		if l.gone(now, f, id, e) {
			delete(l.entries, id)
			continue
		}
		l.sum.add(e)
	}
}

// gone reports whether nothing of a lease can be in use any more.
func (l *ledger) gone(now time.Duration, f *fleet, id holderID, e *entry) bool {
	if f.runs(id.host, id.boot) {
		e.seen = true
	} else if e.seen && f.moved(id.host, id.boot) {
		return true
	}
	lost := f.lost(id.host)
	if e.frozen && !lost {
		// The owner on the other side renewed it until a moment ago, and does
		// so until it has heard of this one.
		e.frozen = false
		e.expires = now + l.opts.ownerLeaseTime() + l.opts.settleTime()
	}
	if now < e.expires {
		return false
	}
	e.frozen = lost
	return !lost
}

// idle reports whether the ledger says no more than a new one would.
func (l *ledger) idle() bool {
	return l.open && len(l.entries) == 0 && l.pool.level >= l.contract.burst
}
