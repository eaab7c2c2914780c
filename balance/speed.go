package balance

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
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
	speedHalfLife = instant(3 * time.Second)
	speedTTL      = instant(15 * time.Second)
	// maxSpeedRoutes limits the number of routes whose times are kept for one server.
	maxSpeedRoutes = 32
	// speedIterations is the number of times that route times and speed factors are computed from
	// each other. Both start with the factors of the previous plan.
	speedIterations = 3
	// speedInterval is the time between two evaluations of the reports, which change little meanwhile.
	speedInterval = instant(200 * time.Millisecond)
	// overdueRatio is the multiple of its expected time from which on a call in flight is overdue,
	// maxOverdueRatio the multiple up to which it counts: a few calls take many times as long as
	// others at any server.
	overdueRatio    = 1.5
	maxOverdueRatio = 3
	// overduePrior is the number of calls with the expected time that the overdue calls of a server
	// are averaged with.
	overduePrior = 2
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
	// at is when the reports were evaluated.
	at instant
	// factors holds the speed factor of each member: the time of a call at it over that at a server
	// of median speed. known is whether the factor is based on reports.
	factors []float64
	known   []bool
	// fastest and slowest are the lowest and the highest factor, without those of a tenth of the
	// servers each: a gate that reports false times must not set the scale for the others.
	fastest, slowest float64
	// times holds the time in seconds of each route's calls at a server of median speed.
	times map[string]float64
	// hasTight and hasSlack are whether calls that need the fast servers, and such that may go to slow
	// ones, were made in the last seconds.
	hasTight, hasSlack bool
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

// buildSpeeds returns the speeds for a plan, or nil if calls are not placed by speed. Overdue calls
// count in each plan, whereas the reports are evaluated once per speedInterval.
func (pl *pool) buildSpeeds(now instant) *speeds {
	if !pl.speedPlacement {
		return nil
	}
	if e := pl.estimate; e == nil || len(e.times) == 0 || now-e.at >= speedInterval {
		pl.estimate = pl.estimateSpeeds(now)
	}
	next := *pl.estimate
	next.factors = slices.Clone(next.factors)
	pl.applyOverdue(&next, now)
	next.fastest, next.slowest = extremes(next.factors)
	next.hasTight, next.hasSlack = pl.recentCalls(&next, now)
	return &next
}

// estimateSpeeds returns the speeds as far as reports show them.
func (pl *pool) estimateSpeeds(now instant) *speeds {
	n := len(pl.members)
	e := &speedEstimate{samples: make([][]speedSample, n), factors: make([]float64, n)}
	for i, m := range pl.members {
		e.samples[i], e.factors[i] = m.stats.speed.samples(now), m.stats.speed.factor.load()
	}
	for range speedIterations {
		e.updateTimes()
		e.updateFactors()
	}
	s := &speeds{at: now, factors: make([]float64, n), known: make([]bool, n), times: make(map[string]float64)}
	for route, log := range e.times {
		s.times[route] = math.Exp(log)
	}
	for i, m := range pl.members {
		m.stats.speed.factor.store(e.factors[i])
		s.factors[i], s.known[i] = math.Exp(e.factors[i]*e.freshness(i)), len(e.samples[i]) > 0
	}
	return s
}

// extremes returns the lowest and the highest factor without a tenth of the factors at either end,
// rounded down.
func extremes(factors []float64) (lowest, highest float64) {
	sorted := slices.Sorted(slices.Values(factors))
	omitted := len(sorted) / 10
	return sorted[omitted], sorted[len(sorted)-1-omitted]
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
