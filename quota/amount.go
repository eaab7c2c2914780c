package quota

import (
	"math"

	"github.com/crocuscross/crocuscross/quota/quotapb"
	"github.com/crocuscross/crocuscross/snapshot"
)

// amount is a part of a contract.
type amount struct {
	// rate in calls per second.
	rate float64
	// burst in calls that may be stored.
	burst float64
	// slots in calls in flight. It stays 0 where the contract has no limit.
	slots float64
}

func contractAmount(c *snapshot.Contract) amount {
	return amount{rate: c.Rate, burst: c.Burst, slots: float64(c.MaxConcurrent)}
}

func amountFromProto(p *quotapb.Amount) amount {
	return amount{rate: sane(p.GetRate()), burst: sane(p.GetBurst()), slots: float64(p.GetSlots())}
}

// maxAmount is above any rate or burst that a contract may have.
const maxAmount = 1e10

// sane returns a number that a peer sent if it can be one, and 0 if not: a NaN
// would poison every later sum.
func sane(x float64) float64 {
	if x >= 0 && x <= maxAmount {
		return x
	}
	return 0
}

func (a amount) proto() *quotapb.Amount {
	if a == (amount{}) {
		return nil
	}
	return &quotapb.Amount{Rate: a.rate, Burst: a.burst, Slots: uint32(a.slots)}
}

func (a amount) plus(b amount) amount {
	return amount{a.rate + b.rate, a.burst + b.burst, a.slots + b.slots}
}

func (a amount) minus(b amount) amount {
	return amount{a.rate - b.rate, a.burst - b.burst, a.slots - b.slots}
}

func (a amount) scale(f float64) amount {
	return amount{a.rate * f, a.burst * f, a.slots * f}
}

func (a amount) min(b amount) amount {
	return amount{min(a.rate, b.rate), min(a.burst, b.burst), min(a.slots, b.slots)}
}

func (a amount) max(b amount) amount {
	return amount{max(a.rate, b.rate), max(a.burst, b.burst), max(a.slots, b.slots)}
}

// atLeastZero replaces negative parts by 0.
func (a amount) atLeastZero() amount { return a.max(amount{}) }

// wholeSlots rounds the slots down: half a call cannot be in flight.
func (a amount) wholeSlots() amount {
	a.slots = math.Floor(a.slots)
	return a
}
