package admission

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Of ten runs seven make two calls of the desk; a stray call is not told of.
func TestCallees_Rates(t *testing.T) {
	var c CalleeStats
	c.AddCall("archive")
	for i := range 1000 {
		c.AddRun()
		if i%10 < 7 {
			c.AddCall("desk")
			c.AddCall("desk")
		}
		if i < leastRuns-1 {
			must.Nil(t, c.Rates())
		}
	}
	must.Len(t, 1, c.Rates())
	must.Eq(t, "desk", c.Rates()[0].Service)
	must.InDelta(t, 1.4, c.Rates()[0].Calls, 0.05)
}

// What a request brings: itself, its calls, and the calls of those. Services that call each
// other in a ring do not make it endless.
func TestCalls_OfAChain(t *testing.T) {
	var c CallGraph
	c.Update("catalogue", []Callee{{"desk", 1.4}})
	c.Update("desk", []Callee{{"archive", 0.5}})
	must.Eq(t, []Callee{{"catalogue", 1}, {"desk", 1.4}, {"archive", 0.7}}, c.CallsPerRequest("catalogue"))
	c.Update("archive", []Callee{{"catalogue", 1}})
	must.Len(t, 3, c.CallsPerRequest("catalogue"))
	must.Eq(t, []Callee{{"other", 1}}, c.CallsPerRequest("other"))
}

// A gate that has just started tells nothing, which changes nothing, nor does a rate that
// is about the same.
func TestCalls_LearnKeepsWhatIsKnown(t *testing.T) {
	var c CallGraph
	c.Update("catalogue", []Callee{{"desk", 1.4}})
	known := c.services.Load()
	c.Update("catalogue", nil)
	c.Update("catalogue", []Callee{{"desk", 1.42}})
	must.True(t, known == c.services.Load())
	c.Update("catalogue", []Callee{{"desk", 2}})
	must.Eq(t, 2.0, c.CallsPerRequest("catalogue")[1].Calls)
}
