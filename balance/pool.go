package balance

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/backend"
)

const (
	// planTTL is how old a plan gets before it is made anew.
	planTTL = instant(50 * time.Millisecond)
	// rateWindow is the time over which the rate of calls is taken.
	rateWindow = instant(time.Second)
	// healthyFailureRate is the share of failed calls below which a server does well.
	healthyFailureRate = 0.1
	// assumedLatency is the latency, in seconds, until one was seen.
	assumedLatency = 0.005
)

// pool is the servers of one service as the set in force lists them.
type pool struct {
	servers []*backend.Server
	members []*member
	current atomic.Pointer[plan]
	// stale asks for a new plan before the present one is old.
	stale atomic.Bool
	// rebuilding is held by the one goroutine that makes a new plan; the others
	// use the old one meanwhile.
	rebuilding sync.Mutex
	// lastCount is guarded by making.
	lastCount           callCount
	disableSlowEjection bool
}

// newPool builds the pool of a set's servers. The caller holds mu.
func (p *Picker) newPool(servers []*backend.Server) *pool {
	pl := &pool{disableSlowEjection: p.opts.DisableSlowEjection, servers: servers, members: make([]*member, 0, len(servers))}
	for _, s := range servers {
		e, ok := p.stats[s.ID]
		if !ok {
			e = &serverStats{}
			p.stats[s.ID] = e
		}
		pl.members = append(pl.members, p.newMember(s, e))
	}
	pl.current.Store(pl.buildPlan(p.now()))
	return pl
}

// builtFrom reports whether the pool was built from this very slice.
func (pl *pool) builtFrom(servers []*backend.Server) bool {
	return len(pl.servers) == len(servers) && &pl.servers[0] == &servers[0]
}

// plan returns the present plan and makes a new one when it is due.
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

// plan says which members take calls. It is immutable.
type plan struct {
	builtAt instant
	// tiers are tried in order.
	tiers []tier
	// ejected members get a call now and then.
	ejected  []*member
	baseline baseline
}

// tier is members to choose from, in groups of which each is drawn from.
type tier [][]*member

// buildPlan sorts the members. Draining servers are left out; suspect ones come
// last. When more are ejected than not, those that are left may be too few, and
// the evidence is likely to be of the way there: then the ejected are compared
// with the others again, at the cost of their failures.
func (pl *pool) buildPlan(now instant) *plan {
	next := &plan{builtAt: now, baseline: pl.baseline()}
	next.baseline.callRate = pl.callRate(now)
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
	return next
}

// trial returns an ejected member whose time has come for another call, if no
// other call is being tried there.
func (pl *plan) trial(exclude func(backend.ID) bool, now instant) *member {
	for _, m := range pl.ejected {
		e := m.stats
		if now < e.nextTrialAt.load() || exclude != nil && exclude(m.server.ID) {
			continue
		}
		if e.trialInFlight.CompareAndSwap(false, true) {
			return m
		}
	}
	return nil
}

// zoneSplit parts members inside the availability zone from those outside.
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

// baseline is what a server of the pool is measured by.
type baseline struct {
	// latency is the lower quartile, in seconds, so that a few quick servers are
	// not taken for the exception.
	latency float64
	// load is the mean part of the slots that calls of other daemons take.
	load float64
	// failureRate and slowRate are the shares of such calls.
	failureRate, slowRate float64
	// callRate is how many calls end in a second.
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
		return baseline{latency: assumedLatency}
	}
	if pl.disableSlowEjection {
		// No share of slow calls is above that.
		slowRates = []float64{1}
	}
	return baseline{
		latency:     quantile(latencies, 0.25),
		load:        load / float64(len(latencies)),
		failureRate: typicalFailureRate(failureRates),
		slowRate:    quantile(slowRates, 0.5),
	}
}

// typicalFailureRate returns the share of failed calls that is not the fault of a
// server: what most have, or next to nothing if one of them shows that the
// calls are not to blame.
func typicalFailureRate(rates []float64) float64 {
	if lowest := slices.Min(rates); lowest < healthyFailureRate {
		return lowest
	}
	return quantile(rates, 0.5)
}

// callRate returns how many calls end in a second, as taken over at least
// rateWindow.
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

// callCount is the number of calls that had ended at an instant.
type callCount struct {
	at    instant
	calls int64
	rate  float64
}

func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
