package balance

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/backend"
)

const (
	// planAge is how old a plan gets before it is made anew.
	planAge = instant(50 * time.Millisecond)
	// rateWindow is the time over which the rate of calls is taken.
	rateWindow = instant(time.Second)
	// soundShare is the share of failed calls below which a server does well.
	soundShare = 0.1
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
	// making is held by the one goroutine that makes a new plan; the others
	// use the old one meanwhile.
	making sync.Mutex
	// counted is guarded by making.
	counted  count
	keepSlow bool
}

// newPool builds the pool of a set's servers. The caller holds mu.
func (p *Picker) newPool(servers []*backend.Server) *pool {
	pl := &pool{keepSlow: p.opts.DisableSlowEjection, servers: servers, members: make([]*member, 0, len(servers))}
	for _, s := range servers {
		e, ok := p.evidence[s.ID]
		if !ok {
			e = &evidence{}
			p.evidence[s.ID] = e
		}
		pl.members = append(pl.members, p.newMember(s, e))
	}
	pl.current.Store(pl.makePlan(p.now()))
	return pl
}

// of reports whether the pool was built from this very slice.
func (pl *pool) of(servers []*backend.Server) bool {
	return len(pl.servers) == len(servers) && &pl.servers[0] == &servers[0]
}

// plan returns the present plan and makes a new one when it is due.
func (pl *pool) plan(now instant) *plan {
	cur := pl.current.Load()
	if now-cur.made < planAge && !pl.stale.Load() {
		return cur
	}
	if !pl.making.TryLock() {
		return cur
	}
	defer pl.making.Unlock()
	pl.stale.Store(false)
	next := pl.makePlan(now)
	pl.current.Store(next)
	return next
}

// plan says which members take calls. It is immutable.
type plan struct {
	made instant
	// tiers are tried in order.
	tiers []tier
	// ejected members get a call now and then.
	ejected  []*member
	baseline baseline
}

// tier is members to choose from, in groups of which each is drawn from.
type tier [][]*member

// makePlan sorts the members. Draining servers are left out; suspect ones come
// last. When more are ejected than not, those that are left may be too few, and
// the evidence is likely to be of the way there: then the ejected are compared
// with the others again, at the cost of their failures.
func (pl *pool) makePlan(now instant) *plan {
	next := &plan{made: now, baseline: pl.baseline()}
	next.baseline.rate = pl.rate(now)
	var good, suspect, ejected split
	for _, m := range pl.members {
		switch {
		case m.server.Draining || m.evidence.draining(now):
		case m.server.Suspect:
			suspect.add(m)
		case m.evidence.ejected.Load():
			ejected.add(m)
			next.ejected = append(next.ejected, m)
		default:
			good.add(m)
		}
	}
	if ejected.len() > good.len() {
		next.tiers = []tier{{good.local, good.remote, ejected.local, ejected.remote}, suspect.tier()}
	} else {
		next.tiers = []tier{good.tier(), ejected.tier(), suspect.tier()}
	}
	return next
}

// trial returns an ejected member whose time has come for another call, if no
// other call is being tried there.
func (pl *plan) trial(exclude func(backend.ID) bool, now instant) *member {
	for _, m := range pl.ejected {
		e := m.evidence
		if now < e.trialAt.load() || exclude != nil && exclude(m.server.ID) {
			continue
		}
		if e.trying.CompareAndSwap(false, true) {
			return m
		}
	}
	return nil
}

// split parts members inside the availability zone from those outside.
type split struct{ local, remote []*member }

func (s *split) add(m *member) {
	if m.local {
		s.local = append(s.local, m)
	} else {
		s.remote = append(s.remote, m)
	}
}

func (s *split) len() int { return len(s.local) + len(s.remote) }

func (s *split) tier() tier { return tier{s.local, s.remote} }

// baseline is what a server of the pool is measured by.
type baseline struct {
	// latency is the lower quartile, in seconds, so that a few quick servers are
	// not taken for the exception.
	latency float64
	// load is the mean part of the slots that calls of other daemons take.
	load float64
	// failing and slow are the shares of such calls.
	failing, slow float64
	// rate is how many calls end in a second.
	rate float64
}

func (pl *pool) baseline() baseline {
	n := len(pl.members)
	latencies, failing, slow := make([]float64, 0, n), make([]float64, 0, n), make([]float64, 0, n)
	load := 0.0
	for _, m := range pl.members {
		if l := m.evidence.latency.load(); l > 0 {
			latencies = append(latencies, l)
			failing = append(failing, m.evidence.failing.load())
			slow = append(slow, m.evidence.slow.load())
			load += m.evidence.others.load()
		}
	}
	if len(latencies) == 0 {
		return baseline{latency: assumedLatency}
	}
	if pl.keepSlow {
		// No share of slow calls is above that.
		slow = []float64{1}
	}
	return baseline{
		latency: quantile(latencies, 0.25),
		load:    load / float64(len(latencies)),
		failing: usualFailing(failing),
		slow:    quantile(slow, 0.5),
	}
}

// usualFailing returns the share of failed calls that is not the fault of a
// server: what most have, or next to nothing if one of them shows that the
// calls are not to blame.
func usualFailing(shares []float64) float64 {
	if least := slices.Min(shares); least < soundShare {
		return least
	}
	return quantile(shares, 0.5)
}

// rate returns how many calls end in a second, as taken over at least
// rateWindow.
func (pl *pool) rate(now instant) float64 {
	prev := pl.counted
	if now-prev.at < rateWindow {
		return prev.rate
	}
	var calls int64
	for _, m := range pl.members {
		calls += m.evidence.calls.Load()
	}
	rate := float64(calls-prev.calls) / time.Duration(now-prev.at).Seconds()
	pl.counted = count{at: now, calls: calls, rate: rate}
	return rate
}

// count is the number of calls that had ended at an instant.
type count struct {
	at    instant
	calls int64
	rate  float64
}

func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
