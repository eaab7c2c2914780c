package quota

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Calls come in pairs at random times. A daemon that takes a usual gap for the end of demand returns its
// lease, and the next calls find none.
func TestIdleAfter_outlastsUsualGapsBetweenPairs(t *testing.T) {
	const rate = 2.6
	pairs := rate / 2 * idleAfter(rate, DefaultLeaseTime).Seconds()
	must.LessEq(t, 0.01, math.Exp(-pairs), must.Sprint("share of the gaps between pairs that count as idle"))
}

// A daemon gets one pair of calls. The owner leases by what is reported for it, so the pair must not count
// as the calls of one second: over many daemons, the sum would be several times the customer's demand.
func TestDemand_firstCallsAreNotARate(t *testing.T) {
	var d demand
	d.reset(0, 0)
	highest := d.rate(2)
	for now := tickInterval; now <= 10*time.Second; now += tickInterval {
		d.observe(2, now)
		highest = max(highest, d.rate(2))
	}
	must.LessEq(t, 2/demandTimeConstant.Seconds(), highest)
}
