package balance

import (
	"time"

	"github.com/crocuscross/crocuscross/backend"
)

const (
	// loadReportHalfLife is the age at which half of a reported load is replaced by the typical
	// load of the pool.
	loadReportHalfLife = instant(200 * time.Millisecond)
	// latencyTolerance is the multiple of the baseline latency up to which a server's latency
	// does not affect its cost, failureTolerance the excess of its failure rate over the typical
	// one that does not. Such differences are noise: a daemon observes few calls of each server,
	// and reacting to the noise would send calls out of the availability zone.
	latencyTolerance = 2
	failureTolerance = 0.05
	// failureCost is the cost of a call that is certain to fail, as a multiple of the baseline
	// latency.
	failureCost = 10
	// minSlowStartWeight is the fraction of its calls that a server gets at the beginning of its
	// slow start.
	minSlowStartWeight = 0.1
	// slowStartSteps is the resolution of the slow start weight in random draws.
	slowStartSteps = 1000
)

// member is one server of a pool.
type member struct {
	server *backend.Server
	stats  *serverStats
	// hop is the additional network time of a call to the server, in seconds.
	hop   float64
	local bool
	// firstSeen is the instant at which the server became known.
	firstSeen instant
	slowStart instant
	// index is the position of the member in its pool.
	index int
}

func (p *Picker) newMember(s *backend.Server, st *serverStats) *member {
	m := &member{
		server:    s,
		stats:     st,
		firstSeen: instant(s.FirstSeen.Sub(p.epoch)),
		slowStart: instant(p.opts.SlowStart),
	}
	switch {
	case s.Region != p.opts.Region:
		m.hop = p.opts.RegionCost.Seconds()
	case s.AvailabilityZone != p.opts.AvailabilityZone:
		m.hop = p.opts.ZoneCost.Seconds()
	default:
		m.local = true
	}
	return m
}

// cost returns the expected cost, in seconds, of a call at the member: the hop, the latency, the
// wait for a slot, and the cost of failures.
func (m *member) cost(pl *plan, now instant) float64 {
	typical := pl.baseline
	latency := typical.latency + m.excessLatency(typical, now)
	return m.hop + m.stats.rateWait(now).Seconds() + latency*(1+m.load(pl, now)) + m.failureCost(typical, typical.latency, now)
}

// excessLatency returns the time in seconds by which the latency of the member's calls exceeds what
// is tolerated.
func (m *member) excessLatency(typical baseline, now instant) float64 {
	return max(m.stats.currentLatency(typical, now)-latencyTolerance*typical.latency, 0)
}

// failureCost returns the cost in seconds of the member's failures beyond the typical ones, for a
// call that takes the given time.
func (m *member) failureCost(typical baseline, seconds float64, now instant) float64 {
	return max(m.stats.currentFailureRate(now)-typical.failureRate-failureTolerance, 0) * failureCost * seconds
}

// load returns the fraction of the slots that calls use or wait for, as far as known.
func (m *member) load(pl *plan, now instant) float64 {
	st := m.stats
	otherLoad := blend(pl.baseline.load, st.otherLoad.load(), decay(now-st.reportedAt.load(), loadReportHalfLife))
	return (float64(st.inFlight.Load())/m.slots() + otherLoad) / m.slowStartWeight(now)
}

// slots returns the number of calls that the server runs concurrently, as its gate reported or,
// without a report, as it announced.
func (m *member) slots() float64 {
	if n := m.stats.reportedSlots.Load(); n > 0 {
		return float64(n)
	}
	return float64(max(m.server.Slots, 1))
}

// slowStartWeight returns the fraction of its calls that the server gets, which is 1 after its
// slow start.
func (m *member) slowStartWeight(now instant) float64 {
	age := now - m.firstSeen
	if age >= m.slowStart {
		return 1
	}
	return max(minSlowStartWeight, float64(age)/float64(m.slowStart))
}
