package balance_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/gate"
)

// signers is the signer service of load A: 23 servers with speeds 0.7, 0.7 and 1.6 in three zones.
func signers() speedLoad {
	return speedLoad{
		routes: []speedRoute{
			{name: "signature", rate: 297, work: 86 * time.Millisecond, variation: 0.8, objective: 250 * time.Millisecond, timeout: 800 * time.Millisecond, kilobytes: 6.2},
			{name: "audit", rate: 274, work: 490 * time.Millisecond, variation: 0.5, objective: 3 * time.Second, timeout: 2500 * time.Millisecond, priority: 2, kilobytes: 0.4},
			{name: "lookup L2", rate: 545, work: 31 * time.Millisecond, variation: 0.5, objective: 120 * time.Millisecond, timeout: 400 * time.Millisecond, nested: true, kilobytes: 0.4},
		},
		zones: []int{9, 8, 6}, callers: []int{521, 647, 680}, speeds: []float64{0.7, 0.7, 1.6},
		slots: 9, length: 15 * time.Second, seed: 1,
	}
}

// desk is the desk service of load B: 34 servers with speeds 0.55, 1.2, 1.2 and 1.2 in four zones,
// 0.15 of them 2.5 times as slow for 600 ms at a time.
func desk() speedLoad {
	return speedLoad{
		routes: []speedRoute{
			{
				name: "schedule", rate: 1090, work: 230 * time.Millisecond, variation: 0.3, longShare: 0.03, longBy: 7,
				objective: 800 * time.Millisecond, timeout: 1200 * time.Millisecond, kilobytes: 5, waitShare: 0.7, waitTime: 0.06,
			},
		},
		zones: []int{9, 9, 8, 8}, callers: []int{1, 1, 1, 1}, speeds: []float64{0.55, 1.2, 1.2, 1.2},
		slots: 18, length: 12 * time.Second, seed: 1, slowShare: 0.15, slowBy: 2.5, slowTime: 600 * time.Millisecond,
	}
}

func withBurst(l speedLoad) speedLoad {
	l.routes[1].burst, l.routes[1].burstFrom, l.routes[1].burstTo = 2.4, 6*time.Second, 11*time.Second
	return l
}

func withRate(l speedLoad, factor float64) speedLoad {
	l.routes[0].rate *= factor
	return l
}

func withReport(l speedLoad, report func(int, *gate.Load)) speedLoad {
	l.report = report
	return l
}

// speedCount holds the results of a route's calls.
type speedCount struct{ inTime, late, rejected, expired int }

func (c speedCount) total() int { return c.inTime + c.late + c.rejected + c.expired }

// share returns the fraction of the calls that were answered in time.
func (c speedCount) share() float64 { return float64(c.inTime) / float64(max(c.total(), 1)) }

// log prints the results by route, with the fraction of the route's calls that ran at each speed.
func (r *speedRun) log(t *testing.T, name string) {
	t.Helper()
	for _, route := range r.routes {
		c, split := r.counts[route.name], ""
		for _, s := range slices.Compact(slices.Clone(r.speeds)) {
			split += fmt.Sprintf(" %.2g:%.2f", s, r.bySpeed(route.name, s))
		}
		total := float64(c.total())
		t.Logf("%-18s %-10s in time %.3f late %.3f rejected %.3f expired %.3f mean %3.0f ms; by speed%s", name, route.name,
			c.share(), float64(c.late)/total, float64(c.rejected)/total, float64(c.expired)/total,
			ms(r.latency[route.name])/float64(max(c.inTime+c.late, 1)), split)
	}
	t.Logf("%-18s attempts %d, bytes outside the zone %.3f, at slow servers %.3f", name, r.attempts,
		r.leftZone/r.allBytes, float64(r.slowRuns)/float64(r.attempts))
}

// bySpeed returns the fraction of a route's calls that ran at the servers of a speed.
func (r *speedRun) bySpeed(route string, speed float64) float64 {
	at, all := 0, 0
	for i, n := range r.started[route] {
		all += n
		if r.speeds[i%len(r.speeds)] == speed {
			at += n
		}
	}
	return float64(at) / float64(all)
}

// compare runs a load without and with placement by speed. A route's calls must be answered in time
// as often as without it, less the tolerance.
func (l speedLoad) compare(t *testing.T, name string, tolerance float64) (before, after *speedRun) {
	t.Helper()
	before, after = l.run(t, false), l.run(t, true)
	before.log(t, name+" old")
	after.log(t, name+" new")
	for _, r := range l.routes {
		must.GreaterEq(t, before.counts[r.name].share()-tolerance, after.counts[r.name].share(), must.Sprint(name, r.name))
	}
	return before, after
}

