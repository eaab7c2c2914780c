package quota

import (
	"math"
	"time"
)

// pool is the token bucket of the part of a contract that is not leased.
type pool struct {
	// level is the number of tokens. It is negative after calls that were admitted without
	// a lease, until the rate has made up for them.
	level float64
	at    time.Duration
}

// refill adds the tokens that have accumulated since the last refill.
func (p *pool) refill(now time.Duration, rate, capacity float64) {
	if now > p.at {
		p.level += rate * (now - p.at).Seconds()
		p.at = now
	}
	p.level = min(p.level, capacity)
}

// take returns up to n whole tokens.
func (p *pool) take(n uint32) uint32 {
	got := min(float64(n), math.Floor(max(0, p.level)))
	p.level -= got
	return uint32(got)
}

// put adds tokens that a holder returns.
func (p *pool) put(n, capacity float64) {
	p.level = min(p.level+n, max(p.level, capacity))
}

// deduct subtracts tokens that were used in advance. The level does not fall below -bound.
func (p *pool) deduct(n, bound float64) {
	p.level = max(p.level-n, -bound)
}
