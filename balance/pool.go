package balance

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/backend"
)

// planAge is how old a plan gets before it is made anew.
const planAge = 50 * time.Millisecond

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
}

// member is one server of a pool.
type member struct {
	server   *backend.Server
	evidence *evidence
	// hop is the time a call loses on the way, in seconds.
	hop   float64
	local bool
	slow  time.Duration
}

// plan says which members take calls. It is immutable.
type plan struct {
	made time.Time
	// tiers are tried in order; in each, the local group stands beside the
	// remote one.
	tiers [][2][]*member
	// typical is the median over the servers of their latency, in seconds.
	typical float64
}

// newPool builds the pool of a set's servers. The caller holds mu.
func (p *Picker) newPool(servers []*backend.Server) *pool {
	pl := &pool{servers: servers}
	for _, s := range servers {
		e, ok := p.evidence[s.ID]
		if !ok {
			e = &evidence{}
			p.evidence[s.ID] = e
		}
		m := &member{server: s, evidence: e, slow: p.opts.SlowStart}
		switch {
		case s.Region != p.opts.Region:
			m.hop = p.opts.RegionCost.Seconds()
		case s.AvailabilityZone != p.opts.AvailabilityZone:
			m.hop = p.opts.ZoneCost.Seconds()
		default:
			m.local = true
		}
		pl.members = append(pl.members, m)
	}
	pl.current.Store(pl.makePlan(p.opts.Now()))
	return pl
}

// of reports whether the pool was built from this very slice.
func (pl *pool) of(servers []*backend.Server) bool {
	return len(pl.servers) == len(servers) && &pl.servers[0] == &servers[0]
}

// plan returns the present plan and makes a new one when it is due.
func (pl *pool) plan(now time.Time) *plan {
	cur := pl.current.Load()
	if now.Sub(cur.made) < planAge && !pl.stale.Load() {
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

func (pl *pool) makePlan(now time.Time) *plan {
	next := &plan{made: now, typical: pl.typical(now)}
	var good, ejected, suspect [2][]*member
	for _, m := range pl.members {
		side := 1
		if m.local {
			side = 0
		}
		switch {
		case m.server.Draining || m.evidence.draining(now):
		case m.server.Suspect:
			suspect[side] = append(suspect[side], m)
		case m.evidence.ejected(now):
			ejected[side] = append(ejected[side], m)
		default:
			good[side] = append(good[side], m)
		}
	}
	nGood := len(good[0]) + len(good[1])
	nEjected := len(ejected[0]) + len(ejected[1])
	if nEjected > nGood {
		// More than half look bad: more likely it is the way there or the
		// evidence. Keeping all spreads the calls instead of heaping them on
		// the few that are left.
		good[0] = append(good[0], ejected[0]...)
		good[1] = append(good[1], ejected[1]...)
		ejected = [2][]*member{}
	}
	next.tiers = [][2][]*member{good, ejected, suspect}
	return next
}

// typical returns the median latency of the servers that have one.
func (pl *pool) typical(now time.Time) float64 {
	known := make([]float64, 0, len(pl.members))
	for _, m := range pl.members {
		if l, ok := m.evidence.latency(now); ok {
			known = append(known, l)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}
