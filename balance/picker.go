// Package balance chooses the backend server for each call from what this
// daemon itself has seen: its own calls in flight, the latency and failures of
// those that ended, and the load that gates report in their answers. Health and
// load endpoints play no part.
package balance

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
)

// Load is what a gate tells of itself in an answer.
type Load = gate.Load

// Options tunes a Picker.
type Options struct {
	// AvailabilityZone and Region are this daemon's own.
	AvailabilityZone string
	Region           string
	// ZoneCost and RegionCost are the time that a call loses by leaving the
	// availability zone or the region, there and back. A farther server is
	// picked only if it is expected to save more than that.
	ZoneCost   time.Duration
	RegionCost time.Duration
	// DisableSlowEjection is whether a server whose calls are slow beside those of its peers
	// goes on getting calls, by its cost alone. It suits services whose calls
	// differ widely in length and whose servers differ in speed: there a few long
	// calls at a slower server look like one that hangs.
	DisableSlowEjection bool
	// SlowStart is how long the share of calls of a new server grows.
	SlowStart time.Duration
	// Now reads a monotonic clock.
	Now func() time.Time
	// Rand returns a pseudo-random number in [0, n). It is called by many
	// goroutines at once.
	Rand func(n int) int
}

// DefaultOptions suit availability zones that are half a millisecond apart.
func DefaultOptions() Options {
	return Options{
		ZoneCost:   time.Millisecond,
		RegionCost: 10 * time.Millisecond,
		SlowStart:  10 * time.Second,
		Now:        time.Now,
		Rand:       rand.IntN,
	}
}

// The errors are made once: under overload there are many.
var (
	errNoBackend = errkind.New(errkind.NoBackend, "no backend server of the service takes calls")
	errAllBusy   = errkind.New(errkind.Overloaded, "the queues of all backend servers of the service are too long")
)

// Picker chooses backend servers. It is safe for concurrent use; calls share
// no lock.
type Picker struct {
	opts Options
	// epoch is the zero of all instants.
	epoch time.Time
	// pools holds the servers of each service, copied on write.
	pools atomic.Pointer[map[string]*pool]

	mu    sync.Mutex
	stats map[backend.ID]*serverStats
}

// New returns a picker that has seen nothing.
func New(opts Options) *Picker {
	p := &Picker{opts: opts, epoch: opts.Now(), stats: make(map[backend.ID]*serverStats)}
	p.pools.Store(&map[string]*pool{})
	return p
}

// instant is a time since the epoch of the picker, in nanoseconds.
type instant int64

func (p *Picker) now() instant { return instant(p.opts.Now().Sub(p.epoch)) }

// Pick chooses one of the servers of one service. The slice must be one of a
// backend.Set, or at least stay as it is. Servers for which exclude returns
// true are left out; exclude may be nil. The error's kind is NoBackend.
func (p *Picker) Pick(servers []*backend.Server, exclude func(backend.ID) bool) (*Lease, error) {
	return p.PickWithOptions(servers, PickOptions{Exclude: exclude})
}

// PickOptions is what matters for one call.
type PickOptions struct {
	// Exclude returns true for servers that are left out; it may be nil.
	Exclude func(backend.ID) bool
	// RemoteCost is the time that it is worth to stay in the availability zone,
	// beside what the way takes: bytes between zones cost money.
	RemoteCost time.Duration
	// Objective is the time within which an answer is worth its full value. Times
	// well below it are as good as each other; with 0 they all count as they are.
	Objective time.Duration
	// MaxWait is how long the call may have to wait for a slot. Servers whose gate
	// has just told of a longer wait are passed over: their refusal would cost a hop
	// and tell nothing new. 0 sets no bound.
	MaxWait time.Duration
}

// waitReportTTL is how long a gate's word of its queue keeps calls away. In that time a
// queue that is too long does not empty.
const waitReportTTL = instant(30 * time.Millisecond)

// excludes reports whether a server is left out for the call.
func (o PickOptions) excludes(m *member, now instant) bool {
	return o.Exclude != nil && o.Exclude(m.server.ID) || o.waitTooLong(m, now)
}

func (o PickOptions) waitTooLong(m *member, now instant) bool {
	e := m.stats
	return o.MaxWait > 0 && now-e.reportedAt.load() < waitReportTTL && time.Duration(e.reportedWait.load()) > o.MaxWait
}

// maxObjectiveRatio bounds, in objectives, what an expected time counts as.
const maxObjectiveRatio = 4

// latencyCost turns an expected time into a cost, in seconds. By the third power a time of
// half the objective costs an eighth of it: being quicker still is worth no bytes
// between zones, while a time near the objective risks to miss it.
func (o PickOptions) latencyCost(seconds float64) float64 {
	objective := o.Objective.Seconds()
	if objective == 0 {
		return seconds
	}
	x := min(seconds/objective, maxObjectiveRatio)
	return objective * x * x * x
}

// PickWithOptions is Pick for a call with needs of its own.
func (p *Picker) PickWithOptions(servers []*backend.Server, opts PickOptions) (*Lease, error) {
	exclude := opts.Exclude
	if len(servers) == 0 {
		return nil, errNoBackend
	}
	now := p.now()
	pool := p.pool(servers)
	plan := pool.plan(now)
	if m := plan.trial(exclude, now); m != nil {
		return p.lease(pool, m, true), nil
	}
	m := p.choose(plan, opts, now)
	if m == nil {
		return nil, plan.noMemberError(opts, now)
	}
	return p.lease(pool, m, false), nil
}

func (p *Picker) lease(pool *pool, m *member, trial bool) *Lease {
	m.stats.inFlight.Add(1)
	return &Lease{picker: p, pool: pool, member: m, trial: trial}
}

// pool returns the pool of a slice of servers, a new one if the set has
// changed. What was seen of the servers stays.
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

// Prune drops what is kept of servers that are no longer known.
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

// choose compares two servers inside the availability zone and two outside, drawn
// at random, and takes the one with the lowest cost. Comparing all would send the
// calls of all daemons to the same server between two reports of its load.
func (p *Picker) choose(plan *plan, opts PickOptions, now instant) *member {
	remote := opts.RemoteCost.Seconds()
	for _, t := range plan.tiers {
		var best *member
		var lowest float64
		for _, group := range t {
			first := p.draw(group, nil, opts, now)
			second := p.draw(group, first, opts, now)
			for _, m := range [...]*member{first, second} {
				if m == nil {
					continue
				}
				cost := opts.latencyCost(m.cost(plan, now))
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

// noMemberError returns why no server takes the call: the shortest queue that is known
// is too long, or there is none.
func (pl *plan) noMemberError(opts PickOptions, now instant) error {
	shortest := time.Duration(0)
	for _, t := range pl.tiers {
		for _, group := range t {
			for _, m := range group {
				wait := time.Duration(m.stats.reportedWait.load())
				if opts.waitTooLong(m, now) && (shortest == 0 || wait < shortest) {
					shortest = wait
				}
			}
		}
	}
	if shortest == 0 {
		return errNoBackend
	}
	return errAllBusy.After(shortest)
}

// draw returns a member of the group other than first at random, nil if none is
// left that is not excluded. A cold one is passed over unless all are.
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
		if w := m.slowStartWeight(now); w == 1 || float64(p.opts.Rand(slowStartSteps)) < w*slowStartSteps {
			return m
		}
		rampingUp = m
	}
	return rampingUp
}
