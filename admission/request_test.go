package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func lookup() Request {
	return Request{Priority: 2, Objective: 400 * time.Millisecond, FirstSent: at(0), Arrived: at(0), Deadline: at(1000)}
}

// A nested call arrives after its own latency objective of 120 ms has passed. A refusal for that
// reason would discard the work done for its parent, so the call may wait until its deadline.
func TestRequest_NestedWaitsUntilDeadline(t *testing.T) {
	r := lookup()
	r.Nested, r.Objective, r.FirstSent = true, 120*time.Millisecond, at(-200)
	must.False(t, r.IsLateRetry())
	must.Eq(t, 0, r.MaxWait(AttemptHistory{}, at(0)))
	must.Eq(t, 0, r.ObjectiveLeft(at(0)))
}

// A caller retries 300 ms after its first attempt. The answer will be late in any case, so the
// request ranks behind those that can be answered in time.
func TestRequest_LateRetry(t *testing.T) {
	r := lookup()
	must.Eq(t, 4, r.Rank())
	must.Eq(t, 350*time.Millisecond, r.ObjectiveLeft(at(50)))
	r.FirstSent = at(-300)
	must.Eq(t, 5, r.Rank())
	must.Eq(t, 0, r.ObjectiveLeft(at(50)))
	must.Eq(t, 250*time.Millisecond, r.MaxWait(AttemptHistory{}, at(0)))
}

// At the first gates the wait is short, since another gate may be free. At the last one the request
// waits for as long as the answer can still be in time.
func TestRequest_MaxWaitGrowsWithRefusals(t *testing.T) {
	r := lookup()
	must.Eq(t, 50*time.Millisecond, r.MaxWait(AttemptHistory{}, at(0)))
	must.Eq(t, 110*time.Millisecond, r.MaxWait(AttemptHistory{RemoteCost: 60 * time.Millisecond}, at(0)))
	must.Eq(t, 230*time.Millisecond, r.MaxWait(AttemptHistory{Refusals: 2}, at(10)))
	must.Eq(t, 50*time.Millisecond, r.MaxWait(AttemptHistory{FullWait: true}, at(300)))
}

// One gate reports that services make the calls of a route. Guards against a report of
// MadeByUnknown, from a gate that has just started, removing the route.
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
