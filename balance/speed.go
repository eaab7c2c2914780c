package balance

import (
	"maps"
	"math"
	"slices"
	"sync"
)

const (
	// minSpeedFactor and maxSpeedFactor limit the speed factor. A gate that reports false times can
	// neither attract all calls nor keep its server without any.
	minSpeedFactor = 0.25
	maxSpeedFactor = 4
	// speedHalfLife is the age at which a reported route time has half of its weight, speedTTL the
	// age from which on it is ignored. A daemon that sends one call per second to a server knows its
	// factor; a server that gets no call for some seconds counts as one of median speed again and is
	// tried.
	speedHalfLife = instant(3e9)
	speedTTL      = instant(15e9)
	// maxSpeedRoutes limits the number of routes whose times are kept for one server.
	maxSpeedRoutes = 32
	// speedIterations is the number of times that route times and speed factors are computed from
	// each other. Both start with the factors of the previous plan.
	speedIterations = 3
	// overdueRatio is the multiple of its expected time from which on a call in flight is overdue,
	// maxOverdueRatio the multiple up to which it counts: a few calls take many times as long as
	// others at any server.
	overdueRatio    = 1.5
	maxOverdueRatio = 3
	// overduePrior is the number of calls with the expected time that the overdue calls of a server
	// are averaged with.
	overduePrior = 2
	// A call has slack if its objective is at least maxTightRatio times the time of its route: a
	// server 1.8 times as slow as the median one that takes two mean deviations longer than usual
	// still answers it within the objective. Below minSlackRatio it has none. Between the two, the
	// preference grows linearly, so that a small change of the measured time does not move all calls
	// of a route at once.
	minSlackRatio = 3.0
	maxTightRatio = 4.0
	// similarSpeed is the ratio of speed factors up to which calls with slack do not distinguish
	// servers. Measured factors of equal servers differ by some 10%.
	similarSpeed = 1.25
	// tightCallTTL is how long after its last call a route counts as one whose calls need the fast
	// servers.
	tightCallTTL = instant(10e9)
	// crowdedLoad is the fraction of used slots above which a server may have no free slot when the
	// call arrives, as the reported load is some 100 ms old. The expected time then grows by up to
	// crowdedCost times the call's time at full use, since the gate rejects a call that cannot wait,
	// and another attempt elsewhere takes as long as a wait.
	crowdedLoad = 0.7
	crowdedCost = 1.5
)

// speedStats holds what this daemon knows about the speed of one server.
type speedStats struct {
	// factor is the logarithm of the speed factor as last estimated, regardless of its age.
	factor atomicFloat

	mu    sync.Mutex
	times map[string]routeReport
	// inFlight lists the calls in flight that have a route.
	inFlight []*Lease
}

// routeReport is the mean slot time of a route, in seconds, at the instant of the report.
type routeReport struct {
	seconds float64
	at      instant
}

// record stores a reported time.
func (s *speedStats) record(route string, seconds float64, now instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store(route, seconds, now)
}

// store does the work of record. The caller holds mu.
func (s *speedStats) store(route string, seconds float64, now instant) {
	if s.times == nil {
		s.times = make(map[string]routeReport)
	}
	if _, ok := s.times[route]; !ok && len(s.times) >= maxSpeedRoutes {
		maps.DeleteFunc(s.times, func(_ string, r routeReport) bool { return now-r.at >= speedTTL })
		if len(s.times) >= maxSpeedRoutes {
			return
		}
	}
	s.times[route] = routeReport{seconds: seconds, at: now}
}

// begin adds a call in flight.
func (s *speedStats) begin(l *Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.index = len(s.inFlight)
	s.inFlight = append(s.inFlight, l)
}

// end removes a call in flight. A call that ended without an answer would have taken at least as long
// as its latency shows: otherwise a server that answers nothing would look fast once its calls have
// timed out. A call that was canceled early shows nothing.
func (s *speedStats) end(l *Lease, unanswered bool, seconds float64, now instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.inFlight) - 1
	s.inFlight[l.index] = s.inFlight[last]
	s.inFlight[l.index].index = l.index
	s.inFlight[last] = nil
	s.inFlight = s.inFlight[:last]
	if known := s.times[l.route].seconds; unanswered && seconds >= known/2 {
		s.store(l.route, max(seconds, known), now)
	}
}

// speedSample is the time of a route at one server as it enters a plan.
type speedSample struct {
	route string
	// log is the logarithm of the time in seconds, weight its freshness.
	log, weight float64
}

