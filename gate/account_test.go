package gate_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
)

func newAccountGate(slots, maxQueue int, on bool) *gate.Gate {
	opts := gate.DefaultOptions()
	opts.Slots, opts.MaxQueue, opts.FixedSlots, opts.AccountShares = slots, maxQueue, true, on
	opts.ServiceTime = 100 * ms
	return gate.New(opts)
}

// ofAccount returns a call of an account that may wait until its deadline.
func ofAccount(name string) gate.Call {
	return gate.Call{Route: "status", Priority: 2, Account: name, Remaining: time.Minute}
}

// One account has ten calls in the queue when another sends its first one. Guards against a queue in
// the order of arrival: the first account's calls would all start before.
func TestAccountsTakeTurns(t *testing.T) {
	for _, on := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := newAccountGate(1, 100, on)
			for range 11 {
				admitAsync(t, g, ofAccount("a"), 100*ms)
			}
			must.Eq(t, 10, g.Load().Queued)
			start := time.Now()
			must.NoError(t, <-admitAsync(t, g, ofAccount("b"), 100*ms))
			waited := time.Since(start)
			if on {
				must.LessEq(t, 200*ms, waited)
			} else {
				must.Eq(t, 1100*ms, waited)
			}
			time.Sleep(2 * time.Second)
		})
	}
}

// Guards against an admission that forecasts the wait behind all calls of the route: the excess calls
// of one account must be rejected, a call of another account must not.
func TestForecastUsesPositionOfAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAccountGate(1, 100, true)
		call := func(name string) gate.Call {
			c := ofAccount(name)
			c.MaxWait, c.ObjectiveLeft = 500*ms, time.Second
			return c
		}
		for range 6 {
			admitAsync(t, g, call("a"), 100*ms)
		}
		err := <-admitAsync(t, g, call("a"), 0)
		must.Eq(t, errkind.Overloaded, errkind.Of(err))
		must.Positive(t, errkind.RetryAfterOf(err))
		must.StrContains(t, err.Error(), "the account's own waiting calls")
		must.Eq(t, 1, g.Load().AccountRejected)
		must.Eq(t, errkind.Overloaded, errkind.Of(g.Check(call("a"))))
		must.NoError(t, g.Check(call("b")))
		must.LessEq(t, 200*ms, g.LoadFor(call("a")).Wait)
		b := admitAsync(t, g, call("b"), 100*ms)
		must.Eq(t, 2, g.Load().WaitingAccounts)
		must.NoError(t, <-b)
		time.Sleep(2 * time.Second)
	})
}

// Guards against a full queue that one account holds: a call of another account of the same route
// must displace one of its calls, and its own further calls must be rejected.
func TestFullQueueDisplacesLongestAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAccountGate(1, 4, true)
		first := admitAsync(t, g, ofAccount("a"), 100*ms)
		must.NoError(t, <-first)
		var a []<-chan error
		for range 3 {
			a = append(a, admitAsync(t, g, ofAccount("a"), 100*ms))
		}
		b := admitAsync(t, g, ofAccount("b"), 100*ms)
		must.Eq(t, errkind.Overloaded, errkind.Of(<-admitAsync(t, g, ofAccount("a"), 0)))
		c := admitAsync(t, g, ofAccount("c"), 100*ms)
		must.Eq(t, errkind.Overloaded, errkind.Of(<-a[2]))
		// Calls without account form one account.
		none := admitAsync(t, g, ofAccount(""), 100*ms)
		must.Eq(t, errkind.Overloaded, errkind.Of(<-a[1]))
		must.Eq(t, errkind.Overloaded, errkind.Of(<-admitAsync(t, g, ofAccount(""), 0)))
		for _, served := range []<-chan error{b, c, none, a[0]} {
			must.NoError(t, <-served)
		}
		time.Sleep(time.Second)
	})
}

