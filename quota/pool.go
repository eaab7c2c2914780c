package quota

import (
	"math"
	"time"
)

// pool is the token bucket of what a ledger has not leased.
type pool struct {
	// level in tokens. It is negative after calls that were admitted without a
	// lease, until they are made up for.
	level float64
	at    time.Duration
}

// refill adds what has come in since the last time.
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

// repay takes tokens that were used in advance, down to a bound.
func (p *pool) repay(n, bound float64) {
	p.level = max(p.level-n, -bound)
}
