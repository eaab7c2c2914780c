package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/errkind"
)

// speedHarness is a picker that places calls by speed, with a clock that the test controls.
type speedHarness struct {
	*Picker
	clock   time.Time
	servers []*backend.Server
}

func newSpeedHarness(n int) *speedHarness {
	h := &speedHarness{clock: time.Unix(1e9, 0)}
	opts := DefaultOptions()
	opts.AvailabilityZone, opts.SpeedPlacement = "a", true
	opts.Now = func() time.Time { return h.clock }
	opts.Rand = rand.New(rand.NewPCG(1, 1)).IntN
	h.Picker = New(opts)
	for i := range n {
		h.servers = append(h.servers, &backend.Server{
			ID: backend.ID{Host: fmt.Sprint(i), Service: "s"}, AvailabilityZone: "a", Slots: 9, FirstSeen: h.clock.Add(-time.Hour),
		})
	}
	return h
}

var (
	signature = PickOptions{Route: "signature", Objective: 250 * time.Millisecond}
	audit     = PickOptions{Route: "audit", Objective: 3 * time.Second}
)

// callAt makes a call at one server, whose gate reports the time of the route.
func (h *speedHarness) callAt(t *testing.T, server int, o PickOptions, reported time.Duration) {
	t.Helper()
	l := h.pickAt(t, server, o)
	l.Done(Result{Status: 200, Latency: reported, Load: &Load{Slots: 9, RouteTime: reported}})
}

// pickAt assigns a call to one server.
func (h *speedHarness) pickAt(t *testing.T, server int, o PickOptions) *Lease {
	t.Helper()
	o.Exclude = func(id backend.ID) bool { return id != h.servers[server].ID }
	l, err := h.PickWithOptions(h.servers, o)
	must.NoError(t, err)
	return l
}

// speeds returns the speeds of a new plan, from the reports until now.
func (h *speedHarness) speeds() *speeds {
	pool := h.pool(h.servers)
	pool.estimate = nil
	return pool.buildSpeeds(h.now())
}

// shares returns the fraction of n calls that each server gets, with no call in flight before.
func (h *speedHarness) shares(t *testing.T, n int, o PickOptions) []float64 {
	t.Helper()
	shares := make([]float64, len(h.servers))
	h.clock = h.clock.Add(time.Duration(speedInterval))
	for range n {
		l, err := h.PickWithOptions(h.servers, o)
		must.NoError(t, err)
		for i, s := range h.servers {
			if s == l.Server() {
				shares[i] += 1 / float64(n)
			}
		}
		l.Done(Result{Kind: errkind.Overloaded})
	}
	return shares
}

// reportSpeeds makes both routes known at servers with speeds 0.7, 0.7 and 1.6.
func (h *speedHarness) reportSpeeds(t *testing.T) {
	t.Helper()
	for i, speed := range []float64{0.7, 0.7, 1.6} {
		h.callAt(t, i, signature, time.Duration(86/speed)*time.Millisecond)
		h.callAt(t, i, audit, time.Duration(490/speed)*time.Millisecond)
	}
}

// With idle servers of speeds 0.7, 0.7 and 1.6, signatures must go to the fast one and audits leave
// it free. Without signatures, audits have no reason to prefer slow servers.
func TestSpeed_TightCallsOnFastServers(t *testing.T) {
	h := newSpeedHarness(3)
	h.reportSpeeds(t)
	must.Greater(t, 0.6, h.shares(t, 1000, signature)[2])
	must.Eq(t, 0, h.shares(t, 1000, audit)[2])
	h.clock = h.clock.Add(time.Duration(useTTL))
	for i, speed := range []float64{0.7, 0.7, 1.6} {
		h.callAt(t, i, audit, time.Duration(490/speed)*time.Millisecond)
	}
	must.Greater(t, 0.6, h.shares(t, 1000, audit)[2])
}

// The mix of calls that a server gets must not be mistaken for its speed: servers of equal speed,
// one with signatures only and one with audits only, have the same factor.
func TestSpeed_MixOfCallsIsNotSpeed(t *testing.T) {
	h := newSpeedHarness(3)
	h.callAt(t, 0, signature, 86*time.Millisecond)
	h.callAt(t, 1, audit, 490*time.Millisecond)
	h.callAt(t, 2, signature, 86*time.Millisecond)
	h.callAt(t, 2, audit, 490*time.Millisecond)
	must.Eq(t, []float64{1, 1, 1}, h.speeds().factors)
}

// Once signatures go to the fast server only and audits to the slow ones only, no route is measured
// at both. The factors must stay as they are: otherwise all servers would seem equal, calls would be
// mixed again, and the placement would oscillate.
func TestSpeed_FactorsRemainWhenRoutesAreSeparate(t *testing.T) {
	h := newSpeedHarness(3)
	h.reportSpeeds(t)
	for range 300 {
		h.clock = h.clock.Add(100 * time.Millisecond)
		h.callAt(t, 0, audit, 700*time.Millisecond)
		h.callAt(t, 1, audit, 700*time.Millisecond)
		h.callAt(t, 2, signature, 53*time.Millisecond)
	}
	s := h.speeds()
	must.InDelta(t, 0.7/1.6, s.factors[2]/s.factors[0], 0.05)
	must.InDelta(t, 0.7, s.times["audit"], 0.03)
}

