// Package balance picks the backend server for each call. The choice is based on what this daemon
// has observed: its own calls in flight, the latency and the failures of its past calls, and the
// load that gates report with their answers. Health and load endpoints are not used.
package balance

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/capacity"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
)

// Load is the load that a gate reports with an answer.
type Load = gate.Load

// Options configures a Picker.
type Options struct {
	// AvailabilityZone and Region are the location of this daemon.
	AvailabilityZone string
	Region           string
	// ZoneCost and RegionCost are the round-trip time that a call takes additionally if it leaves
	// the availability zone or the region. A server farther away is picked only if it is expected
	// to save more than that.
	ZoneCost   time.Duration
	RegionCost time.Duration
	// DisableSlowEjection keeps servers in use whose calls are slow compared to those of their
	// peers; only their cost reduces the calls that they get. It suits services whose calls
	// differ widely in length and whose servers differ in speed: there, a few long calls at a
	// slower server look like a server that hangs.
	DisableSlowEjection bool
	// LinkPlacement places calls with large bodies by the network links of the servers' hosts. Host is
	// the name of this daemon's host, whose own calls to its server do not use the link.
	LinkPlacement bool
	Host          string
	// SpeedPlacement places the calls of a route by the speed of the servers, as the slot times that
	// gates report show it. No server is ejected because its calls are slow.
	SpeedPlacement bool
	// SlowStart is the time over which the share of calls of a new server increases.
	SlowStart time.Duration
	// Zones holds the use of the availability zones, by which calls leave their zone. If it is nil,
	// they leave by latency.
	Zones *capacity.Zones
	// Now returns the time of a monotonic clock.
	Now func() time.Time
	// Rand returns a pseudo-random number in [0, n). It must be safe for concurrent use.
	Rand func(n int) int
}

// DefaultOptions returns options for availability zones that are half a millisecond apart.
func DefaultOptions() Options {
	return Options{
		ZoneCost:   time.Millisecond,
		RegionCost: 10 * time.Millisecond,
		SlowStart:  10 * time.Second,
		Now:        time.Now,
		Rand:       rand.IntN,
	}
}

// The errors are allocated once: under overload many calls get them.
var (
	errNoBackend = errkind.New(errkind.NoBackend, "no backend server of the service takes calls")
	errAllBusy   = errkind.New(errkind.Overloaded, "the queues of all backend servers of the service are too long")
)

// Picker picks backend servers. It is safe for concurrent use; concurrent calls of Pick share no
// lock while the set of servers stays the same.
type Picker struct {
	opts Options
	// epoch is the time of instant 0.
	epoch time.Time
	// pools holds the pool of each service by name. It is copied on write.
	pools atomic.Pointer[map[string]*pool]

	mu    sync.Mutex
	stats map[backend.ID]*serverStats
}

// New returns a picker without observations.
func New(opts Options) *Picker {
	p := &Picker{opts: opts, epoch: opts.Now(), stats: make(map[backend.ID]*serverStats)}
	p.pools.Store(&map[string]*pool{})
	return p
}

// instant is a time in nanoseconds since the epoch of the picker.
type instant int64

func (i instant) seconds() float64 { return time.Duration(i).Seconds() }

func (p *Picker) now() instant { return instant(p.opts.Now().Sub(p.epoch)) }

// Pick picks one of the servers, which belong to one service. The slice must come from a
// backend.Set or must not be modified afterwards. Servers for which exclude returns true are
// skipped; exclude may be nil. The error is of kind NoBackend.
func (p *Picker) Pick(servers []*backend.Server, exclude func(backend.ID) bool) (*Lease, error) {
	return p.PickWithOptions(servers, PickOptions{Exclude: exclude})
}

// PickOptions holds the requirements of one call.
type PickOptions struct {
	// Exclude returns true for servers that must not be picked. It may be nil.
	Exclude func(backend.ID) bool
	// RemoteCost is the time that a call accepts in order to stay in the availability zone, in
	// addition to the network delay: traffic between zones costs money.
	RemoteCost time.Duration
	// Objective is the time within which an answer has its full value. Expected times well below
	// the objective count as nearly equal. With 0, expected times are compared as they are.
	Objective time.Duration
	// MaxWait is the longest wait for a slot that the call accepts. Servers whose gate has just
	// reported a longer wait are skipped: the gate would reject the call, at the cost of a hop
	// and without new information. 0 means no limit.
	MaxWait time.Duration
	// Spill describes the call for the decision whether it leaves its availability zone. It is used
	// only with Options.Zones, and replaces RemoteCost.
	Spill capacity.Call
	// BodyBytes is the length of the request body in bytes, 0 if it is not known. TimeLeft is the
	// time within which the call must be answered, 0 for no limit. Both matter only with
	// Options.LinkPlacement.
	BodyBytes int64
	TimeLeft  time.Duration
	// Route is the name of the call's route, empty if it has none. Nested is whether a service makes
	// the call while it processes a request. Both are used for placement by speed.
	Route  string
	Nested bool

	// speeds are those of the plan in use, nil if calls are not placed by speed.
	speeds *speeds
}

// excludes reports whether the call must not be sent to the member.
func (o PickOptions) excludes(m *member, now instant) bool {
	return o.Exclude != nil && o.Exclude(m.server.ID) || o.waitTooLong(m, now)
}

func (o PickOptions) waitTooLong(m *member, now instant) bool {
	return o.MaxWait > 0 && m.stats.knownWait(now) > o.MaxWait
}

// maxObjectiveRatio limits the expected time that enters latencyCost, as a multiple of the
// objective.
const maxObjectiveRatio = 4

