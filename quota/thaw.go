package quota

import (
	"slices"
	"time"
)

// thaws is what was leased in regions when they were lost, from when they are
// heard again until it is clear who holds it now. The owner on the other side
// may have moved it from holder to holder, but has granted no more than that.
type thaws []*thaw

type thaw struct {
	region string
	amount amount
	until  time.Duration
}

// add takes over a lease of a region that is heard again.
func (t *thaws) add(region string, a amount, until time.Duration) {
	r := t.find(region)
	if r == nil {
		r = &thaw{region: region}
		*t = append(*t, r)
	}
	r.amount = r.amount.plus(a)
	r.until = until
}

func (t *thaws) find(region string) *thaw {
	for _, r := range *t {
		if r.region == region {
			return r
		}
	}
	return nil
}

// report takes out what a holder in the region has told to hold. It returns
// false where the region does not thaw.
func (t *thaws) report(region string, a amount, now time.Duration) bool {
	r := t.find(region)
	if r == nil || now >= r.until {
		return false
	}
	r.amount = r.amount.minus(a).atLeastZero()
	return true
}

// rest returns what has not been reported.
func (t *thaws) rest(now time.Duration) amount {
	var sum amount
	*t = slices.DeleteFunc(*t, func(r *thaw) bool { return now >= r.until })
	for _, r := range *t {
		sum = sum.plus(r.amount)
	}
	return sum
}
