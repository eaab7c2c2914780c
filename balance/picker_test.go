package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/errkind"
)

// harness is a picker with a clock that the test controls, and servers in the picker's own zone
// that have been known for long.
type harness struct {
	*Picker
	clock   time.Time
	servers []*backend.Server
}

func newHarness(n int) *harness {
	b := &harness{clock: time.Unix(1e9, 0)}
	opts := DefaultOptions()
	opts.Now = func() time.Time { return b.clock }
	opts.Rand = rand.New(rand.NewPCG(1, 1)).IntN
	b.Picker = New(opts)
	for i := range n {
		b.servers = append(b.servers, &backend.Server{
			ID: backend.ID{Host: fmt.Sprint(i), Service: "s"}, Slots: 10, FirstSeen: b.clock.Add(-time.Hour),
		})
	}
	return b
}

// run makes n calls, one per millisecond, and returns the fraction that went to the first server.
func (b *harness) run(n int, result func(first bool) Result) float64 {
	var toFirst float64
	for range n {
		b.clock = b.clock.Add(time.Millisecond)
		l, err := b.Pick(b.servers, nil)
		if err != nil {
			panic(err)
		}
		first := l.Server() == b.servers[0]
		if first {
			toFirst++
		}
		l.Done(result(first))
	}
	return toFirst / float64(n)
}

func good(bool) Result { return Result{Status: 200, Latency: 5 * time.Millisecond} }

// firstGives returns a function that gives the result for the first server and a good one for the
// others.
func firstGives(r Result) func(bool) Result {
	return func(first bool) Result {
		if first {
			return r
		}
		return good(first)
	}
}

// Errors of the caller, rejections by the daemons and calls that are aborted early indicate
// nothing about the server, which must keep its share of the calls.
func TestNeutralResultsDoNotAffectPicking(t *testing.T) {
	for _, r := range []Result{
		{Status: 404, Latency: 5 * time.Millisecond},
		{Status: 422, Latency: 5 * time.Millisecond},
		{Status: 429, Latency: time.Millisecond},
		{Status: 503, Latency: time.Millisecond},
		{Kind: errkind.Overloaded, Latency: time.Millisecond, Load: &Load{Slots: 10}},
		{Kind: errkind.DeadlineNotRun, Latency: time.Second, Load: &Load{Slots: 10}},
		{Kind: errkind.Canceled, Latency: time.Millisecond},
		{Kind: errkind.Deadline, Latency: time.Millisecond},
	} {
		b := newHarness(4)
		b.run(200, good)
		must.Greater(t, 0.2, b.run(1000, firstGives(r)), must.Sprint(r))
	}
}

// Most servers shed calls, which takes little time. The server that runs its calls must not be
// treated as slow in comparison.
func TestSheddingDoesNotLowerBaselineLatency(t *testing.T) {
	b := newHarness(4)
	b.run(200, good)
	must.Greater(t, 0.2, b.run(1000, func(first bool) Result {
		if first {
			return good(first)
		}
		return Result{Status: 503, Latency: 100 * time.Microsecond}
	}))
}

// The latency of calls varies. No server must be ejected for that, in particular not after the
// first few calls, which do not determine the typical latency yet.
func TestLatencyVarianceDoesNotEject(t *testing.T) {
	for seed := range uint64(300) {
		b := newHarness(10)
		rng := rand.New(rand.NewPCG(seed, 4))
		b.run(300, func(bool) Result {
			latency := rng.ExpFloat64() * float64(5*time.Millisecond)
			if seed%2 == 1 && rng.IntN(5) == 0 {
				latency *= 100 // an upload
			}
			return Result{Status: 200, Latency: time.Duration(latency)}
		})
		for _, e := range b.stats {
			must.False(t, e.ejected.Load())
		}
	}
}

// A server is slow enough for a while to get few calls but not enough to be ejected. It must get
// calls again once the observations have decayed.
func TestLatencyDecays(t *testing.T) {
	b := newHarness(4)
	b.run(500, good)
	somewhatSlow := firstGives(Result{Status: 200, Latency: 20 * time.Millisecond})
	b.run(500, somewhatSlow)
	must.Less(t, 0.02, b.run(1000, somewhatSlow))
	b.run(10_000, good)
	must.Greater(t, 0.2, b.run(1000, good))
}

