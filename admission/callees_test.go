package admission

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Seven of ten runs make two calls to the same service. A single call to another one is not
// reported.
func TestCalleeStats_Rates(t *testing.T) {
	var c CalleeStats
	c.AddCall("archive")
	for i := range 1000 {
		c.AddRun()
		if i%10 < 7 {
			c.AddCall("desk")
			c.AddCall("desk")
		}
		if i < minRuns-1 {
			must.Nil(t, c.Rates())
		}
	}
	must.Len(t, 1, c.Rates())
	must.Eq(t, "desk", c.Rates()[0].Service)
	must.InDelta(t, 1.4, c.Rates()[0].Calls, 0.05)
}

// A request causes itself, the calls made for it, and the calls made for those. Guards against an
// endless expansion of services that call each other in a cycle.
func TestCallGraph_CallsPerRequest(t *testing.T) {
	var c CallGraph
	c.Update("catalogue", []Callee{{"desk", 1.4}})
	c.Update("desk", []Callee{{"archive", 0.5}})
	must.Eq(t, []Callee{{"catalogue", 1}, {"desk", 1.4}, {"archive", 0.7}}, c.CallsPerRequest("catalogue"))
	c.Update("archive", []Callee{{"catalogue", 1}})
	must.Len(t, 3, c.CallsPerRequest("catalogue"))
	must.Eq(t, []Callee{{"other", 1}}, c.CallsPerRequest("other"))
}

// An empty report, as sent by a gate that has just started, changes nothing. Neither does a rate
// that is almost the same.
func TestCallGraph_UpdateIgnoresSmallChanges(t *testing.T) {
	var c CallGraph
	c.Update("catalogue", []Callee{{"desk", 1.4}})
	known := c.services.Load()
	c.Update("catalogue", nil)
	c.Update("catalogue", []Callee{{"desk", 1.42}})
	must.True(t, known == c.services.Load())
	c.Update("catalogue", []Callee{{"desk", 2}})
	must.Eq(t, 2.0, c.CallsPerRequest("catalogue")[1].Calls)
}
