package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var epoch = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func thirds(string) float64 { return 1.0 / 3 }

// A run makes a call, which expires with it at the latest; a caller's request that lasts
// longer than every run in progress cannot come from one.
func TestRuns_Origin(t *testing.T) {
	r := NewRuns(at(0))
	must.Eq(t, OriginUnknown, r.Origin(at(900), at(500)))
	run := r.Begin("parent", at(3000))
	must.Eq(t, OriginMaybeRun, r.Origin(at(2400), at(2000)))
	must.Eq(t, OriginMaybeRun, r.Origin(at(3040), at(2600)))
	must.Eq(t, OriginCaller, r.Origin(at(3100), at(2100)))
	must.Eq(t, []string{"parent"}, r.PossibleParents(at(2400)))
	must.SliceEmpty(t, r.PossibleParents(at(3100)))
	run.End(at(2200))
	must.Eq(t, OriginMaybeRun, r.Origin(at(2600), at(2300)))
	must.Eq(t, OriginCaller, r.Origin(at(2600), at(2500)))
}

// The calls that one service makes are told from callers' requests within a few calls,
// and callers' requests are never taken for them, though most fit a run in progress.
func TestOrigins(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	o := NewRouteClassifier(thirds)
	nested := 0
	for range 1000 {
		if o.Observe("stock", "catalogue", OriginMaybeRun) == MadeByServices {
			nested++
		}
		from := OriginMaybeRun
		if rnd.IntN(5) == 0 {
			from = OriginCaller
		}
		must.NotEq(t, MadeByServices, o.Observe("lookup", []string{"catalogue", "desk", "archive"}[rnd.IntN(3)], from))
	}
	must.Greater(t, 990, nested)
	must.Eq(t, MadeByCallers, o.Observe("lookup", "desk", OriginMaybeRun))
}

// All callers of a route happen to be on the hosts of one service. Their requests outlive
// the runs there often enough to be told from the calls of that service.
func TestOrigins_CallersOfOneServicesHosts(t *testing.T) {
	o := NewRouteClassifier(thirds)
	for i := range 1000 {
		from := OriginMaybeRun
		if i%5 == 0 {
			from = OriginCaller
		}
		must.NotEq(t, MadeByServices, o.Observe("lookup", "catalogue", from))
	}
}

// In a fleet with one service nothing tells its own calls from callers' requests. They are
// treated alike, as before.
func TestOrigins_OneServiceTellsNothing(t *testing.T) {
	o := NewRouteClassifier(func(string) float64 { return 1 })
	for range 1000 {
		must.NotEq(t, MadeByServices, o.Observe("lookup", "only", OriginMaybeRun))
	}
	must.Eq(t, MadeByCallers, o.Observe("lookup", "only", OriginMaybeRun))
}

// A route changes hands: services called it, now callers do. The verdict follows within
// the memory of the gate.
func TestOrigins_VerdictFollows(t *testing.T) {
	o := NewRouteClassifier(thirds)
	for range 100 {
		o.Observe("a", "catalogue", OriginMaybeRun)
	}
	must.Eq(t, MadeByServices, o.Observe("a", "catalogue", OriginMaybeRun))
	for range 20 {
		o.Observe("a", "catalogue", OriginCaller)
	}
	must.Eq(t, MadeByCallers, o.Observe("a", "desk", OriginCaller))
}
