package balance

import (
	"time"

	"github.com/crocuscross/crocuscross/backend"
)

const (
	// reportMemory is the time after which half of a reported load is taken as
	// outdated and replaced by what is usual.
	reportMemory = instant(200 * time.Millisecond)
	// usualSpread is how many times the usual latency a server's own may be, and
	// failureSpread how much larger its share of failed calls, without counting.
	// It is chance: a daemon sees few calls of each server, and to follow their
	// noise would send calls out of the availability zone.
	usualSpread   = 2
	failureSpread = 0.05
	// failureCost is the cost of a call that is sure to fail, in latencies.
	failureCost = 10
	// minWarmth is the part of its calls that a server gets at its start.
	minWarmth = 0.1
	// warmthSteps is the resolution of warmth.
	warmthSteps = 1000
)

// member is one server of a pool.
type member struct {
	server   *backend.Server
	evidence *evidence
	// hop is the time a call loses on the way, in seconds.
	hop   float64
	local bool
	// born is when the server was first heard of.
	born      instant
	slowStart instant
}

func (p *Picker) newMember(s *backend.Server, e *evidence) *member {
	m := &member{
		server:    s,
		evidence:  e,
		born:      instant(s.FirstSeen.Sub(p.epoch)),
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
	e, usual := m.evidence, pl.baseline
	latency := usual.latency + max(e.latencyNow(usual, now)-usualSpread*usual.latency, 0)
	failing := max(e.failingNow(now)-usual.failing-failureSpread, 0)
	others := mix(usual.load, e.others.load(), decay(now-e.othersAt.load(), reportMemory))
	load := (float64(e.inFlight.Load())/m.slots() + others) / m.warmth(now)
	return m.hop + latency*(1+load) + failing*failureCost*usual.latency
}

// slots returns how many calls the server runs at once, by its gate's word or
// else by its announcement.
func (m *member) slots() float64 {
	if n := m.evidence.slots.Load(); n > 0 {
		return float64(n)
	}
	return float64(max(m.server.Slots, 1))
}

// warmth returns the part of its calls that the server gets, 1 once it is warm.
func (m *member) warmth(now instant) float64 {
	age := now - m.born
	if age >= m.slowStart {
		return 1
	}
	return max(minWarmth, float64(age)/float64(m.slowStart))
}
