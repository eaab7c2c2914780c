package capacity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/gate"
)

// clock is the time of a test.
type clock struct{ now time.Time }

func newClock() *clock { return &clock{now: time.Unix(1000, 0)} }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func (c *clock) zones(host, zone string) *Zones {
	return New(Options{AvailabilityZone: zone, Host: host, Now: func() time.Time { return c.now }})
}

func observe(z *Zones, zone, host string, calls int) {
	z.Observe(Gate{"s", zone, host}, gate.Load{InUse: min(calls, 10), Queued: max(calls-10, 0), Slots: 10}, false)
}

func TestPressure(t *testing.T) {
	for use, want := range map[float64]float64{0: 0, 0.8: 0, 0.9: 0.5, 1: 1, 1.5: 1.5, 3: 3, 7: 3} {
		must.InDelta(t, want, Pressure(use), 1e-9, must.Sprint(use))
	}
}

// Without the subtraction of the answered call, a server with one slot always looks full.
func TestZones_AnsweredCallDoesNotCount(t *testing.T) {
	z := newClock().zones("h", "a")
	z.Observe(Gate{"s", "a", "h"}, gate.Load{InUse: 1, Slots: 1}, true)
	k := z.View("s").Zone("a")
	must.True(t, k.Known)
	must.Eq(t, 0, k.Use)
}

// A zone whose reports stop must become unknown, so that calls are not placed by an old state.
func TestZones_ForgetsAZoneWithoutReports(t *testing.T) {
	c := newClock()
	z := c.zones("h", "a")
	observe(z, "b", "1", 5)
	c.advance(reportTTL - time.Millisecond)
	k := z.View("s").Zone("b")
	must.True(t, k.Known)
	must.InDelta(t, 0.5, k.Use, 1e-9)
	must.True(t, k.Stale)
	c.advance(reportTTL)
	must.False(t, z.View("s").Zone("b").Known)
	must.MapEmpty(t, z.services["s"].zones)
}

// The use must follow a change of the load as soon as most gates have reported it, and later for
// reports that other daemons passed on.
func TestZones_FollowsReports(t *testing.T) {
	c := newClock()
	z := c.zones("h", "a")
	for host := range 6 {
		observe(z, "a", fmt.Sprint(host), 2)
		z.Learn("s", fmt.Sprint(host), Entry{AvailabilityZone: "a", Use: 0.2})
	}
	c.advance(staleAge + time.Millisecond)
	must.InDelta(t, 0.2, z.View("s").Zone("a").Use, 1e-9)
	must.True(t, z.View("s").Zone("a").Stale)
	for host := range 6 {
		observe(z, "a", fmt.Sprint(host), 10)
	}
	c.advance(viewTTL)
	must.Greater(t, 0.8, z.View("s").Zone("a").Use)
	must.False(t, z.View("s").Zone("a").Stale)
}

// One gate of a zone reports a load that is far too high or too low. The use of the zone must not
// follow it, whether the zone has few gates or many.
func TestZones_FalseReport(t *testing.T) {
	for gates := 3; gates <= 9; gates += 3 {
		for _, reported := range []int{0, 10_000} {
			z := newClock().zones("h", "a")
			observe(z, "b", "false", reported)
			for i := range gates - 1 {
				observe(z, "b", fmt.Sprint(i), 8+i%2)
			}
			use := z.View("s").Zone("b").Use
			must.Between(t, 0.8, use, 0.9, must.Sprint(gates, reported))
		}
	}
}

// Other daemons name zones and hosts. The memory they can occupy is bounded.
func TestZones_BoundedMemory(t *testing.T) {
	z := newClock().zones("h", "a")
	for i := range 10_000 {
		z.Learn("s", fmt.Sprint("host", i), Entry{AvailabilityZone: "b", Use: 0.5})
		z.Learn("s", "host", Entry{AvailabilityZone: fmt.Sprint("zone", i), Use: 0.5})
	}
	must.LessEq(t, maxZones, len(z.services["s"].zones))
	must.LessEq(t, maxReporters, len(z.services["s"].zones["b"].learned))
}

// After a failed attempt the zone is unknown, whatever other daemons say of it, until it answers.
func TestZones_FailedAttempt(t *testing.T) {
	c := newClock()
	z := c.zones("h", "a")
	b := Gate{"s", "b", "1"}
	observe(z, "b", "1", 5)
	observe(z, "b", "2", 5)
	must.True(t, z.View("s").Zone("b").Known)
	z.ObserveFailure(b)
	z.Learn("s", "x", Entry{AvailabilityZone: "b", Use: 0.5})
	must.False(t, z.View("s").Zone("b").Known)
	c.advance(viewTTL)
	observe(z, "b", "2", 5)
	must.True(t, z.View("s").Zone("b").Known)
	z.ObserveFailure(b)
	c.advance(failureTTL)
	must.True(t, z.View("s").Zone("b").Known)
	must.Eq(t, 1, len(z.services["s"].zones["b"].observed))
}