// An ejected server is slow in most calls but not in all. A single fast trial must not restore
// it.
func TestSingleFastTrialDoesNotRestore(t *testing.T) {
	b := newHarness(4)
	rng := rand.New(rand.NewPCG(3, 3))
	mostlySlow := func(first bool) Result {
		if first && rng.Float64() < 0.7 {
			return Result{Status: 200, Latency: 100 * time.Millisecond}
		}
		return good(first)
	}
	b.run(1000, mostlySlow)
	must.Less(t, 0.001, b.run(200_000, mostlySlow))
}

// A server fails, is slow or does not answer while its peers are healthy. It must soon get trial
// calls only, and its full share again after it has recovered.
func TestEjectedAndRestored(t *testing.T) {
	for _, r := range []Result{
		{Status: 500, Latency: time.Millisecond},
		{Kind: errkind.Unreachable, Latency: time.Millisecond},
		{Kind: errkind.BackendFailed, Latency: time.Millisecond},
		{Kind: errkind.OutcomeUnknown, Latency: time.Second},
		{Status: 200, Latency: 100 * time.Millisecond},
		{Kind: errkind.Canceled, Latency: 15 * time.Millisecond},
		{Kind: errkind.Deadline, Latency: 15 * time.Millisecond},
		{Kind: errkind.DeadlineNotRun, Latency: 100 * time.Millisecond},
	} {
		b := newHarness(4)
		b.run(500, good)
		b.run(200, firstGives(r))
		trialShare := b.run(20_000, firstGives(r))
		must.Between(t, 0.0001, trialShare, 0.002, must.Sprint(r))
		b.run(20_000, good)
		must.Greater(t, 0.2, b.run(1000, good), must.Sprint(r))
	}
}

// All servers fail, one after the other. Calls must still go to all of them.
func TestAllFailingServersStillPicked(t *testing.T) {
	b := newHarness(4)
	b.run(500, good)
	failed := func(bool) Result { return Result{Kind: errkind.Unreachable, Latency: time.Millisecond} }
	b.run(1000, failed)
	must.Between(t, 0.1, b.run(1000, failed), 0.4)
}

// Most servers fail. The remaining one must get all calls until a wait there would cost more than
// a failure elsewhere, even if the others are ejected.
func TestRemainingServerIsUsed(t *testing.T) {
	b := newHarness(4)
	b.run(500, good)
	othersFail := func(first bool) Result {
		if first {
			return good(first)
		}
		return Result{Kind: errkind.Unreachable, Latency: time.Millisecond}
	}
	b.run(1000, othersFail)
	must.Greater(t, 0.99, b.run(1000, othersFail))
	for _, s := range b.servers[1:] {
		b.stats[s.ID].eject(baseline{callRate: 1}, b.now())
	}
	b.clock = b.clock.Add(time.Second)
	for range 300 {
		_, err := b.Pick(b.servers, nil)
		must.NoError(t, err)
	}
	must.Between(t, 50, b.stats[b.servers[0].ID].inFlight.Load(), 200)
}

// Some of the calls fail at all servers but one, which shows that the calls do not cause the
// failures. This server must get most of the calls.
func TestOneHealthyServerGetsMostCalls(t *testing.T) {
	b := newHarness(4)
	rng := rand.New(rand.NewPCG(2, 2))
	failSome := func(first bool) Result {
		if !first && rng.Float64() < 0.6 {
			return Result{Status: 500, Latency: 5 * time.Millisecond}
		}
		return good(first)
	}
	b.run(500, failSome)
	must.Greater(t, 0.9, b.run(1000, failSome))
}

// A new server joins. It must get a small share of the calls at first and its full share after
// the slow start.
func TestSlowStart(t *testing.T) {
	b := newHarness(4)
	b.run(500, good)
	b.servers[0].FirstSeen = b.clock
	b.Prune(nil)
	must.Less(t, 0.12, b.run(1000, good))
	b.run(10_000, good)
	must.Greater(t, 0.2, b.run(1000, good))
}