// Guards against an account that stays last after its excess has ended: three seconds later, its
// calls must take turns with those of another account again.
func TestExcessIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAccountGate(1, 100, true)
		go serve(t, g, ofAccount("b"), 10*ms, 490*ms, 16)
		stop := flood(t, g, ofAccount("a"), 100*ms, 10)
		time.Sleep(5 * time.Second)
		must.Eq(t, 9, g.Load().Queued)
		stop()
		time.Sleep(3 * time.Second)
		must.Eq(t, 0, g.Load().InUse)
		var served []<-chan error
		for _, name := range []string{"b", "a", "a", "b", "b"} {
			served = append(served, admitAsync(t, g, ofAccount(name), 100*ms))
		}
		time.Sleep(350 * ms)
		// Two calls of each account start before the third one of b.
		for i, want := range []int{1, 1, 1, 1, 0} {
			must.Eq(t, want, len(served[i]), must.Sprint(i))
		}
		time.Sleep(10 * time.Second)
	})
}

// Guards against nested calls that are divided by account: they form one account, and one that is
// due early starts first.
func TestNestedCallsFormOneAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAccountGate(1, 100, true)
		running, err := g.Admit(t.Context(), ofAccount("a"))
		must.NoError(t, err)
		late := admitAsync(t, g, nestedCall(), 100*ms)
		early := nestedCall()
		early.Remaining = 500 * ms
		urgent := admitAsync(t, g, early, 100*ms)
		must.Eq(t, 1, g.Load().WaitingAccounts)
		running.Done(gate.Answered)
		must.NoError(t, <-urgent)
		must.Eq(t, 0, len(late))
		must.NoError(t, <-late)
		time.Sleep(time.Second)
	})
}

// Guards against memory that grows with the accounts ever seen, and against an account that loses
// its calls when idle ones are forgotten.
func TestIdleAccountsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAccountGate(2, 100, true)
		held, err := g.Admit(t.Context(), ofAccount("held"))
		must.NoError(t, err)
		for i := range 3000 {
			ticket, err := g.Admit(t.Context(), ofAccount(fmt.Sprint(i)))
			must.NoError(t, err)
			ticket.Done(gate.Answered)
			must.LessEq(t, 1025, gate.KnownAccounts(g))
		}
		time.Sleep(11 * time.Second)
		ticket, err := g.Admit(t.Context(), ofAccount("last"))
		must.NoError(t, err)
		must.Eq(t, 2, gate.KnownAccounts(g))
		ticket.Done(gate.Answered)
		held.Done(gate.Answered)
		must.Eq(t, 0, g.Load().InUse)
	})
}

// Calls of accounts, of routes with and without priority, and nested calls arrive, wait, give up and
// end in any order. Guards against calls that are lost when accounts are forgotten or displaced: no
// call or slot may be left over at the end.
func TestAccountSharesLeaveNothingOver(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		maxQueue := rapid.IntRange(1, 8).Draw(rt, "maxQueue")
		calls := rapid.SliceOfN(rapid.IntRange(0, 1<<16), 1, 100).Draw(rt, "calls")
		synctest.Test(t, func(t *testing.T) {
			opts := gate.DefaultOptions()
			opts.Slots, opts.MaxQueue, opts.AccountShares, opts.UrgentSlots = slots, maxQueue, true, true
			g := gate.New(opts)
			var running, most atomic.Int64
			var group sync.WaitGroup
			for _, n := range calls {
				time.Sleep(time.Duration(n%37) * ms)
				group.Go(func() {
					c := []gate.Call{signature(), audit(), nestedCall(), lookup(0)}[n%4]
					c.Account = []string{"", "a", "b", "c", "d"}[n%5]
					c.Weight = []float64{0, 1, 40, 1e-300, math.MaxFloat64, math.Inf(1), math.NaN(), -1}[n%8]
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(n%1013+1)*ms)
					defer cancel()
					ticket, err := g.Admit(ctx, c)
					if err != nil {
						return
					}
					most.Store(max(most.Load(), running.Add(1)))
					time.Sleep(time.Duration(n%211) * ms)
					running.Add(-1)
					ticket.Done(gate.Outcome(n%4 + 1))
				})
			}
			group.Wait()
			must.LessEq(t, int64(slots), most.Load())
			must.Eq(t, 0, g.Load().InUse)
			must.Eq(t, 0, g.Load().Queued)
			must.Eq(t, 0, g.Load().WaitingAccounts)
		})
	})
}