// A daemon passes on what it has observed, its own zone first, at most once in 200 ms per receiver
// and at most four zones. What it has learned from others is not passed on.
func TestZones_Report(t *testing.T) {
	c := newClock()
	z := c.zones("h", "c")
	for i, zone := range []string{"a", "b", "c", "d", "e"} {
		observe(z, zone, "1", 9-i)
	}
	z.Learn("s", "other", Entry{AvailabilityZone: "f", Use: 0.1})
	c.advance(30 * time.Millisecond)
	entries := z.Report("s", "r1")
	must.Len(t, maxEntries, entries)
	must.Eq(t, Entry{AvailabilityZone: "c", Use: 0.7, Age: 30 * time.Millisecond}, entries[0])
	must.Eq(t, "e", entries[1].AvailabilityZone)
	must.Len(t, 0, z.Report("s", "r1"))
	must.Len(t, maxEntries, z.Report("s", "r2"))
	c.advance(reportInterval)
	must.Len(t, maxEntries, z.Report("s", "r1"))
	must.Len(t, 0, z.Report("unknown", "r3"))
	must.Len(t, 0, z.Report("s", ""))
	c.advance(receiverTTL)
	observe(z, "c", "1", 1)
	z.Report("s", "r2")
	must.MapLen(t, 1, z.reportedAt)
}

// An older entry does not replace a newer one of the same daemon, and an entry that is too old, or
// has a use that no gate can have, does no harm.
func TestZones_Learn(t *testing.T) {
	c := newClock()
	z := c.zones("h", "a")
	z.Learn("s", "x", Entry{AvailabilityZone: "b", Use: 0.5, Age: 100 * time.Millisecond})
	z.Learn("s", "x", Entry{AvailabilityZone: "b", Use: 0.9, Age: 200 * time.Millisecond})
	use := z.View("s").Zone("b").Use
	must.Eq(t, 0.5, use)
	z.Learn("s", "x", Entry{AvailabilityZone: "c", Use: 0.5, Age: reportTTL})
	z.Learn("s", "x", Entry{AvailabilityZone: "d", Use: 1e9})
	c.advance(viewTTL)
	must.False(t, z.View("s").Zone("c").Known)
	use = z.View("s").Zone("d").Use
	must.Eq(t, maxUse, use)
}

const kilobyteTime = 10 * time.Millisecond

// known returns a zone of known use behind a hop.
func known(use float64, hop time.Duration) Candidate {
	return Candidate{Knowledge: Knowledge{Use: use, Known: true}, Hop: hop}
}

// Load A of docs/load-management.md: a read of 490 ms and 400 bytes must leave a full zone first, a
// signature of 86 ms and 6.2 kB last, and a lookup of 31 ms in between.
func TestCall_OrderOfLeaving(t *testing.T) {
	audit := Call{ServiceTime: 490 * time.Millisecond, Bytes: 1000, KilobyteTime: kilobyteTime}
	lookup := Call{ServiceTime: 31 * time.Millisecond, Bytes: 1000, KilobyteTime: kilobyteTime}
	signature := Call{ServiceTime: 86 * time.Millisecond, Bytes: 6800, KilobyteTime: kilobyteTime}
	threshold := func(c Call) float64 {
		for use := 0.8; use < 3; use += 0.01 {
			if c.leaveProbability(Pressure(use), known(0, time.Millisecond)) > 0 {
				return use
			}
		}
		return 3
	}
	must.Less(t, threshold(lookup), threshold(audit))
	must.Less(t, threshold(signature), threshold(lookup))
}

// The probability is 0 where a call saves what it costs and 1 where it saves twice that, and never
// more than the difference of the pressures.
func TestCall_LeaveProbability(t *testing.T) {
	c := Call{ServiceTime: 100 * time.Millisecond, Bytes: 9000, KilobyteTime: kilobyteTime}
	must.Eq(t, 0, c.leaveProbability(1, known(0, 10*time.Millisecond)))
	must.InDelta(t, 0.5, c.leaveProbability(1.5, known(0, 10*time.Millisecond)), 1e-9)
	must.Eq(t, 1, c.leaveProbability(2, known(0, 10*time.Millisecond)))
	must.Eq(t, 0, c.leaveProbability(2, known(2, 10*time.Millisecond)))
	must.Eq(t, 0, c.leaveProbability(1, known(2, 10*time.Millisecond)))
	free := Call{ServiceTime: time.Second}
	must.InDelta(t, 0.2, free.leaveProbability(0.2, known(0, 0)), 1e-9)
}

