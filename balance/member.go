package balance

import (
	"time"

	"github.com/crocuscross/crocuscross/backend"
)

const (
	// loadReportHalfLife is the time after which half of a reported load is taken as
	// outdated and replaced by what is usual.
	loadReportHalfLife = instant(200 * time.Millisecond)
	// latencyTolerance is how many times the usual latency a server's own may be, and
	// failureSpread how much larger its share of failed calls, without counting.
	// It is chance: a daemon sees few calls of each server, and to follow their
	// noise would send calls out of the availability zone.
	latencyTolerance = 2
	failureTolerance = 0.05
	// failureCost is the cost of a call that is sure to fail, in latencies.
	failureCost = 10
	// minSlowStartWeight is the part of its calls that a server gets at its start.
	minSlowStartWeight = 0.1
	// slowStartSteps is the resolution of warmth.
	slowStartSteps = 1000
)

// member is one server of a pool.
type member struct {
	server *backend.Server
	stats  *serverStats
	// hop is the time a call loses on the way, in seconds.
	hop   float64
	local bool
	// since is when the server was first heard of.
	since     instant
	slowStart instant
}

func (p *Picker) newMember(s *backend.Server, e *serverStats) *member {
	m := &member{
		server:    s,
		stats:     e,
		since:     instant(s.FirstSeen.Sub(p.epoch)),
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

// cost is the time in seconds that a call is expected to take at the member:
// the hop, the latency seen, the wait for a slot, and what failures cost.
func (m *member) cost(pl *plan, now instant) float64 {
	e, typical := m.stats, pl.baseline
	latency := typical.latency + max(e.currentLatency(typical, now)-latencyTolerance*typical.latency, 0)
	excessFailureRate := max(e.currentFailureRate(now)-typical.failureRate-failureTolerance, 0)
	otherLoad := blend(typical.load, e.otherLoad.load(), decay(now-e.reportedAt.load(), loadReportHalfLife))
	load := (float64(e.inFlight.Load())/m.slots() + otherLoad) / m.slowStartWeight(now)
	return m.hop + latency*(1+load) + excessFailureRate*failureCost*typical.latency
}

// slots returns how many calls the server runs at once, by its gate's word or
// else by its announcement.
func (m *member) slots() float64 {
	if n := m.stats.reportedSlots.Load(); n > 0 {
		return float64(n)
	}
	return float64(max(m.server.Slots, 1))
}

// slowStartWeight returns the part of its calls that the server gets, 1 once it is warm.
func (m *member) slowStartWeight(now instant) float64 {
	age := now - m.since
	if age >= m.slowStart {
		return 1
	}
	return max(minSlowStartWeight, float64(age)/float64(m.slowStart))
}