// samples returns the times reported in the last seconds.
func (s *speedStats) samples(now instant) []speedSample {
	s.mu.Lock()
	defer s.mu.Unlock()
	var samples []speedSample
	for route, r := range s.times {
		if age := now - r.at; age < speedTTL && r.seconds > 0 {
			samples = append(samples, speedSample{route, math.Log(r.seconds), decay(age, speedHalfLife)})
		}
	}
	return samples
}

// overdue returns the multiple of the expected time that the calls in flight take, at least 1. times
// holds the expected times of routes at this server, in seconds.
func (s *speedStats) overdue(expected func(route string) float64, hop float64, now instant) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, sum := float64(overduePrior), float64(overduePrior)
	for _, l := range s.inFlight {
		t := expected(l.route)
		if t == 0 {
			continue
		}
		age := (now - l.startedAt - l.expectedWait).seconds() - hop
		if ratio := age / t; ratio > overdueRatio {
			n++
			sum += min(ratio, maxOverdueRatio)
		}
	}
	return sum / n
}

// speeds holds the speeds of the servers of a pool as they enter a plan. It is immutable.
type speeds struct {
	// factors holds the speed factor of each member: the time of a call at it over that at a server
	// of median speed. known is whether the factor is based on reports.
	factors []float64
	known   []bool
	// fastest and slowest are the lowest and the highest factor.
	fastest, slowest float64
	// times holds the time in seconds of each route's calls at a server of median speed.
	times map[string]float64
	// tight is whether calls that need the fast servers were made in the last seconds.
	tight bool
}

// speedEstimate is the computation of speed factors and route times from each other, all as
// logarithms. A route's time is the median over the servers of its time over the server's factor, a
// server's factor the mean over the routes of its time over the route's. The median of the plain
// times would not do: a route whose calls go to slow servers only would seem to be slow itself, and
// its servers as fast as others.
type speedEstimate struct {
	samples [][]speedSample
	factors []float64
	times   map[string]float64
}

func (e *speedEstimate) updateTimes() {
	byRoute := make(map[string][]float64)
	for i, samples := range e.samples {
		for _, s := range samples {
			byRoute[s.route] = append(byRoute[s.route], s.log-e.factors[i])
		}
	}
	e.times = make(map[string]float64, len(byRoute))
	for route, values := range byRoute {
		e.times[route] = quantile(values, 0.5)
	}
}

// freshness returns the weight of a server's latest report, 0 without one.
func (e *speedEstimate) freshness(server int) float64 {
	latest := 0.0
	for _, s := range e.samples[server] {
		latest = max(latest, s.weight)
	}
	return latest
}

func (e *speedEstimate) updateFactors() {
	var known []float64
	for i, samples := range e.samples {
		sum, weights := 0.0, 0.0
		for _, s := range samples {
			sum += (s.log - e.times[s.route]) * s.weight
			weights += s.weight
		}
		e.factors[i] = 0
		if weights > 0 {
			e.factors[i] = sum / weights
			known = append(known, e.factors[i])
		}
	}
	if len(known) == 0 {
		return
	}
	// The factor of the median server is 1.
	middle := quantile(known, 0.5)
	for i, samples := range e.samples {
		if len(samples) > 0 {
			e.factors[i] = min(max(e.factors[i]-middle, math.Log(minSpeedFactor)), math.Log(maxSpeedFactor))
		}
	}
	for route := range e.times {
		e.times[route] += middle
	}
}

// buildSpeeds returns the speeds for a plan, or nil if calls are not placed by speed.
func (pl *pool) buildSpeeds(now instant) *speeds {
	if !pl.speedPlacement {
		return nil
	}
	e := &speedEstimate{samples: make([][]speedSample, len(pl.members)), factors: make([]float64, len(pl.members))}
	for i, m := range pl.members {
		e.samples[i], e.factors[i] = m.stats.speed.samples(now), m.stats.speed.factor.load()
	}
	for range speedIterations {
		e.updateTimes()
		e.updateFactors()
	}
	next := &speeds{factors: make([]float64, len(pl.members)), known: make([]bool, len(pl.members)), times: make(map[string]float64)}
	for route, log := range e.times {
		next.times[route] = math.Exp(log)
	}
	for i, m := range pl.members {
		m.stats.speed.factor.store(e.factors[i])
		next.factors[i], next.known[i] = math.Exp(e.factors[i]*e.freshness(i)), len(e.samples[i]) > 0
	}
	pl.applyOverdue(next, now)
	next.fastest, next.slowest = slices.Min(next.factors), slices.Max(next.factors)
	next.tight = pl.hasTightCalls(next, now)
	return next
}

