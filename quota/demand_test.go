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

// Calls come in pairs at a steady rate. Each false change makes a claim, and a lease that is several times
// too large or too small.
func TestDemand_pairsAreNoChange(t *testing.T) {
	pairs := arrivals(1, 1, 1000*time.Second, func(int, time.Duration) float64 { return 1.3 })
	var d demand
	d.reset(0, 0)
	arrived, i := int64(0), 0
	for now := tickInterval; now <= 1000*time.Second; now += tickInterval {
		for ; i < len(pairs) && pairs[i].at <= now; i++ {
			arrived += 2
		}
		d.observe(arrived, now)
	}
	must.LessEq(t, 10, d.changes, must.Sprint("changes in 1000 s"))
}

// Demand rises to six times its rate. Calls are rejected until the owner knows.
func TestDemand_riseIsSeenWithinASecond(t *testing.T) {
	var d demand
	d.reset(0, 0)
	arrived := 0.0
	for now := tickInterval; now <= 11*time.Second; now += tickInterval {
		rate := 4.3
		if now > 10*time.Second {
			rate = 26
		}
		arrived += rate * tickInterval.Seconds()
		d.observe(int64(arrived), now)
	}
	must.GreaterEq(t, 20, d.rate(int64(arrived)))
}
