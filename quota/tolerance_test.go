package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/snapshot"
)

// A customer that is idle for a while may send its whole burst at once and then its rate. With a smaller
// bucket, those calls are rejected although the customer is below its limit. The bucket must also leave
// the reserve of the window, from which settling owners grant.
func TestTolerance_bucketHoldsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 5000).Draw(t, "rate")
		c := &snapshot.Contract{Rate: rate, Burst: rate * rapid.Float64Range(0.1, 10).Draw(t, "burst seconds")}
		tolerance := Tolerance{Window: 5 * time.Second, Share: 0.1, Calls: 20}
		a := tolerance.amount(c)
		must.GreaterEq(t, c.Burst, a.burst)
		must.GreaterEq(t, c.Rate*0.999, a.rate)
		must.LessEq(t, windowShare*tolerance.windowCalls(c)*1.001, a.rate*tolerance.Window.Seconds()+a.burst)
	})
}

// Without a share of excess, the window has no room for the burst beside the rate. The bucket then keeps
// within the window.
func TestTolerance_bucketKeepsWithinTheWindow(t *testing.T) {
	tolerance := Tolerance{Window: 5 * time.Second}
	c := &snapshot.Contract{Rate: 100, Burst: 100}
	a := tolerance.amount(c)
	must.LessEq(t, windowShare*tolerance.windowCalls(c)*1.001, a.rate*tolerance.Window.Seconds()+a.burst)
	must.GreaterEq(t, minBurstShare*c.Burst, a.burst)
}
