package balance

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/backend"
)

const (
	// planTTL is the age at which a plan is rebuilt.
	planTTL = instant(50 * time.Millisecond)
	// rateWindow is the minimum time over which the rate of calls is measured.
	rateWindow = instant(time.Second)
	// healthyFailureRate is the failure rate below which a server is considered healthy.
	healthyFailureRate = 0.1
	// assumedLatency is the baseline latency, in seconds, until one has been measured.
	assumedLatency = 0.005
)

// pool holds the servers of one service in the current backend.Set.
type pool struct {
	servers []*backend.Server
	members []*member
	current atomic.Pointer[plan]
	// stale requests a new plan before the current one has reached planTTL.
	stale atomic.Bool
	// rebuilding is held by the goroutine that builds a new plan. Other goroutines use the old
	// plan in the meantime.
	rebuilding sync.Mutex
	// lastCount is guarded by rebuilding.
	lastCount callCount
	// estimate holds the speeds as last estimated from reports. It is guarded by rebuilding.
	estimate            *speeds
	disableSlowEjection bool
	// placeByZone is whether plans list the members by availability zone.
	placeByZone    bool
	speedPlacement bool
	// uses holds the *routeUse of each route by name, useCount their number.
	uses     sync.Map
	useCount atomic.Int64
}

// newPool returns the pool of the servers of a set. The caller holds mu.
func (p *Picker) newPool(servers []*backend.Server) *pool {
	pl := &pool{
		placeByZone: p.opts.Zones != nil, speedPlacement: p.opts.SpeedPlacement,
		// A server that is slow gets fewer calls because of its speed factor.
		disableSlowEjection: p.opts.DisableSlowEjection || p.opts.SpeedPlacement,
		servers:             servers, members: make([]*member, 0, len(servers)),
	}
	for i, s := range servers {
		st, ok := p.stats[s.ID]
		if !ok {
			st = &serverStats{}
			p.stats[s.ID] = st
		}
		m := p.newMember(s, st)
		m.index = i
		pl.members = append(pl.members, m)
	}
	pl.current.Store(pl.buildPlan(p.now()))
	return pl
}

// builtFrom reports whether the pool was built from this slice, by its address and length.
func (pl *pool) builtFrom(servers []*backend.Server) bool {
	return len(pl.servers) == len(servers) && &pl.servers[0] == &servers[0]
}

// plan returns the current plan and rebuilds it if it is outdated.
func (pl *pool) plan(now instant) *plan {
	cur := pl.current.Load()
	if now-cur.builtAt < planTTL && !pl.stale.Load() {
		return cur
	}
	if !pl.rebuilding.TryLock() {
		return cur
	}
	defer pl.rebuilding.Unlock()
	pl.stale.Store(false)
	next := pl.buildPlan(now)
	pl.current.Store(next)
	return next
}

// plan determines which members get calls. It is immutable.
type plan struct {
	builtAt instant
	// tiers are tried in order.
	tiers []tier
	// byZone holds the members of the tiers by availability zone, if calls are placed by the
	// capacity of zones.
	byZone  []zoneTier
	service string
	// ejected lists the ejected members, which get trial calls.
	ejected  []*member
	baseline baseline
	// speeds is nil if calls are not placed by the speed of servers.
	speeds *speeds
}

// tier is a list of groups of members. For each call, members are drawn from every group.
type tier [][]*member

// buildPlan sorts the members into tiers. Draining servers are omitted, and suspect ones come
// last. If more members are ejected than healthy, the healthy ones may be too few, and the cause
// of the failures is probably the path to the servers. In this case ejected and healthy members
// share a tier and are compared by cost, which includes the cost of their failures.
func (pl *pool) buildPlan(now instant) *plan {
	next := &plan{builtAt: now, baseline: pl.baseline()}
	next.baseline.callRate = pl.callRate(now)
	next.speeds = pl.buildSpeeds(now)
	var healthy, suspect, ejected zoneSplit
	for _, m := range pl.members {
		switch {
		case m.server.Draining || m.stats.draining(now):
		case m.server.Suspect:
			suspect.add(m)
		case m.stats.ejected.Load():
			ejected.add(m)
			next.ejected = append(next.ejected, m)
		default:
			healthy.add(m)
		}
	}
	if ejected.len() > healthy.len() {
		next.tiers = []tier{{healthy.local, healthy.remote, ejected.local, ejected.remote}, suspect.tier()}
	} else {
		next.tiers = []tier{healthy.tier(), ejected.tier(), suspect.tier()}
	}
	if pl.placeByZone {
		next.byZone, next.service = splitByZone(next.tiers), pl.servers[0].Service
	}
	return next
}

