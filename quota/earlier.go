package quota

import (
	"slices"
	"time"

	"github.com/crocuscross/crocuscross/quota/quotapb"
)

// earlierOwners is what is known of the leases that other owners granted.
type earlierOwners []*earlierOwner

// earlierOwner is the ledger of another owner as its holders saw it last.
type earlierOwner struct {
	boot uint64
	// charged to all holders at the time of the latest grant that was reported.
	charged amount
	at      time.Duration
	// reported holders with what was charged for each, and the sum.
	reported map[holderID]amount
	sum      amount
	// until is when all leases have ended.
	until time.Duration
}

// report notes the origin of a lease.
func (o *earlierOwners) report(owner uint64, id holderID, p *quotapb.Origin, now, until time.Duration) {
	e := o.find(owner)
	at := now - time.Duration(p.GetAgeMs())*time.Millisecond
	if len(e.reported) == 0 || at > e.at {
		e.at, e.charged = at, amountFromProto(p.GetChargedToAll())
	}
	was, is := e.reported[id], amountFromProto(p.GetCharged())
	e.reported[id] = is
	e.sum = e.sum.minus(was).plus(is)
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

// silent returns what holders may use that have not reported.
func (o *earlierOwners) silent(now time.Duration) amount {
	var sum amount
	*o = slices.DeleteFunc(*o, func(e *earlierOwner) bool { return now >= e.until })
	for _, e := range *o {
		sum = sum.plus(e.charged.minus(e.sum).atLeastZero())
	}
	return sum
}
