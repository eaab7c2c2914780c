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
	must.Eq(t, MaybeFromRun, r.Origin(at(2400), at(2000)))
	must.Eq(t, MaybeFromRun, r.Origin(at(3040), at(2600)))
	must.Eq(t, FromCaller, r.Origin(at(3100), at(2100)))
	must.Eq(t, []string{"parent"}, r.Requests(at(2400)))
	must.SliceEmpty(t, r.Requests(at(3100)))
	run.End(at(2200))
	must.Eq(t, MaybeFromRun, r.Origin(at(2600), at(2300)))
	must.Eq(t, FromCaller, r.Origin(at(2600), at(2500)))
}

// The calls that one service makes are told from callers' requests within a few calls,
// and callers' requests are never taken for them, though most fit a run in progress.
func TestOrigins(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	o := NewOrigins(thirds)
	nested := 0
	for range 1000 {
		if o.Add("stock", "catalogue", MaybeFromRun) == ByServices {
			nested++
		}
		from := MaybeFromRun
		if rnd.IntN(5) == 0 {
			from = FromCaller
		}
		must.NotEq(t, ByServices, o.Add("lookup", []string{"catalogue", "desk", "archive"}[rnd.IntN(3)], from))
	}
	must.Greater(t, 990, nested)
	must.Eq(t, ByCallers, o.Add("lookup", "desk", MaybeFromRun))
}

// All callers of a route happen to be on the hosts of one service. Their requests outlive
// the runs there often enough to be told from the calls of that service.
func TestOrigins_CallersOfOneServicesHosts(t *testing.T) {
	o := NewOrigins(thirds)
	for i := range 1000 {
		from := MaybeFromRun
		if i%5 == 0 {
			from = FromCaller
		}
		must.NotEq(t, ByServices, o.Add("lookup", "catalogue", from))
	}
}

// In a fleet with one service nothing tells its own calls from callers' requests. They are
// treated alike, as before.
func TestOrigins_OneServiceTellsNothing(t *testing.T) {
	o := NewOrigins(func(string) float64 { return 1 })
	for range 1000 {
		must.NotEq(t, ByServices, o.Add("lookup", "only", MaybeFromRun))
	}
	must.Eq(t, ByCallers, o.Add("lookup", "only", MaybeFromRun))
}

// A route changes hands: services called it, now callers do. The verdict follows within
// the memory of the gate.
func TestOrigins_VerdictFollows(t *testing.T) {
	o := NewOrigins(thirds)
	for range 100 {
		o.Add("a", "catalogue", MaybeFromRun)
	}
	must.Eq(t, ByServices, o.Add("a", "catalogue", MaybeFromRun))
	for range 20 {
		o.Add("a", "catalogue", FromCaller)
	}
	must.Eq(t, ByCallers, o.Add("a", "desk", FromCaller))
}
