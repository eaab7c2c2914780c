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

// A nested call expires no later than its run. A call that expires later than every run in
// progress comes from a caller.
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

// Nested calls are classified after a few calls. Callers' requests are never classified as nested
// calls, though most of them may have been made by a run in progress.
func TestRouteClassifier(t *testing.T) {
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

// All callers of a route are on the hosts of one service. Enough of their requests expire later
// than the runs there to distinguish them from nested calls of that service.
func TestRouteClassifier_CallersOnHostsOfOneService(t *testing.T) {
	o := NewRouteClassifier(thirds)
	for i := range 1000 {
		from := OriginMaybeRun
		if i%5 == 0 {
			from = OriginCaller
		}
		must.NotEq(t, MadeByServices, o.Observe("lookup", "catalogue", from))
	}
}

// In a fleet with a single service, nested calls cannot be distinguished from callers' requests.
// Both are treated as callers' requests.
func TestRouteClassifier_SingleService(t *testing.T) {
	o := NewRouteClassifier(func(string) float64 { return 1 })
	for range 1000 {
		must.NotEq(t, MadeByServices, o.Observe("lookup", "only", OriginMaybeRun))
	}
	must.Eq(t, MadeByCallers, o.Observe("lookup", "only", OriginMaybeRun))
}

// A route that services have called is now used by callers. The classification changes within the
// window of counted calls.
func TestRouteClassifier_FollowsChange(t *testing.T) {
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
