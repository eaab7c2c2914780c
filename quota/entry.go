package quota

import (
	"time"

	"github.com/crocuscross/crocuscross/quota/quotapb"
)

// maxUnheard is how many answers to a holder may be lost in a row before it is
// granted nothing, as it could not use it: requests may still arrive where
// answers do not. The empty lease that it then gets shows whether they do again.
const maxUnheard = 2

// holderID is one process.
type holderID struct {
	host string
	boot uint64
}

// entry is what a ledger knows of one holder.
type entry struct {
	holder   holderID
	sequence uint64
	// held is what the holder told to use, granted what it was answered. The
	// answer may be lost or be on its way, so both count.
	held, granted amount
	// leaves is whether the holder leaves its rate to the pool, and pooled
	// whether the rate feeds the pool: the holder was answered that it shall.
	leaves, pooled bool
	// lentUntil is when that ends, unless the holder claims again.
	lentUntil time.Duration
	expires   time.Duration
	demand    float64
	inUse     float64
	// unheard counts claims in a row that show no answer to have arrived.
	unheard int
	// seen is whether membership has shown this process on its host. If it
	// then shows another, this one is gone.
	seen bool
	// cutOff entries are those of a region that is taken to be cut off.
	cutOff bool
}

// lentElsewhere reports whether the rate may still feed the pool of an earlier
// owner, so that none of it is free yet.
func (e *entry) lentElsewhere() bool { return e.held.burst == 0 && !e.leaves }

// charged returns what the holder may be using.
func (e *entry) charged() amount { return e.held.max(e.granted) }

// gone reports whether the process has ended: its host runs another one by now,
// or it has said goodbye.
func (e *entry) gone(f *fleet) bool {
	if f.runs(e.holder) {
		e.seen = true
		return false
	}
	return e.seen && f.moved(e.holder)
}

// report takes over what the holder tells.
func (e *entry) report(sequence uint64, f *fleet, c *quotapb.Claim) {
	if c.GetGrantedBy() == f.boot() {
		e.unheard = 0
	} else if e.sequence > 0 {
		e.unheard++
	}
	e.sequence = sequence
	e.held, e.granted = amountFromProto(c.GetHeld()), amount{}
	e.leaves = c.GetPooled() || e.held.rate == 0
	e.pooled = false
	e.demand, e.inUse = sane(c.GetDemand()), float64(c.GetInUse())
	if e.unheard >= maxUnheard {
		e.demand, e.inUse = 0, 0
	}
	e.seen = e.seen || f.runs(e.holder)
}

// answer notes what the holder is told.
func (e *entry) answer(granted amount, now, expires time.Duration) {
	e.granted = granted
	e.pooled = e.leaves && granted.burst == 0
	e.lentUntil = now + lendTime
	e.expires = expires
}

// totals sums up entries.
type totals struct {
	charged amount
	// feeding is the part of the charged rate that feeds the pool.
	feeding float64
	// cutOff is the part that belongs to regions taken to be cut off.
	cutOff amount
	crowd
}

func (t *totals) add(e *entry) {
	c := e.charged()
	t.charged = t.charged.plus(c)
	if e.pooled {
		t.feeding += c.rate
	}
	if e.cutOff {
		t.cutOff = t.cutOff.plus(c)
		return
	}
	t.demand += e.demand
	t.inUse += e.inUse
	if e.demand > 0 {
		t.holders++
	}
}

func (t *totals) remove(e *entry) {
	c := e.charged()
	t.charged = t.charged.minus(c)
	if e.pooled {
		t.feeding -= c.rate
	}
	if e.cutOff {
		t.cutOff = t.cutOff.minus(c)
		return
	}
	t.demand -= e.demand
	t.inUse -= e.inUse
	if e.demand > 0 {
		t.holders--
	}
}