// A gate reports that it drains. Its server must get no more calls until the report has expired.
func TestDrainingGate(t *testing.T) {
	b := newHarness(2)
	b.run(100, firstGives(Result{Kind: errkind.Draining, Latency: time.Millisecond}))
	must.Zero(t, b.run(1000, good))
	b.clock = b.clock.Add(10 * time.Second)
	must.Greater(t, 0.3, b.run(1000, good))
}

// Whatever was observed, a draining or excluded server is never picked, a suspect one only if no
// other server is eligible, and an eligible one is always found.
func TestPickedServerIsEligible(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newHarness(rapid.IntRange(1, 5).Draw(rt, "servers"))
		results := []Result{good(false), {Status: 500}, {Kind: errkind.Unreachable}, {Status: 200, Latency: time.Second}}
		b.run(rapid.IntRange(0, 300).Draw(rt, "calls"), func(bool) Result {
			return results[rapid.IntRange(0, len(results)-1).Draw(rt, "result")]
		})
		excluded := make(map[backend.ID]bool)
		var healthy, suspect int
		servers := make([]*backend.Server, 0, len(b.servers))
		for _, old := range b.servers {
			s := *old
			s.Draining = rapid.Bool().Draw(rt, "draining")
			s.Suspect = rapid.Bool().Draw(rt, "suspect")
			excluded[s.ID] = rapid.Bool().Draw(rt, "excluded")
			if !s.Draining && !excluded[s.ID] && s.Suspect {
				suspect++
			}
			if !s.Draining && !excluded[s.ID] && !s.Suspect {
				healthy++
			}
			servers = append(servers, &s)
		}
		for range 20 {
			l, err := b.Pick(servers, func(id backend.ID) bool { return excluded[id] })
			if healthy+suspect == 0 {
				must.Eq(rt, errkind.NoBackend, errkind.Of(err))
				return
			}
			must.NoError(rt, err)
			s := l.Server()
			must.False(rt, s.Draining || excluded[s.ID] || s.Suspect && healthy > 0)
			l.Done(good(false))
		}
	})
}

func TestPruneBoundsMemory(t *testing.T) {
	b := newHarness(3)
	b.run(10, good)
	b.Prune(backend.NewSet(b.servers[:1]))
	must.MapLen(t, 1, b.stats)
	b.Prune(nil)
	must.MapEmpty(t, b.stats)
	must.MapEmpty(t, *b.pools.Load())
}

func TestDoneTwice(t *testing.T) {
	b := newHarness(1)
	l, err := b.Pick(b.servers, nil)
	must.NoError(t, err)
	must.Eq(t, 1, b.stats[b.servers[0].ID].inFlight.Load())
	l.Done(good(false))
	l.Done(good(false))
	must.Eq(t, 0, b.stats[b.servers[0].ID].inFlight.Load())
}

func TestPickAllocations(t *testing.T) {
	b := newHarness(10)
	load := &Load{InUse: 1, Slots: 10}
	must.LessEq(t, 1, testing.AllocsPerRun(1000, func() {
		l, _ := b.Pick(b.servers, nil)
		l.Done(Result{Status: 200, Latency: time.Millisecond, Load: load})
	}))
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			servers := newHarness(n).servers
			p := New(DefaultOptions())
			load := &Load{InUse: 1, Slots: 10}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					l, _ := p.Pick(servers, nil)
					l.Done(Result{Status: 200, Latency: time.Millisecond, Load: load})
				}
			})
		})
	}
}

// Every attempt of every call picks once, so a pick must allocate only its lease.
func TestPickAllocationsWithManyServers(t *testing.T) {
	servers := newHarness(100).servers
	p := New(DefaultOptions())
	load := &Load{InUse: 1, Slots: 10}
	must.LessEq(t, 1, testing.AllocsPerRun(1000, func() {
		l, _ := p.Pick(servers, nil)
		l.Done(Result{Status: 200, Latency: time.Millisecond, Load: load})
	}))
}
