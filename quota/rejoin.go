package quota

import "time"

// rejoining is the amount that was leased in regions when they became partitioned. It is kept
// from when the regions are reachable again until their holders have reported. The owner on the
// other side may have moved the amount from holder to holder, but has granted no more than
// that.
type rejoining struct {
	amount amount
	until  time.Duration
}

// add adds a lease of a region that is reachable again.
func (r *rejoining) add(a amount, until time.Duration) {
	r.amount = r.amount.plus(a)
	r.until = until
}

// report subtracts the amount that a holder in such a region reports. The first holders may
// report before the region counts as reachable again, so the amount may become negative.
func (r *rejoining) report(a amount, until time.Duration) {
	r.amount = r.amount.minus(a)
	r.until = max(r.until, until)
}

// unreported returns the amount that has not been reported.
func (r *rejoining) unreported(now time.Duration) amount {
	if now >= r.until {
		*r = rejoining{}
	}
	return r.amount.atLeastZero()
}