const (
	accounts    = 20
	statusWork  = 120 * ms
	excessRatio = 5
)

// accountTally counts the calls of one account.
type accountTally struct{ offered, inTime, late, rejected int }

func (t *accountTally) add(o accountTally) {
	t.offered += o.offered
	t.inTime += o.inTime
	t.late += o.late
	t.rejected += o.rejected
}

func (t accountTally) share() float64 { return float64(t.inTime) / float64(max(t.offered, 1)) }

// runAccounts offers status reads of 20 accounts to one gate of 9 slots for a minute. The first
// account sends ratio times its usual rate; with a ratio of 5, the load is 1.3 of the capacity. It
// returns the counts of the first account and of the others.
func runAccounts(t *testing.T, on bool, ratio float64, maxWait time.Duration, seed uint64) (first, others accountTally) {
	t.Helper()
	rate := 1.3 * 9 / statusWork.Seconds() / (accounts - 1 + excessRatio)
	synctest.Test(t, func(t *testing.T) {
		g := newAccountGate(9, 1024, on)
		var mu sync.Mutex
		var group sync.WaitGroup
		start := time.Now()
		for i := range accounts {
			rnd := rand.New(rand.NewPCG(seed, uint64(i)))
			accountRate, result := rate, &others
			if i == 0 {
				accountRate, result = ratio*rate, &first
			}
			group.Go(func() {
				for time.Since(start) < time.Minute {
					time.Sleep(time.Duration(rnd.ExpFloat64() / accountRate * float64(time.Second)))
					work := time.Duration((0.5 + rnd.Float64()) * float64(statusWork))
					group.Go(func() {
						outcome := readStatus(t.Context(), g, fmt.Sprint("account ", i), 0, work, maxWait)
						mu.Lock()
						defer mu.Unlock()
						result.add(outcome)
					})
				}
			})
		}
		group.Wait()
	})
	return first, others
}

// readStatus makes a call with the objective and the timeout of a status read.
func readStatus(ctx context.Context, g *gate.Gate, account string, weight float64, work, maxWait time.Duration) accountTally {
	start := time.Now()
	ticket, err := g.Admit(ctx, gate.Call{
		Route: "status", Priority: 2, Account: account, Weight: weight,
		Remaining: time.Second, MaxWait: maxWait, ObjectiveLeft: 400 * ms,
	})
	if err != nil {
		return accountTally{offered: 1, rejected: 1}
	}
	time.Sleep(work)
	ticket.Done(gate.Answered)
	if time.Since(start) > 400*ms {
		return accountTally{offered: 1, late: 1}
	}
	return accountTally{offered: 1, inTime: 1}
}

// One account of 20 sends five times its usual rate to a gate, which has then 1.3 times the load it
// can serve. Guards against slots that the account takes from the others: they must be served as if
// it sent its usual rate. The wait is the one that senders accept at the first gates, an eighth of the
// objective, or at the last, 0.6 of it.
func TestExcessOfOneAccountDelaysOnlyItsCalls(t *testing.T) {
	for _, maxWait := range []time.Duration{50 * ms, 240 * ms} {
		for seed := range uint64(3) {
			_, usual := runAccounts(t, false, 1, maxWait, seed)
			beforeFirst, before := runAccounts(t, false, excessRatio, maxWait, seed)
			afterFirst, after := runAccounts(t, true, excessRatio, maxWait, seed)
			t.Logf("max wait %v, seed %d: others at the usual rate %.3f; with the excess without shares %.3f (late %d, the one %.3f), with shares %.3f (late %d, the one %.3f)",
				maxWait, seed, usual.share(), before.share(), before.late, beforeFirst.share(), after.share(), after.late, afterFirst.share())
			must.GreaterEq(t, 0.95*usual.share(), after.share())
			must.Greater(t, before.share(), after.share())
			// The account with the excess keeps at least its equal part of the slots.
			must.GreaterEq(t, 1.0/excessRatio, afterFirst.share())
		}
	}
}