// latencyCost converts an expected time to a cost, both in seconds. The cost grows with the third
// power of the time: half of the objective costs an eighth of the objective. Being faster still
// is not worth traffic between zones, whereas a time close to the objective risks missing it.
func (o PickOptions) latencyCost(seconds float64) float64 {
	objective := o.Objective.Seconds()
	if objective == 0 {
		return seconds
	}
	x := min(seconds/objective, maxObjectiveRatio)
	return objective * x * x * x
}

// PickWithOptions picks a server as Pick does, for a call with requirements of its own. The error
// is of kind NoBackend, or Overloaded if all eligible servers have too long a queue for
// opts.MaxWait or, for a large body with Options.LinkPlacement, cannot answer within
// opts.TimeLeft.
func (p *Picker) PickWithOptions(servers []*backend.Server, opts PickOptions) (*Lease, error) {
	exclude := opts.Exclude
	if len(servers) == 0 {
		return nil, errNoBackend
	}
	now := p.now()
	pool := p.pool(servers)
	plan := pool.plan(now)
	opts.speeds = plan.speeds
	if m := plan.trial(exclude, now); m != nil {
		return p.lease(pool, m, opts, now, true), nil
	}
	if p.PlacesByLink(servers, opts.BodyBytes) {
		return p.pickByLink(pool, plan, opts, now)
	}
	s := p.choose(plan, opts, now)
	if s.member == nil {
		return nil, plan.noMemberError(opts, now, s.withheld)
	}
	return p.lease(pool, s.member, opts, now, false), nil
}

func (p *Picker) lease(pool *pool, m *member, opts PickOptions, now instant, trial bool) *Lease {
	m.stats.inFlight.Add(1)
	m.stats.reserveStart(p.now())
	l := &Lease{picker: p, pool: pool, member: m, trial: trial}
	if pool.speedPlacement && opts.Route != "" {
		pool.recordUse(opts, now)
		l.route, l.startedAt, l.expectedWait = opts.Route, now, m.stats.lastWait(now)
		m.stats.speed.begin(l)
	}
	return l
}

// pool returns the pool of a slice of servers and builds a new one if the set has changed. The
// statistics of the servers are kept.
func (p *Picker) pool(servers []*backend.Server) *pool {
	service := servers[0].Service
	if pl, ok := (*p.pools.Load())[service]; ok && pl.builtFrom(servers) {
		return pl
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.pools.Load()
	if pl, ok := old[service]; ok && pl.builtFrom(servers) {
		return pl
	}
	pools := maps.Clone(old)
	pools[service] = p.newPool(servers)
	p.pools.Store(&pools)
	return pools[service]
}

// Prune removes the pools and the statistics of servers that are not in the known set.
func (p *Picker) Prune(known *backend.Set) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := make(map[backend.ID]bool, known.Len())
	pools := make(map[string]*pool)
	for service, pl := range *p.pools.Load() {
		servers := known.ForService(service)
		for _, s := range servers {
			keep[s.ID] = true
		}
		if len(servers) > 0 {
			pools[service] = pl
		}
	}
	maps.DeleteFunc(p.stats, func(id backend.ID, _ *serverStats) bool { return !keep[id] })
	p.pools.Store(&pools)
}

// choose selects the server of a call, by the capacity of the zones if it is known to this daemon
// and by latency otherwise.
func (p *Picker) choose(plan *plan, opts PickOptions, now instant) selection {
	if p.opts.Zones == nil {
		return selection{member: p.chooseByLatency(plan, plan.tiers, opts, now)}
	}
	s := p.chooseByZone(plan, opts, now)
	if s.member != nil && !s.member.local {
		p.opts.Zones.CountSpill(s.reason)
	}
	return s
}

// chooseByLatency draws two servers inside the availability zone and two outside at random and returns
// the one with the lowest cost. Comparing all servers would send the calls of all daemons to the same
// server between two reports of its load.
func (p *Picker) chooseByLatency(plan *plan, tiers []tier, opts PickOptions, now instant) *member {
	remote := opts.RemoteCost.Seconds()
	for _, t := range tiers {
		var best *member
		var lowest float64
		for _, group := range t {
			first := p.draw(group, nil, opts, now)
			second := p.draw(group, first, opts, now)
			for _, m := range [...]*member{first, second} {
				if m == nil {
					continue
				}
				cost := plan.cost(m, opts, now)
				if !m.local {
					cost += remote
				}
				if best == nil || cost < lowest {
					best, lowest = m, cost
				}
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// noMemberError returns the error for a call that no server can take: Overloaded with the
// shortest wait reported if all waits are too long or servers were withheld because their zones are
// full, NoBackend if there is no eligible server.
func (pl *plan) noMemberError(opts PickOptions, now instant, withheld bool) error {
	shortest := time.Duration(0)
	for _, t := range pl.tiers {
		for _, group := range t {
			for _, m := range group {
				wait := m.stats.knownWait(now)
				if opts.waitTooLong(m, now) && (shortest == 0 || wait < shortest) {
					shortest = wait
				}
			}
		}
	}
	if shortest == 0 && !withheld {
		return errNoBackend
	}
	return errAllBusy.WithRetryAfter(shortest)
}

// draw returns a random member of the group other than first, or nil if all are excluded. A
// member in its slow start is skipped with a probability that depends on its age, unless no other
// member is left.
func (p *Picker) draw(group []*member, first *member, opts PickOptions, now instant) *member {
	n := len(group)
	if n == 0 {
		return nil
	}
	var rampingUp *member
	start := p.opts.Rand(n)
	for i := range n {
		m := group[(start+i)%n]
		if m == first || opts.excludes(m, now) {
			continue
		}
		if w := m.slowStartWeight(now) * opts.speeds.drawWeight(m, opts); w == 1 || float64(p.opts.Rand(slowStartSteps)) < w*slowStartSteps {
			return m
		}
		rampingUp = m
	}
	return rampingUp
}
