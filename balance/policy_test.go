package balance_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/backend"
)

func slowBy(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

// coldFrom returns the slowness of a server that restarts at an age of the run: it becomes ten
// times as slow, and the excess halves every half second.
func coldFrom(from time.Duration) func(time.Duration) float64 {
	return func(age time.Duration) float64 {
		if age < from {
			return 1
		}
		return 1 + 9*math.Exp2(-2*(age-from).Seconds())
	}
}

var scenarios = []scenario{
	{name: "calm", worst: 1.25, load: 0.7, length: time.Second},
	{name: "busy", worst: 1.25, load: 0.9, length: time.Second},
	{name: "demand in one zone", worst: 1.25, load: 0.7, length: time.Second, oneZone: true},
	{name: "one slow", worst: 1.8, load: 0.6, length: time.Second, change: func(ts []*target) { ts[0].slowness = slowBy(10) }},
	{name: "one slow, no load", worst: 1.25, load: 0.6, length: time.Second, change: func(ts []*target) {
		ts[0].slowness, ts[0].hidesLoad = slowBy(5), true
	}},
	{name: "one cold", worst: 1.25, load: 0.6, length: 2 * time.Second, change: func(ts []*target) { ts[0].slowness = coldFrom(time.Second) },
		viewAt: time.Second, view: func(servers []*backend.Server) { servers[0].FirstSeen = time.Now() }},
	{name: "one failing", worst: 1.25, load: 0.6, length: time.Second, change: func(ts []*target) { ts[0].failing = 0.2 }},
	// The hosts of three of the ten servers are unreachable; 1.5 s later membership suspects
	// them.
	{name: "zone gone", worst: 2, load: 0.5, length: 3 * time.Second,
		change: func(ts []*target) {
			for i := 0; i < len(ts); i += zones {
				ts[i].goneFrom = time.Second
			}
		},
		viewAt: 2500 * time.Millisecond,
		view: func(servers []*backend.Server) {
			for i := 0; i < len(servers); i += zones {
				servers[i].Suspect = true
			}
		},
	},
}

// TestPolicies compares the picker with a random choice and with a choice by the lowest load
// known, on the same calls. The picker must be nearly as good as the better of the two, leave its
// availability zone at most half as often as the random choice in the calm scenario, and lose
// little to an unhealthy server.
func TestPolicies(t *testing.T) {
	var calm time.Duration
	for _, sc := range scenarios {
		u, l, p := sc.run(t, newUniform), sc.run(t, newLeastLoad), sc.run(t, newPicker)
		u.log(t, "uniform")
		l.log(t, "least load")
		p.log(t, "picker")
		for _, q := range []float64{0.5, 0.99, 0.999} {
			must.Less(t, 1.1*ms(min(u.quantile(q), l.quantile(q))), ms(p.quantile(q)), must.Sprint(sc.name, q))
		}
		must.LessEq(t, 0.2*u.refused()+0.001, p.refused(), must.Sprint(sc.name))
		if sc.name == "calm" {
			calm = p.quantile(0.999)
			must.Less(t, 0.5*u.remoteShare(), p.remoteShare())
		}
		must.Less(t, sc.worst*ms(calm), ms(p.quantile(0.999)), must.Sprint(sc.name))
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
