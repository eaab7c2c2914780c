package backendserver

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Distribution of the service time.
type Distribution string

// The distributions.
const (
	Fixed       Distribution = "fixed"
	Exponential Distribution = "exponential"
)

// Claim is what the health endpoint says.
type Claim string

// The claims.
const (
	ClaimTruth   Claim = "truth"
	ClaimOK      Claim = "ok"
	ClaimFailing Claim = "failing"
)

// maxOverMean cuts off the exponential distribution, so that no call of a long
// test outlasts every deadline.
const maxOverMean = 10

// ServiceTime is how long an execution takes.
type ServiceTime struct {
	Mean         time.Duration
	Distribution Distribution
}

// Cold is a start during which executions take longer.
type Cold struct {
	For time.Duration
	// Factor multiplies the service time.
	Factor float64
}

// behavior is how the server acts at present.
type behavior struct {
	mu        sync.Mutex
	rng       *rand.Rand
	service   ServiceTime
	cold      Cold
	coldUntil time.Time
	shedShare float64
	health    Claim
	// load is the claimed number of slots in use; below 0 is the truth.
	load int
	// stall is closed when the server goes on; nil while it is not stalled.
	stall chan struct{}
}

func newBehavior(st ServiceTime, cold Cold, seed uint64) *behavior {
	b := &behavior{rng: rand.New(rand.NewPCG(seed, seed)), service: st, health: ClaimTruth, load: -1}
	b.setCold(cold)
	return b
}

func (b *behavior) setCold(c Cold) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cold = c
	b.coldUntil = time.Now().Add(c.For)
}

func (b *behavior) setService(st ServiceTime) error {
	if st.Distribution != Fixed && st.Distribution != Exponential {
		return errors.Newf("distribution must be %s or %s, not %q", Fixed, Exponential, st.Distribution)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service = st
	return nil
}

func (b *behavior) setShed(share float64) error {
	if !(share >= 0 && share <= 1) {
		return errors.Newf("share must be 0 to 1, not %g", share)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shedShare = share
	return nil
}

func (b *behavior) setHealth(c Claim) error {
	if c != ClaimTruth && c != ClaimOK && c != ClaimFailing {
		return errors.Newf("health must be %s, %s or %s, not %q", ClaimTruth, ClaimOK, ClaimFailing, c)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.health = c
	return nil
}

func (b *behavior) setLoad(inUse int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load = inUse
}

func (b *behavior) setStalled(stalled bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case stalled && b.stall == nil:
		b.stall = make(chan struct{})
	case !stalled && b.stall != nil:
		close(b.stall)
		b.stall = nil
	}
}

func (b *behavior) sheds() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shedShare > 0 && b.rng.Float64() < b.shedShare
}

// healthy is what the health endpoint says.
func (b *behavior) healthy() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.health == ClaimTruth {
		return b.stall == nil
	}
	return b.health == ClaimOK
}

// claimedLoad is what the load endpoint says.
func (b *behavior) claimedLoad(inUse int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.load < 0 {
		return inUse
	}
	return b.load
}

// duration draws the time of one execution.
func (b *behavior) duration() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := float64(b.service.Mean)
	if b.service.Distribution == Exponential {
		d *= min(b.rng.ExpFloat64(), maxOverMean)
	}
	if time.Now().Before(b.coldUntil) {
		d *= b.cold.Factor
	}
	return time.Duration(d)
}

// work takes d, and longer while the server is stalled.
func (b *behavior) work(ctx context.Context, d time.Duration) error {
	if err := sleep(ctx, d); err != nil {
		return err
	}
	b.mu.Lock()
	stall := b.stall
	b.mu.Unlock()
	if stall == nil {
		return nil
	}
	select {
	case <-stall:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
