package quota

import "time"

// rejoining is what was leased in regions when they were cut off, from when
// they are heard again until it is clear who holds it now. The owner on the
// other side may have moved it from holder to holder, but has granted no more
// than that.
type rejoining struct {
	amount amount
	until  time.Duration
}

// add takes over a lease of a region that is heard again.
func (r *rejoining) add(a amount, until time.Duration) {
	r.amount = r.amount.plus(a)
	r.until = until
}

// report takes out what a holder in such a region has told to hold. The first
// may tell before the region counts as heard again.
func (r *rejoining) report(a amount, until time.Duration) {
	r.amount = r.amount.minus(a)
	r.until = max(r.until, until)
}

// rest returns what has not been reported.
func (r *rejoining) rest(now time.Duration) amount {
	if now >= r.until {
		*r = rejoining{}
	}
	return r.amount.atLeastZero()
}