// Load A at the signers: signatures must go to the fast servers, which have half of the capacity, and
// audits mostly to the slow ones. The load fits into the slots, so that nearly all calls must be
// answered within their objective. Fewer bytes may leave their zone than without placement by speed.
func TestSpeedLoad_Signers(t *testing.T) {
	before, after := signers().compare(t, "signers", 0)
	for _, r := range after.routes {
		must.GreaterEq(t, 0.95, after.counts[r.name].share(), must.Sprint(r.name))
	}
	must.Greater(t, 0.5, after.bySpeed("signature", 1.6))
	must.Less(t, 0.5, after.bySpeed("audit", 1.6))
	must.Less(t, before.leftZone, after.leftZone)
}

// In a burst of audits the slots do not suffice. No route may get less than without placement by
// speed.
func TestSpeedLoad_BurstOfAudits(t *testing.T) { withBurst(signers()).compare(t, "burst", 0) }

// Load B at the desks, at its usual rate and at 1.7 times of it, which needs 0.84 of the slots. A
// server that is slow must not be starved: it gets at least a third of the calls that its capacity is
// worth while all have free slots, and two thirds when the others are nearly full.
func TestSpeedLoad_Desk(t *testing.T) {
	const capacity = 0.55 * 9 / (0.55*9 + 1.2*25)
	for factor, least := range map[float64]float64{1: capacity / 3, 1.7: capacity * 2 / 3} {
		_, after := withRate(desk(), factor).compare(t, "desk", 0)
		must.GreaterEq(t, least, after.bySpeed("schedule", 0.55))
	}
}

// Gates that report no times, as those of an older version, must get exactly the calls that they get
// without placement by speed.
func TestSpeedLoad_NoReports(t *testing.T) {
	l := withReport(signers(), func(_ int, l *gate.Load) { l.RouteTime = 0 })
	before, after := l.compare(t, "no reports", 0)
	must.Eq(t, before.started, after.started)
}

// Half of the gates report no times, two report false ones, or half of the daemons restart. The
// callers must be served about as well as without placement by speed.
func TestSpeedLoad_Failures(t *testing.T) {
	const tolerance = 0.01
	withReport(signers(), func(server int, l *gate.Load) {
		if server%2 == 0 {
			l.RouteTime = 0
		}
	}).compare(t, "half report", tolerance)
	withReport(signers(), func(server int, l *gate.Load) {
		switch server {
		case 0:
			l.RouteTime /= 20
		case 5:
			l.RouteTime *= 20
		}
	}).compare(t, "false reports", tolerance)
	l := signers()
	l.restartAt = 8 * time.Second
	l.compare(t, "restart", tolerance)
}

// One of nine servers is 2.5 times as slow for 600 ms, and the daemon has several calls in flight at
// it. The server can then do 0.4 of its usual calls. From a tenth of a second on, its calls must have
// decreased at least half of the way to that, and by 600 ms after the end they must have increased
// again as far.
func TestSpeedLoad_ShortSlowdown(t *testing.T) {
	const from, slowTime = 6 * time.Second, 600 * time.Millisecond
	l := speedLoad{
		routes: []speedRoute{{name: "lookup", rate: 1500, work: 31 * time.Millisecond, variation: 0.5, objective: 120 * time.Millisecond, timeout: 400 * time.Millisecond, kilobytes: 0.4}},
		zones:  []int{9}, callers: []int{1}, speeds: []float64{1}, slots: 9, length: 9 * time.Second, seed: 1,
		slowBy: 2.5, slowTime: slowTime, slowAt: map[int]time.Duration{0: from}, daemons: 1,
	}
	for name, bySpeed := range map[string]bool{"slowdown old": false, "slowdown new": true} {
		var before, during, after float64
		l.onAttempt = func(server int, age time.Duration) {
			switch {
			case server != 0:
			case age > from-time.Second && age <= from:
				before++
			case age > from+slowTime/6 && age <= from+slowTime:
				during += 2
			case age > from+2*slowTime && age <= from+2*slowTime+time.Second:
				after++
			}
		}
		l.run(t, bySpeed).log(t, name)
		t.Logf("calls per second at the slow server: before %.0f, while slow %.0f, later %.0f", before, during, after)
		if bySpeed {
			must.Less(t, 0.7*before, during)
			must.Greater(t, 0.7*before, after)
		}
	}
}
