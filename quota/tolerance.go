package quota

import (
	"time"

	"github.com/crocuscross/crocuscross/snapshot"
)

// Tolerance allows (rate x Window + burst) x (1 + Share) + Calls calls in each window. The limit is
// then a number of calls for each window, which is more than a token bucket with the contract's rate
// and burst admits: a steady customer may use the burst in every window. Its zero value selects the
// token bucket, without any excess beyond what package quota documents.
type Tolerance struct {
	Window time.Duration
	Share  float64
	Calls  float64
}

const (
	// windowShare is the share of the calls of a window that the token bucket may admit. The rest is
	// a reserve for calls without a lease and for leases under way.
	windowShare = 0.93
	// excessBurstShare is the share of the calls beyond rate x Window + burst that become burst. A
	// larger burst gives buckets to more holders, a smaller one leaves more for settling owners.
	excessBurstShare = 0.6
	// minBurstShare is the share of the contract's burst that stays burst and does not become rate,
	// even if the window has no room for rate and burst of the contract at once.
	minBurstShare = 0.5
	// settlingShareOfRest is the share of the calls of a window beyond those of the token bucket
	// that a settling owner may grant.
	settlingShareOfRest = 0.7
)

// windowCalls returns the number of calls that the contract allows in a window.
func (t Tolerance) windowCalls(c *snapshot.Contract) float64 {
	return (c.Rate*t.Window.Seconds()+c.Burst)*(1+t.Share) + t.Calls
}

// amount returns the token bucket that is divided among the holders of a contract: in each window it
// admits at most windowShare of the allowed calls. It has the contract's rate and burst as far as the
// window has room for both. With half of the burst, a customer whose demand rose above its rate for a
// second was rejected where its own bucket was still half full.
func (t Tolerance) amount(c *snapshot.Contract) amount {
	a := amount{rate: c.Rate, burst: c.Burst, slots: float64(c.MaxConcurrent)}
	if t.Window <= 0 {
		return a
	}
	window := t.Window.Seconds()
	steady := c.Rate*window + c.Burst
	allowed := t.windowCalls(c)
	room := windowShare*allowed - c.Rate*window
	a.burst = max(min(room, max(excessBurstShare*(allowed-steady), c.Burst)), minBurstShare*c.Burst)
	a.rate = min((windowShare*allowed-a.burst)/window, steady/window)
	return a
}

// settlingRate returns the rate that an owner may grant while it settles, beyond what holders
// report, in calls per second. The burst is not granted again meanwhile.
func (t Tolerance) settlingRate(c *snapshot.Contract) float64 {
	a := t.amount(c)
	if t.Window <= 0 {
		return settlingShare * a.rate
	}
	rest := t.windowCalls(c) - a.rate*t.Window.Seconds() - uncontendedBurstShare*a.burst
	return min(max(settlingShare*a.rate, settlingShareOfRest*rest/t.Window.Seconds()), a.rate)
}
