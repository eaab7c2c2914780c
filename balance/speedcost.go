package balance

import (
	"sync/atomic"
	"time"
)

const (
	// A call has slack if its objective is at least slackRatio times the time of its route: a
	// server 1.8 times as slow as the median one that takes two mean deviations longer than usual
	// still answers it within the objective. Below tightRatio it is tight. Between the two, the
	// preference for slow servers grows linearly, so that a small change of the measured time does not
	// move all calls of a route at once.
	tightRatio = 3.0
	slackRatio = 4.0
	// similarSpeed is the ratio of speed factors up to which calls with slack do not distinguish
	// servers. Measured factors of equal servers differ by some 10%.
	similarSpeed = 1.25
	// slackWaitShare is the share of the objective that a call with slack waits for a slot at a slow
	// server rather than take a free one at a fast server. It is what a call accepts at the first
	// gates it tries (admission).
	slackWaitShare = 0.125
	// useTTL is how long after its last call a route influences where the calls of others go.
	useTTL = instant(10 * time.Second)
	// crowdedLoad is the fraction of used slots above which a server may have no free slot when a call
	// arrives, as the reported load is some 100 ms old. From there on the cost grows linearly. At full
	// use it is crowdedCost times the objective, the longest wait that a call accepts (admission). With
	// the third power, calls would leave a busy zone for another one that is as busy.
	crowdedLoad = 0.7
	crowdedCost = 0.6
	// loadWeight is the weight of the load in the expected time. Below crowdedLoad a call finds a free
	// slot whatever the load, which matters only so that servers of equal speed share the calls evenly.
	// With weight 1, 25 servers of speed 1.2 were full while 9 of speed 0.55 had free slots.
	loadWeight = 0.2
)

// routeUse holds the latest call of a route.
type routeUse struct {
	objective atomicFloat
	at        atomicInstant
	nested    atomic.Bool
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
		v, _ = pl.uses.LoadOrStore(o.Route, &routeUse{})
	}
	use := v.(*routeUse)
	use.objective.store(o.Objective.Seconds())
	use.nested.Store(o.Nested)
	use.at.store(now)
}

// recentCalls reports whether tight calls and calls with slack were made in the last seconds.
func (pl *pool) recentCalls(s *speeds, now instant) (tight, slack bool) {
	pl.uses.Range(func(route, v any) bool {
		use, t := v.(*routeUse), s.times[route.(string)]
		if t == 0 || now-use.at.load() >= useTTL {
			return true
		}
		objective := use.objective.load()
		tight = tight || use.nested.Load() || objective < tightRatio*t
		slack = slack || !use.nested.Load() && objective >= slackRatio*t
		return !tight || !slack
	})
	return tight, slack
}

// slack returns how much of a call's preference for fast servers is replaced by one for slow servers,
// between 0 and 1. t is the time of its route in seconds. A nested call has no slack: the request
// that it is made for waits for it.
func (s *speeds) slack(o PickOptions, t float64) float64 {
	if !s.hasTight || o.Nested {
		return 0
	}
	return min(max((o.Objective.Seconds()/t-tightRatio)/(slackRatio-tightRatio), 0), 1)
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
// with slack prefers the slow servers in its zone, as long as it does not wait there for long.
func (s *speeds) cost(pl *plan, m *member, o PickOptions, t float64, now instant) float64 {
	factor, load := s.factors[m.index], m.load(pl, now)
	latency := t * factor
	if !s.known[m.index] {
		latency += m.excessLatency(pl.baseline, now)
	}
	expected := m.hop + m.stats.rateWait(now).Seconds() + latency*(1+loadWeight*load) + m.failureCost(pl.baseline, t, now)
	crowding := crowdedCost * max(load-crowdedLoad, 0) / (1 - crowdedLoad)
	if o.Objective == 0 {
		return expected + crowding*t
	}
	objective := o.Objective.Seconds()
	cost := o.latencyCost(expected) + crowding*objective
	if slack := s.slack(o, t); slack > 0 {
		wait := latency * max(load+1/m.slots()-1, 0)
		cost += slack * objective * min(s.fastServerCost(m)+wait/(slackWaitShare*objective), 1)
	}
	return cost
}

// fastServerCost returns the cost, between 0 and 1, that keeps calls with slack away from a fast
// server. Outside the zone it is that of the fastest server, so that no call leaves its zone for the
// sake of a slow server.
func (s *speeds) fastServerCost(m *member) float64 {
	factor := s.factors[m.index]
	if !m.local {
		factor = s.fastest
	}
	return max(1-similarSpeed*factor/s.slowest, 0)
}

// drawWeight returns the probability with which a member that is drawn is compared with others. For
// tight calls it is proportional to the speed, because most pairs drawn at random have no fast server,
// and to its square if calls with slack use the slots of the slow ones.
func (s *speeds) drawWeight(m *member, o PickOptions) float64 {
	if s == nil || s.times[o.Route] == 0 {
		return 1
	}
	slack := s.slack(o, s.times[o.Route])
	weight := min(s.fastest/s.factors[m.index], 1)
	if s.hasSlack {
		weight *= weight
	}
	return slack + (1-slack)*weight
}
