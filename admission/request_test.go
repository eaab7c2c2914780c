package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func lookup() Request {
	return Request{Priority: 2, Objective: 400 * time.Millisecond, FirstSent: at(0), Arrived: at(0), Deadline: at(1000)}
}

// A service calls for a request that it works on, with 120 ms of its own objective gone.
// Refused for that it would cost its parent's work; it waits as long as its time allows.
func TestRequest_NestedWaitsAsLongAsItsTimeAllows(t *testing.T) {
	r := lookup()
	r.Nested, r.Objective, r.FirstSent = true, 120*time.Millisecond, at(-200)
	must.False(t, r.Returned())
	must.Eq(t, 0, r.MaxWait(AttemptHistory{}, at(0)))
	must.Eq(t, 0, r.ObjectiveLeft(at(0)))
}

// A caller was refused and comes back 300 ms later: its answer will be late in any case, so
// it goes behind those that can be answered in time.
func TestRequest_Returned(t *testing.T) {
	r := lookup()
	must.Eq(t, 4, r.Rank())
	must.Eq(t, 350*time.Millisecond, r.ObjectiveLeft(at(50)))
	r.FirstSent = at(-300)
	must.Eq(t, 5, r.Rank())
	must.Eq(t, 0, r.ObjectiveLeft(at(50)))
	must.Eq(t, 250*time.Millisecond, r.MaxWait(AttemptHistory{}, at(0)))
}

// The first gates are tried with little patience, since another may be free; the last one
// for as long as the answer can still be in time.
func TestRequest_PatienceGrowsWithRefusals(t *testing.T) {
	r := lookup()
	must.Eq(t, 50*time.Millisecond, r.MaxWait(AttemptHistory{}, at(0)))
	must.Eq(t, 110*time.Millisecond, r.MaxWait(AttemptHistory{RemoteCost: 60 * time.Millisecond}, at(0)))
	must.Eq(t, 230*time.Millisecond, r.MaxWait(AttemptHistory{Refusals: 2}, at(10)))
	must.Eq(t, 50*time.Millisecond, r.MaxWait(AttemptHistory{FullWait: true}, at(300)))
}

// The last gate to be asked has told nothing yet; another has told that services make the
// calls of a route. The word of the one that is not sure changes nothing.
func TestNestedRoutes(t *testing.T) {
	var n NestedRoutes
	must.False(t, n.Contains("check"))
	n.Update("check", MadeByServices)
	n.Update("check", MadeByUnknown)
	n.Update("", MadeByServices)
	must.True(t, n.Contains("check"))
	must.False(t, n.Contains("other"))
	n.Update("check", MadeByCallers)
	must.False(t, n.Contains("check"))
}