// Reports lose their weight and then count as none, so that a server that was slow gets calls again.
func TestSpeed_OldReportsAreForgotten(t *testing.T) {
	h := newSpeedHarness(3)
	h.reportSpeeds(t)
	must.InDelta(t, 0.7/1.6, h.speeds().factors[2], 0.01)
	h.clock = h.clock.Add(time.Duration(2 * speedHalfLife))
	must.Greater(t, 0.75, h.speeds().factors[2])
	h.clock = h.clock.Add(time.Duration(speedTTL))
	must.Eq(t, []float64{1, 1, 1}, h.speeds().factors)
}

// A gate that reports false times, or a server of an older version whose gate reports none, must
// not change the factors of the others, and its own stays within the limits.
func TestSpeed_FalseAndMissingReports(t *testing.T) {
	for reported, want := range map[time.Duration]float64{time.Microsecond: minSpeedFactor, time.Hour: maxSpeedFactor, 0: 1} {
		h := newSpeedHarness(4)
		for i := range 3 {
			h.callAt(t, i, signature, 100*time.Millisecond)
		}
		h.callAt(t, 3, signature, reported)
		must.Eq(t, []float64{1, 1, 1, want}, h.speeds().factors)
		must.InDelta(t, 0.1, h.speeds().times["signature"], 0.001)
	}
}

// A server slows down after its last report. Its calls in flight show that within a tenth of a
// second after they are overdue, and its factor is as before once they have ended.
func TestSpeed_OverdueCallsRaiseFactor(t *testing.T) {
	h := newSpeedHarness(3)
	for i := range 3 {
		h.callAt(t, i, signature, 100*time.Millisecond)
	}
	slow := []*Lease{h.pickAt(t, 0, signature), h.pickAt(t, 0, signature)}
	h.clock = h.clock.Add(140 * time.Millisecond)
	must.Eq(t, []float64{1, 1, 1}, h.speeds().factors)
	h.clock = h.clock.Add(100 * time.Millisecond)
	must.Greater(t, 1.6, h.speeds().factors[0])
	must.Less(t, 0.2, h.shares(t, 1000, signature)[0])
	for _, l := range slow {
		l.Done(Result{Status: 200, Latency: 250 * time.Millisecond, Load: &Load{Slots: 9, RouteTime: 100 * time.Millisecond}})
	}
	must.Eq(t, []float64{1, 1, 1}, h.speeds().factors)
}

// The calls at all servers are overdue because a service that they call is slow. No server may be
// avoided for that reason.
func TestSpeed_OverdueEverywhere(t *testing.T) {
	h := newSpeedHarness(4)
	for i := range 4 {
		h.callAt(t, i, signature, 100*time.Millisecond)
	}
	for i := range 4 {
		h.pickAt(t, i, signature)
	}
	h.clock = h.clock.Add(300 * time.Millisecond)
	must.Eq(t, []float64{1, 1, 1, 1}, h.speeds().factors)
}

// A server that answers nothing must not look as fast as before when its calls have timed out. It is
// not ejected, and is tried again once its reports are old.
func TestSpeed_UnansweredCallsCount(t *testing.T) {
	h := newSpeedHarness(3)
	for i := range 3 {
		h.callAt(t, i, signature, 100*time.Millisecond)
	}
	for range 30 {
		l := h.pickAt(t, 0, signature)
		h.clock = h.clock.Add(800 * time.Millisecond)
		l.Done(Result{Kind: errkind.Deadline, Latency: 800 * time.Millisecond})
		h.callAt(t, 1, signature, 100*time.Millisecond)
		h.callAt(t, 2, signature, 100*time.Millisecond)
	}
	must.Eq(t, maxSpeedFactor, h.speeds().factors[0])
	must.False(t, h.pool(h.servers).members[0].stats.ejected.Load())
	must.Less(t, 0.1, h.shares(t, 1000, signature)[0])
	h.clock = h.clock.Add(time.Duration(speedTTL))
	must.Greater(t, 0.2, h.shares(t, 1000, signature)[0])
}

// Callers choose no route names, but a document may have many routes. The memory per server is
// bounded, and a route that is in use is kept.
func TestSpeed_BoundedRoutes(t *testing.T) {
	h := newSpeedHarness(1)
	for i := range 10 * maxSpeedRoutes {
		h.callAt(t, 0, PickOptions{Route: fmt.Sprint(i), Objective: time.Second}, time.Second)
		h.callAt(t, 0, signature, 100*time.Millisecond)
		h.clock = h.clock.Add(time.Second)
	}
	stats := &h.pool(h.servers).members[0].stats.speed
	must.LessEq(t, maxSpeedRoutes, len(stats.times))
	must.MapContainsKey(t, stats.times, "signature")
	must.SliceEmpty(t, stats.inFlight)
}

// The metric must show the servers that differ most, no more than its limit, and none whose gate
// reports nothing.
func TestSpeedFactors(t *testing.T) {
	h := newSpeedHarness(5)
	for i, reported := range []time.Duration{100, 100, 300, 120, 0} {
		h.callAt(t, i, signature, reported*time.Millisecond)
	}
	h.clock = h.clock.Add(time.Duration(planTTL))
	h.pickAt(t, 0, signature)
	factors := h.SpeedFactors(2)
	must.Len(t, 2, factors)
	must.Eq(t, "2", factors[0].Server.Host)
	must.InDelta(t, 3, factors[0].Factor, 0.1)
	must.Eq(t, "3", factors[1].Server.Host)
	must.Len(t, 4, h.SpeedFactors(10))
	must.SliceEmpty(t, newHarness(1).SpeedFactors(10))
}