// applyOverdue raises the factors of the servers whose calls in flight are overdue. If those of most
// servers are, the cause is another one, such as a slow service that all of them call.
func (pl *pool) applyOverdue(s *speeds, now instant) {
	ratios := make([]float64, len(pl.members))
	for i, m := range pl.members {
		ratios[i] = m.stats.speed.overdue(func(route string) float64 { return s.times[route] * s.factors[i] }, m.hop, now)
	}
	typical := quantile(slices.Clone(ratios), 0.5)
	for i, ratio := range ratios {
		s.factors[i] = min(s.factors[i]*max(ratio/typical, 1), maxSpeedFactor)
	}
}

// routeUse holds the latest call of a route.
type routeUse struct {
	objective atomicFloat
	at        atomicInstant
	nested    bool
}

// recordUse records that a call is made.
func (pl *pool) recordUse(o PickOptions, now instant) {
	if !pl.speedPlacement || o.Route == "" || o.Objective == 0 && !o.Nested {
		return
	}
	v, ok := pl.uses.Load(o.Route)
	if !ok {
		if pl.useCount.Add(1) > maxSpeedRoutes {
			return
		}
		v, _ = pl.uses.LoadOrStore(o.Route, &routeUse{nested: o.Nested})
	}
	use := v.(*routeUse)
	use.objective.store(o.Objective.Seconds())
	use.at.store(now)
}

// hasTightCalls reports whether calls without full slack were made in the last seconds.
func (pl *pool) hasTightCalls(s *speeds, now instant) bool {
	found := false
	pl.uses.Range(func(route, v any) bool {
		use := v.(*routeUse)
		t := s.times[route.(string)]
		recent := now-use.at.load() < tightCallTTL
		found = recent && t > 0 && (use.nested || use.objective.load() < maxTightRatio*t)
		return !found
	})
	return found
}

// slack returns how much of a call's preference for fast servers is replaced by one for slow servers,
// between 0 and 1. t is the time of its route in seconds. A nested call has no slack: the request
// that it is made for waits for it.
func (s *speeds) slack(o PickOptions, t float64) float64 {
	if !s.tight || o.Nested {
		return 0
	}
	return min(max((o.Objective.Seconds()/t-minSlackRatio)/(maxTightRatio-minSlackRatio), 0), 1)
}

// cost returns the cost of a call at a member. Calls of a route whose time is known are placed by
// the speed of the servers.
func (pl *plan) cost(m *member, o PickOptions, now instant) float64 {
	if s := pl.speeds; s != nil {
		if t := s.times[o.Route]; t > 0 {
			return s.cost(pl, m, o, t, now)
		}
	}
	return o.latencyCost(m.cost(pl, now))
}

// cost returns the cost of a call whose route takes t seconds at a server of median speed. A call
// with slack prefers, among the servers in its zone that have a free slot, the slow ones.
func (s *speeds) cost(pl *plan, m *member, o PickOptions, t float64, now instant) float64 {
	factor, load := s.factors[m.index], m.load(pl, now)
	latency := t * factor
	if !s.known[m.index] {
		latency += m.excessLatency(pl.baseline, now)
	}
	crowding := crowdedCost * max(load-crowdedLoad, 0) / (1 - crowdedLoad)
	expected := m.hop + m.stats.rateWait(now).Seconds() + latency*(1+load+crowding) + m.failureCost(pl.baseline, t, now)
	cost := o.latencyCost(expected)
	if slack := s.slack(o, t); slack > 0 {
		cost += slack * o.Objective.Seconds() * s.slowPreference(m, load)
	}
	return cost
}

// slowPreference returns the cost, between 0 and 1, that keeps calls with slack away from fast
// servers, and from those that have no free slot. Outside the zone it is that of the fastest server,
// so that no call leaves its zone for the sake of a slow server.
func (s *speeds) slowPreference(m *member, load float64) float64 {
	if load+1/m.slots() > 1 {
		return 1
	}
	factor := s.factors[m.index]
	if !m.local {
		factor = s.fastest
	}
	return max(1-similarSpeed*factor/s.slowest, 0)
}