// leaving counts the calls of 10,000 that go to each candidate.
func leaving(c Call, own float64, others []Candidate) map[string]int {
	rng := rand.New(rand.NewPCG(1, 1))
	counts := make(map[string]int)
	for range 10_000 {
		if i, reason := c.Choose(Knowledge{Use: own, Known: true}, others, rng.Float64); i >= 0 {
			counts[others[i].AvailabilityZone+" "+reason.String()]++
		}
	}
	return counts
}

func TestCall_Choose(t *testing.T) {
	c := Call{ServiceTime: 490 * time.Millisecond, Bytes: 1000, KilobyteTime: kilobyteTime}
	full := Candidate{AvailabilityZone: "full", Knowledge: Knowledge{Use: 1.3, Known: true}}
	free := Candidate{AvailabilityZone: "free", Knowledge: Knowledge{Use: 0.5, Known: true}}
	unknown := Candidate{AvailabilityZone: "unknown"}
	must.MapEmpty(t, leaving(c, 1.3, []Candidate{full, full}), must.Sprint("equally full zones"))
	must.MapEmpty(t, leaving(c, 0.7, []Candidate{free, unknown}), must.Sprint("own zone has free slots"))
	must.Eq(t, map[string]int{"free relief": 10_000}, leaving(c, 1.3, []Candidate{full, free}))
	probes := leaving(c, 1.3, []Candidate{full, unknown})
	must.MapLen(t, 1, probes)
	must.Between(t, 10_000/probeInterval/2, probes["unknown probe"], 10_000/probeInterval*2)
	stale := full
	stale.Stale = true
	probes = leaving(c, 1.3, []Candidate{stale})
	must.Between(t, 10_000/probeInterval/2, probes["full probe"], 10_000/probeInterval*2)
	two := leaving(c, 1.3, []Candidate{free, free})
	must.Eq(t, 10_000, two["free relief"])
}

// A call that its own zone refuses must not go on to a zone that is as full. While it can wait
// longer in its own zone, its bytes count.
func TestCall_MayTakeRefused(t *testing.T) {
	c := Call{ServiceTime: 86 * time.Millisecond, Bytes: 6800, KilobyteTime: kilobyteTime}
	upload := Call{ServiceTime: 270 * time.Millisecond, Bytes: 60_000, KilobyteTime: kilobyteTime}
	full, free, stale := known(1.1, 0), known(0.5, 0), known(1.1, 0)
	stale.Stale = true
	for _, final := range []bool{false, true} {
		c.Final, upload.Final = final, final
		must.False(t, c.MayTakeRefused(1.1, full))
		must.True(t, c.MayTakeRefused(0.9, free), must.Sprint("its zone counts as full"))
		must.Eq(t, final, upload.MayTakeRefused(1.1, free))
		must.True(t, c.MayTakeRefused(1.1, Candidate{}), must.Sprint("unknown"))
		must.True(t, c.MayTakeRefused(1.1, stale), must.Sprint("full some time ago"))
	}
}

// A call that a gate has refused leaves although its zone has free slots on average, if that pays. On
// its last attempt it goes to a zone with room whatever its bytes, and never to one that is full.
func TestCall_ChooseAfterRefusal(t *testing.T) {
	upload := Call{ServiceTime: 270 * time.Millisecond, Bytes: 60_000, KilobyteTime: kilobyteTime}
	audit := Call{ServiceTime: 490 * time.Millisecond, Bytes: 1000, KilobyteTime: kilobyteTime}
	full, free := known(1.1, time.Millisecond), known(0.5, time.Millisecond)
	must.MapEmpty(t, leaving(audit, 0.7, []Candidate{free}))
	audit.Refused, upload.Refused = true, true
	must.Eq(t, 10_000, leaving(audit, 0.7, []Candidate{free})[" relief"])
	must.MapEmpty(t, leaving(upload, 0.7, []Candidate{free}))
	upload.Final = true
	must.Eq(t, 10_000, leaving(upload, 0.7, []Candidate{free})[" relief"])
	must.MapEmpty(t, leaving(upload, 1.1, []Candidate{full}))
}
