package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// The mean slot time of a route is not known before a few of its calls have ended. Afterwards
// neither the assumed service time nor the calls of other routes affect it by more than a twentieth.
// Otherwise a gate that has just started would look like that of a fast server.
func TestRouteTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(DefaultOptions())
		call := func(route string, held time.Duration) {
			ticket, err := g.Admit(context.Background(), Call{Route: route, Remaining: time.Minute})
			must.NoError(t, err)
			time.Sleep(held)
			ticket.Done(Answered)
		}
		short, long := Call{Route: "short"}, Call{Route: "long"}
		for range minRouteSamples {
			must.Eq(t, 0, g.RouteTime(short))
			call("short", 80*time.Millisecond)
			call("long", 500*time.Millisecond)
		}
		for range 2 * maxSamples {
			must.InDelta(t, 0.08, g.RouteTime(short).Seconds(), 0.004)
			must.InDelta(t, 0.5, g.RouteTime(long).Seconds(), 0.025)
			call("short", 80*time.Millisecond)
		}
		must.Eq(t, 0, g.RouteTime(Call{Customer: "c"}))
		must.Eq(t, 0, g.RouteTime(Call{Route: "short", Nested: true}))
	})
}
