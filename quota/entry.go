package quota

import (
	"time"

	"github.com/crocuscross/crocuscross/quota/quotapb"
)

// maxUnconfirmed is the number of consecutive answers to a holder that may be lost before the
// holder is granted nothing, since it could not use a grant: requests may still arrive while
// answers do not. The empty lease that it is then granted shows when answers arrive again.
const maxUnconfirmed = 2

// holderID identifies one process.
type holderID struct {
	host string
	boot uint64
}

// entry is the ledger's state for one holder.
type entry struct {
	holder   holderID
	sequence uint64
	// held is what the holder reported as in use, and granted is what it was answered. The
	// answer may be lost or under way, so both count.
	held, granted amount
	// delegates is set if the holder delegates its rate to the pool. pooled is set if the
	// rate does feed the pool, because the answer to the holder said so.
	delegates, pooled bool
	// pooledUntil is when pooled ends unless the holder claims again.
	pooledUntil time.Duration
	expires     time.Duration
	demand      float64
	inUse       float64
	// unconfirmed counts consecutive claims that show that no answer has arrived.
	unconfirmed int
	// claimedAt is the time of the latest claim.
	claimedAt time.Duration
	// seen is set once membership has shown this process on its host. If membership shows a
	// different process later, this one has ended.
	seen bool
	// partitioned is set if the holder is in a region that is treated as partitioned.
	partitioned bool
}

// delegatedElsewhere reports whether the rate may still feed the pool of an earlier owner, so
// that none of it is free yet.
func (e *entry) delegatedElsewhere() bool { return e.held.burst == 0 && !e.delegates }

// charged returns the most that the holder may be using.
func (e *entry) charged() amount { return e.held.max(e.granted) }

// ended reports whether the process has ended: its host runs another process, or the process
// has left.
func (e *entry) ended(f *fleet) bool {
	if f.runs(e.holder) {
		e.seen = true
		return false
	}
	return e.seen && f.replaced(e.holder)
}

// recordClaim stores what the holder reports.
func (e *entry) recordClaim(sequence uint64, f *fleet, c *quotapb.Claim) {
	if c.GetGrantedBy() == f.boot() {
		e.unconfirmed = 0
	} else if e.sequence > 0 {
		e.unconfirmed++
	}
	e.sequence = sequence
	e.held, e.granted = amountFromProto(c.GetHeld()), amount{}
	e.delegates = c.GetPooled() || e.held.rate == 0
	e.pooled = false
	e.demand, e.inUse = validOrZero(c.GetDemand()), float64(c.GetInUse())
	if e.unconfirmed >= maxUnconfirmed {
		e.demand, e.inUse = 0, 0
	}
	e.seen = e.seen || f.runs(e.holder)
}

// recordGrant stores what the holder is answered.
func (e *entry) recordGrant(granted amount, now, expires time.Duration) {
	e.granted = granted
	e.pooled = e.delegates && granted.burst == 0
	e.pooledUntil = now + delegationTime
	e.expires = expires
}

// totals is the sum over entries.
type totals struct {
	charged amount
	// feeding is the part of the charged rate that feeds the pool.
	feeding float64
	// partitioned is the part charged to regions that are treated as partitioned.
	partitioned amount
	aggregateDemand
}

func (t *totals) add(e *entry) {
	c := e.charged()
	t.charged = t.charged.plus(c)
	if e.pooled {
		t.feeding += c.rate
	}
	if e.partitioned {
		t.partitioned = t.partitioned.plus(c)
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
	if e.partitioned {
		t.partitioned = t.partitioned.minus(c)
		return
	}
	t.demand -= e.demand
	t.inUse -= e.inUse
	if e.demand > 0 {
		t.holders--
	}
}
