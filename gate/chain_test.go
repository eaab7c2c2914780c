package gate_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
)

// The model has two services with one server of 6 slots each. A lookup runs 120 ms at the
// catalogue and makes two concurrent calls of 30 ms to the desk; a booking runs 160 ms at the
// desk. Together they demand 0.6 of the catalogue's slot time, about 0.85 with the wait for the
// calls, and 1.5 of the desk's.
const (
	lookupRate, bookingRate = 30.0, 44.0 // requests per second
	lookupWork, bookingWork = 120 * ms, 160 * ms
	checkWork               = 30 * ms
	lookupObjective         = 400 * ms
	bookingObjective        = 500 * ms
	checkObjective          = 120 * ms
	chainTime               = 30 * time.Second
	// maxWaitShare is the fraction of its objective that a call accepts as its wait.
	maxWaitShare = 0.6
)

// chain holds the two services with or without the rule for nested calls.
type chain struct {
	catalogue, desk *gate.Gate
	// nested marks the calls between the services as nested.
	nested bool

	mu  sync.Mutex
	rnd *rand.Rand
	// runs is the number of lookups that ran at the catalogue, failed the number of those that
	// failed because one of their calls did.
	runs, failed atomic.Int64
	lookups      chainTally
	bookings     chainTally
}

// chainTally counts requests by the result that their callers got.
type chainTally struct{ offered, inTime, late, refused atomic.Int64 }

func (t *chainTally) share(n *atomic.Int64) float64 {
	return float64(n.Load()) / float64(max(t.offered.Load(), 1))
}

// spread returns a work time between 0.5 and 1.5 times the mean.
func (c *chain) spread(mean time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return mean/2 + time.Duration(c.rnd.Int64N(int64(mean)))
}

// run acquires a slot and holds it during work.
func run(g *gate.Gate, call gate.Call, work func() error) error {
	ticket, err := g.Admit(context.Background(), call)
	if err != nil {
		return err
	}
	err = work()
	ticket.Done(gate.Answered)
	return err
}

// request returns a caller's call, or a call between the services that is not marked as nested.
func request(route string, priority int, objective, left time.Duration) gate.Call {
	return gate.Call{
		Route: route, Priority: priority, Remaining: left,
		MaxWait: time.Duration(maxWaitShare * float64(objective)), ObjectiveLeft: objective,
	}
}

// check makes one of a lookup's calls to the desk.
func (c *chain) check(left time.Duration) error {
	call := request("check", 1, checkObjective, left)
	if c.nested {
		call = gate.Call{Route: "check", Nested: true, Remaining: left}
	}
	return run(c.desk, call, func() error {
		time.Sleep(c.spread(checkWork))
		return nil
	})
}

// work is the run of a lookup at the catalogue. It fails if either of its calls fails.
func (c *chain) work(deadline time.Time) error {
	c.runs.Add(1)
	time.Sleep(c.spread(lookupWork))
	results := make(chan error, 2)
	for range 2 {
		go func() { results <- c.check(time.Until(deadline)) }()
	}
	first, second := <-results, <-results
	if first == nil && second == nil {
		return nil
	}
	c.failed.Add(1)
	return errkind.New(errkind.BackendFailed, "a call failed")
}

// lookup sends a caller's lookup, and retries it once if its run failed.
func (c *chain) lookup() {
	deadline := time.Now().Add(time.Second)
	c.count(&c.lookups, lookupObjective, func() error {
		attempt := func() error {
			call := request("lookup", 2, lookupObjective, time.Until(deadline))
			return run(c.catalogue, call, func() error { return c.work(deadline) })
		}
		err := attempt()
		if errkind.Of(err) == errkind.BackendFailed {
			err = attempt()
		}
		return err
	})
}

func (c *chain) booking() {
	c.count(&c.bookings, bookingObjective, func() error {
		return run(c.desk, request("booking", 1, bookingObjective, 1200*ms), func() error {
			time.Sleep(c.spread(bookingWork))
			return nil
		})
	})
}

// count serves a request and counts the result that its caller gets.
func (c *chain) count(t *chainTally, objective time.Duration, serve func() error) {
	start := time.Now()
	t.offered.Add(1)
	switch err := serve(); {
	case err != nil:
		t.refused.Add(1)
	case time.Since(start) <= objective:
		t.inTime.Add(1)
	default:
		t.late.Add(1)
	}
}

// offer sends requests at random intervals until chainTime has passed.
func (c *chain) offer(rate float64, send func()) {
	for end := time.Now().Add(chainTime); time.Now().Before(end); {
		c.mu.Lock()
		pause := time.Duration(c.rnd.ExpFloat64() / rate * float64(time.Second))
		c.mu.Unlock()
		time.Sleep(pause)
		go send()
	}
}

// runChain runs the load and returns the chain with its counts.
func runChain(t *testing.T, nested bool, seed uint64) *chain {
	t.Helper()
	c := &chain{catalogue: newGate(6, 100), desk: newGate(6, 100), nested: nested, rnd: rand.New(rand.NewPCG(seed, 1))}
	synctest.Test(t, func(t *testing.T) {
		go c.offer(lookupRate, c.lookup)
		c.offer(bookingRate, c.booking)
		time.Sleep(5 * time.Second)
	})
	return c
}

// Guards against congestion collapse when the deeper service, the desk, is overloaded. If the
// lookups' calls are treated like callers' requests, they are rejected by their own objective of
// 120 ms. Each rejection wastes a lookup's run of 120 ms; the lookup is retried, repeats its
// calls and fails again, so the services add load that serves no caller. Nested calls, which
// start first, do not fail. In six runs without and with the rule, 0.26 to 0.33 and 0.00 of the
// runs failed, 0.59 to 0.65 and 0.82 to 0.92 of the lookups were answered in time, and 0.63 to
// 0.67 and 0.61 to 0.64 of the bookings.
func TestChainOfServicesDoesNotCollapse(t *testing.T) {
	for seed := range uint64(3) {
		before, after := runChain(t, false, seed), runChain(t, true, seed)
		for _, c := range []*chain{before, after} {
			t.Logf("seed %d, nested calls first %v: lookups in time %.2f late %.2f failed or refused %.2f, runs a lookup %.2f, of them failed %.2f; bookings in time %.2f late %.2f refused %.2f",
				seed, c.nested, c.lookups.share(&c.lookups.inTime), c.lookups.share(&c.lookups.late), c.lookups.share(&c.lookups.refused),
				c.lookups.share(&c.runs), float64(c.failed.Load())/float64(c.runs.Load()),
				c.bookings.share(&c.bookings.inTime), c.bookings.share(&c.bookings.late), c.bookings.share(&c.bookings.refused))
		}
		must.Greater(t, 0.15, float64(before.failed.Load())/float64(before.runs.Load()))
		must.Less(t, 0.02, float64(after.failed.Load())/float64(after.runs.Load()))
		must.Greater(t, before.lookups.share(&before.lookups.inTime)+0.12, after.lookups.share(&after.lookups.inTime))
	}
}
