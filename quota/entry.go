package quota

import "time"

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
	// pooled is whether the rate feeds the pool: the holder said that it
	// leaves it there, and was answered that it shall.
	pooled bool
	// lentUntil is when that ends, unless the holder claims again.
	lentUntil time.Duration
	expires   time.Duration
	demand    float64
	inUse     float64
	// seen is whether membership has shown this process on its host. If it
	// then shows another, this one is gone.
	seen bool
	// frozen entries are those of a lost region.
	frozen bool
}

// charged returns what the holder may be using.
func (e *entry) charged() amount { return e.held.max(e.granted) }

// totals sums up entries.
type totals struct {
	charged amount
	// feeding is the part of the charged rate that feeds the pool.
	feeding float64
	// frozen is the part that belongs to lost regions.
	frozen amount
	crowd
}

func (t *totals) add(e *entry) {
	c := e.charged()
	t.charged = t.charged.plus(c)
	if e.pooled {
		t.feeding += c.rate
	}
	if e.frozen {
		t.frozen = t.frozen.plus(c)
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
	if e.frozen {
		t.frozen = t.frozen.minus(c)
		return
	}
	t.demand -= e.demand
	t.inUse -= e.inUse
	if e.demand > 0 {
		t.holders--
	}
}