// trial returns an ejected member that is due for a trial call and has none in flight, or nil if
// there is none.
func (pl *plan) trial(exclude func(backend.ID) bool, now instant) *member {
	for _, m := range pl.ejected {
		st := m.stats
		if now < st.nextTrialAt.load() || exclude != nil && exclude(m.server.ID) {
			continue
		}
		if st.trialInFlight.CompareAndSwap(false, true) {
			return m
		}
	}
	return nil
}

// zoneSplit separates members inside the availability zone from those outside.
type zoneSplit struct{ local, remote []*member }

func (s *zoneSplit) add(m *member) {
	if m.local {
		s.local = append(s.local, m)
	} else {
		s.remote = append(s.remote, m)
	}
}

func (s *zoneSplit) len() int { return len(s.local) + len(s.remote) }

func (s *zoneSplit) tier() tier { return tier{s.local, s.remote} }

// baseline holds the values of a pool to which each of its servers is compared.
type baseline struct {
	// latency is the lower quartile of the latencies, in seconds. With a quartile, a few fast
	// servers are not treated as the exception.
	latency float64
	// load is the mean fraction of the slots that calls of other daemons use or wait for.
	load float64
	// failureRate and slowRate are the typical fractions of failed and of slow calls.
	failureRate, slowRate float64
	// callRate is the number of calls that end per second.
	callRate float64
}

func (pl *pool) baseline() baseline {
	n := len(pl.members)
	latencies, failureRates, slowRates := make([]float64, 0, n), make([]float64, 0, n), make([]float64, 0, n)
	load := 0.0
	for _, m := range pl.members {
		if l := m.stats.latency.load(); l > 0 {
			latencies = append(latencies, l)
			failureRates = append(failureRates, m.stats.failureRate.load())
			slowRates = append(slowRates, m.stats.slowRate.load())
			load += m.stats.otherLoad.load()
		}
	}
	if len(latencies) == 0 {
		b := baseline{latency: assumedLatency}
		if pl.speedPlacement {
			b.slowRate = 1
		}
		return b
	}
	if pl.disableSlowEjection {
		// No slow rate exceeds 1, so no server is ejected for slow calls.
		slowRates = []float64{1}
	}
	return baseline{
		latency:     quantile(latencies, 0.25),
		load:        load / float64(len(latencies)),
		failureRate: typicalFailureRate(failureRates),
		slowRate:    quantile(slowRates, 0.5),
	}
}

// typicalFailureRate returns the failure rate that is not attributed to individual servers: the
// lowest rate if a server is healthy, which shows that the calls themselves do not cause the
// failures, and the median otherwise.
func typicalFailureRate(rates []float64) float64 {
	if lowest := slices.Min(rates); lowest < healthyFailureRate {
		return lowest
	}
	return quantile(rates, 0.5)
}

// callRate returns the number of calls that end per second, measured over at least rateWindow.
func (pl *pool) callRate(now instant) float64 {
	prev := pl.lastCount
	if now-prev.at < rateWindow {
		return prev.rate
	}
	var calls int64
	for _, m := range pl.members {
		calls += m.stats.endedCalls.Load()
	}
	rate := float64(calls-prev.calls) / time.Duration(now-prev.at).Seconds()
	pl.lastCount = callCount{at: now, calls: calls, rate: rate}
	return rate
}

// callCount is the number of calls that had ended at an instant, and the rate since the previous
// count.
type callCount struct {
	at    instant
	calls int64
	rate  float64
}

func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
