package quota

import (
	"math"

	"github.com/crocuscross/crocuscross/quota/quotapb"
)

// amount is a part of a contract.
type amount struct {
	// rate is in calls per second.
	rate float64
	// burst is the number of calls that may accumulate.
	burst float64
	// slots is the number of calls in flight. It is 0 if the contract does not limit them.
	slots float64
}

func amountFromProto(p *quotapb.Amount) amount {
	return amount{rate: validOrZero(p.GetRate()), burst: validOrZero(p.GetBurst()), slots: float64(p.GetSlots())}
}

// maxAmount exceeds any rate or burst that a contract may have.
const maxAmount = 1e10

// validOrZero returns x, a number from a peer, if it is in the valid range, and 0 otherwise. A
// NaN would corrupt every later sum.
func validOrZero(x float64) float64 {
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

// atLeastZero replaces negative fields by 0.
func (a amount) atLeastZero() amount { return a.max(amount{}) }

// wholeSlots rounds slots down, since a fraction of a call cannot be in flight.
func (a amount) wholeSlots() amount {
	a.slots = math.Floor(a.slots)
	return a
}
