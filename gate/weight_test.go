package gate_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
)

// limitFactor is the limit of an account relative to its usual rate.
const limitFactor = 1.6

// accountModel offers status reads of accounts to a gate of 9 slots.
type accountModel struct {
	// rates holds the calls per second of each account.
	rates []float64
	// weight returns the weight that the calls of an account state at the time since the start.
	weight  func(i int, at time.Duration) float64
	maxWait time.Duration
	length  time.Duration
	// countFrom is the time since the start from which on calls are counted.
	countFrom time.Duration
}

// powerLaw returns rates of accounts by a power law of 1.2 with the given sum.
func powerLaw(accounts int, sum float64) []float64 {
	rates, total := make([]float64, accounts), 0.0
	for i := range rates {
		rates[i] = math.Pow(float64(i+1), -1.2)
		total += rates[i]
	}
	for i := range rates {
		rates[i] *= sum / total
	}
	return rates
}

// run returns the counts of each account and of all.
func (m accountModel) run(t *testing.T, on bool, seed uint64) (tallies []accountTally, all accountTally) {
	t.Helper()
	tallies = make([]accountTally, len(m.rates))
	synctest.Test(t, func(t *testing.T) {
		g := newAccountGate(9, 1024, on)
		var mu sync.Mutex
		var group sync.WaitGroup
		start := time.Now()
		for i, rate := range m.rates {
			rnd := rand.New(rand.NewPCG(seed, uint64(i)))
			name := fmt.Sprint("account ", i)
			group.Go(func() {
				for time.Since(start) < m.length {
					time.Sleep(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
					work := time.Duration((0.5 + rnd.Float64()) * float64(statusWork))
					group.Go(func() {
						at := time.Since(start)
						outcome := readStatus(t.Context(), g, name, m.weight(i, at), work, m.maxWait)
						mu.Lock()
						defer mu.Unlock()
						if at >= m.countFrom {
							tallies[i].add(outcome)
						}
					})
				}
			})
		}
		group.Wait()
	})
	for _, c := range tallies {
		all.add(c)
	}
	return tallies, all
}

// limits returns a weight function by which each account states the limit that belongs to its usual
// rate.
func limits(usual []float64) func(int, time.Duration) float64 {
	return func(i int, _ time.Duration) float64 { return limitFactor * usual[i] }
}

// noLimits is a weight function by which no limit is known.
func noLimits(int, time.Duration) float64 { return 0 }

// statusCapacity is the number of status reads per second that 9 slots can serve.
var statusCapacity = 9 / statusWork.Seconds()

// All accounts send their usual rate, of which the gate can serve 0.6. Guards against parts that are
// equal whatever the size of the accounts: the largest one, with a third of all calls, would be put
// behind all others. No account may be served less than a quarter as often as all, and one of 5 calls
// a second or more, whose measured use does not depend on single calls, not less than half as often.
func TestAccountsShareOverloadByLimit(t *testing.T) {
	for _, maxWait := range []time.Duration{50 * ms, 240 * ms} {
		for seed := range uint64(3) {
			rates := powerLaw(20, statusCapacity/0.6)
			m := accountModel{rates: rates, weight: noLimits, maxWait: maxWait, length: 2 * time.Minute}
			equal, _ := m.run(t, true, seed)
			m.weight = limits(rates)
			tallies, all := m.run(t, true, seed)
			lowest, lowestLarge := 1.0, 1.0
			for i, c := range tallies {
				ratio := c.share() / all.share()
				lowest = min(lowest, ratio)
				if rates[i] >= 5 {
					lowestLarge = min(lowestLarge, ratio)
				}
			}
			t.Logf("max wait %v, seed %d: all %.3f, largest %.3f (equal weights %.3f); lowest relative to all %.2f, of 5/s or more %.2f",
				maxWait, seed, all.share(), tallies[0].share(), equal[0].share(), lowest, lowestLarge)
			must.GreaterEq(t, 0.5, lowestLarge)
			must.GreaterEq(t, 0.25, lowest)
		}
	}
}

// One account of 20 sends five times its usual rate, so that the load is 1.3 of the capacity. Guards
// against parts by weight that let a large account take the slots of small ones, or a small account
// those of a large one: the others must be served as if it sent its usual rate.
func TestExcessOfOneAccountByLimit(t *testing.T) {
	for _, excess := range []int{0, 4, 19} {
		for _, maxWait := range []time.Duration{50 * ms, 240 * ms} {
			for seed := range uint64(2) {
				rates := powerLaw(accounts, 1)
				usual := powerLaw(accounts, 1.3*statusCapacity/(1+(excessRatio-1)*rates[excess]))
				m := accountModel{rates: usual, weight: limits(usual), maxWait: maxWait, length: time.Minute}
				before, _ := m.run(t, false, seed)
				m.rates = slices.Clone(usual)
				m.rates[excess] *= excessRatio
				without, _ := m.run(t, false, seed)
				with, _ := m.run(t, true, seed)
				shares := [3]float64{}
				for i, tallies := range [][]accountTally{before, without, with} {
					var others accountTally
					for k, c := range tallies {
						if k != excess {
							others.add(c)
						}
					}
					shares[i] = others.share()
				}
				t.Logf("account %d, max wait %v, seed %d: others at the usual rate %.3f; with the excess without shares %.3f, with shares %.3f (the one %.3f)",
					excess, maxWait, seed, shares[0], shares[1], shares[2], with[excess].share())
				must.GreaterEq(t, 0.95*shares[0], shares[2])
			}
		}
	}
}

// A gate starts before its daemon has a configuration, so that no limit is known for 10 s, and some
// limits are never known. Guards against tags or uses of slots from that time that keep an account
// back: from 3 s after the limits are known, the bounds for known limits hold. An account without a
// limit has the mean weight, so that the bounds do not apply to it.
func TestLimitsUnknownAtStart(t *testing.T) {
	for _, unlimited := range []int{accounts, 3} {
		for seed := range uint64(3) {
			rates := powerLaw(accounts, statusCapacity/0.6)
			m := accountModel{rates: rates, maxWait: 50 * ms, length: time.Minute, countFrom: 13 * time.Second}
			m.weight = func(i int, at time.Duration) float64 {
				if at < 10*time.Second || i == unlimited {
					return 0
				}
				return limitFactor * rates[i]
			}
			tallies, all := m.run(t, true, seed)
			for i, c := range tallies {
				if i == unlimited {
					t.Logf("seed %d: the account without a limit %.3f, all %.3f", seed, c.share(), all.share())
				} else if rates[i] >= 5 {
					must.GreaterEq(t, 0.5, c.share()/all.share(), must.Sprint(i))
				}
				must.GreaterEq(t, 0.25, c.share()/all.share(), must.Sprint(i))
			}
		}
	}
}

// Two accounts keep ten calls waiting each. A new configuration gives one of them three times its
// limit, and later a third of it. Guards against weights that the gate keeps from the first call of an
// account, and against consumed slot time that counts at the old weight: from 3 s later on, when the
// measured use of slots has followed, the calls that start must be in the proportion of the limits.
func TestChangedLimitChangesPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAccountGate(1, 100, true)
		var limit, started, others atomic.Int64
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Second)
		}()
		for i := range 20 {
			go func() {
				for ctx.Err() == nil {
					c, count := ofAccount("a"), &started
					c.Weight = float64(limit.Load())
					if i%2 == 1 {
						c, count = ofAccount("b"), &others
						c.Weight = 30
					}
					ticket, err := g.Admit(ctx, c)
					if err != nil {
						return
					}
					count.Add(1)
					time.Sleep(10 * ms)
					ticket.Done(gate.Answered)
				}
			}()
		}
		for _, l := range []int64{30, 90, 10, 0} {
			limit.Store(l)
			time.Sleep(3 * time.Second)
			started.Store(0)
			others.Store(0)
			time.Sleep(10 * time.Second)
			part := float64(l) / float64(l+30)
			if l == 0 {
				// The mean of the known weights is that of b.
				part = 0.5
			}
			t.Logf("limit %d: %d started of a, %d of b", l, started.Load(), others.Load())
			must.InDelta(t, part, float64(started.Load())/float64(started.Load()+others.Load()), 0.02)
		}
	})
}

// A full queue holds calls of a large and of a small account. Guards against a queue in which the
// large account's calls are displaced although it has fewer than its part, and against the loss of the
// only waiting call of an account.
func TestFullQueueDisplacesByWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAccountGate(1, 8, true)
		admit := func(name string, weight float64) <-chan error {
			c := ofAccount(name)
			c.Weight = weight
			return admitAsync(t, g, c, 100*ms)
		}
		must.NoError(t, <-admit("large", 100))
		var large []<-chan error
		for range 5 {
			large = append(large, admit("large", 100))
		}
		single := admit("single", 1)
		small := []<-chan error{admit("small", 10), admit("small", 10)}
		must.Eq(t, 8, g.Load().Queued)
		newcomer := admit("newcomer", 10)
		must.Eq(t, errkind.Overloaded, errkind.Of(<-small[1]))
		for _, served := range append(large, single, small[0], newcomer) {
			must.NoError(t, <-served)
		}
		time.Sleep(time.Second)
	})
}
