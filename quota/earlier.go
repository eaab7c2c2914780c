package quota

import (
	"slices"
	"time"

	"github.com/crocuscross/crocuscross/quota/quotapb"
)

// earlierOwners records what is known of the leases that earlier owners granted.
type earlierOwners []*earlierOwner

// earlierOwner describes the ledger of an earlier owner, as its holders last reported it.
type earlierOwner struct {
	boot uint64
	// charged is the sum charged to all holders at the time of the latest reported grant.
	charged amount
	at      time.Duration
	// reported maps each holder that has reported to the amount charged for it; sum is the
	// total.
	reported map[holderID]amount
	sum      amount
	// until is the time at which all leases of this owner have ended.
	until time.Duration
}

// report records the origin of a lease that a holder reports.
func (o *earlierOwners) report(owner uint64, id holderID, p *quotapb.Origin, now, until time.Duration) {
	e := o.find(owner)
	at := now - time.Duration(p.GetAgeMs())*time.Millisecond
	if len(e.reported) == 0 || at > e.at {
		e.at, e.charged = at, amountFromProto(p.GetChargedToAll())
	}
	previous, latest := e.reported[id], amountFromProto(p.GetCharged())
	e.reported[id] = latest
	e.sum = e.sum.minus(previous).plus(latest)
	e.until = until
}

func (o *earlierOwners) find(boot uint64) *earlierOwner {
	for _, e := range *o {
		if e.boot == boot {
			return e
		}
	}
	e := &earlierOwner{boot: boot, reported: map[holderID]amount{}}
	*o = append(*o, e)
	return e
}

// unreported returns the sum of what holders that have not reported may use.
func (o *earlierOwners) unreported(now time.Duration) amount {
	var sum amount
	*o = slices.DeleteFunc(*o, func(e *earlierOwner) bool { return now >= e.until })
	for _, e := range *o {
		sum = sum.plus(e.charged.minus(e.sum).atLeastZero())
	}
	return sum
}
