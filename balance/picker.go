// Package balance chooses the backend server for each call from what this
// daemon itself has seen: its own calls in flight, the latency and failures of
// those that ended, and the load that gates report in their answers. Health and
// load endpoints play no part.
package balance

import (
	"sync"
	"sync/atomic"
	"time"

	"math/rand/v2"

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
	// availability zone or the region. A farther server is picked only if it is
	// expected to save more than that.
	ZoneCost   time.Duration
	RegionCost time.Duration
	// SlowStart is how long a new server's share of the calls grows.
	SlowStart time.Duration
	// Now reads a monotonic clock.
	Now func() time.Time
	// Rand returns a pseudo-random number in [0, n). It is called by many
	// goroutines at once.
	Rand func(n int) int
}

// DefaultOptions suit availability zones that are about a millisecond apart.
func DefaultOptions() Options {
	return Options{
		ZoneCost:   time.Millisecond,
		RegionCost: 10 * time.Millisecond,
		SlowStart:  10 * time.Second,
		Now:        time.Now,
		Rand:       rand.IntN,
	}
}

var errNoBackend = errkind.New(errkind.NoBackend, "no backend server of the service takes calls")

// Picker chooses backend servers. It is safe for concurrent use; Pick takes no
// lock.
type Picker struct {
	opts Options
	// pools holds the servers of each service, copied on write.
	pools atomic.Pointer[map[string]*pool]

	mu       sync.Mutex
	evidence map[backend.ID]*evidence
}

// New returns a picker that has seen nothing.
func New(opts Options) *Picker {
	p := &Picker{opts: opts, evidence: make(map[backend.ID]*evidence)}
	p.pools.Store(&map[string]*pool{})
	return p
}

// Pick chooses one of the servers of one service. The slice must be one of a
// backend.Set, or at least stay as it is. Servers for which exclude returns
// true are left out; exclude may be nil. The error's kind is NoBackend.
func (p *Picker) Pick(servers []*backend.Server, exclude func(backend.ID) bool) (*Lease, error) {
	if len(servers) == 0 {
		return nil, errNoBackend
	}
	now := p.opts.Now()
	pl := p.pool(servers)
	m := p.choose(pl.plan(now), exclude, now)
	if m == nil {
		return nil, errNoBackend
	}
	m.evidence.inFlight.Add(1)
	return &Lease{picker: p, pool: pl, member: m}, nil
}

// pool returns the pool of a slice of servers, a new one if the set has
// changed. What was seen of the servers stays.
func (p *Picker) pool(servers []*backend.Server) *pool {
	service := servers[0].Service
	if pl, ok := (*p.pools.Load())[service]; ok && pl.of(servers) {
		return pl
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.pools.Load()
	if pl, ok := old[service]; ok && pl.of(servers) {
		return pl
	}
	pl := p.newPool(servers)
	pools := make(map[string]*pool, len(old)+1)
	for name, o := range old {
		pools[name] = o
	}
	pools[service] = pl
	p.pools.Store(&pools)
	return pl
}

// Forget drops what is kept of servers that are no longer known.
func (p *Picker) Forget(known *backend.Set) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := make(map[backend.ID]bool, known.Len())
	pools := make(map[string]*pool)
	for service, pl := range *p.pools.Load() {
		servers := known.Of(service)
		for _, s := range servers {
			keep[s.ID] = true
		}
		if len(servers) > 0 {
			pools[service] = pl
		}
	}
	for id := range p.evidence {
		if !keep[id] {
			delete(p.evidence, id)
		}
	}
	p.pools.Store(&pools)
}

// choose compares a few servers drawn at random and takes the one with the
// lowest cost. Comparing all would send the calls of all daemons to the same
// server between two reports of its load.
func (p *Picker) choose(pl *plan, exclude func(backend.ID) bool, now time.Time) *member {
	for _, tier := range pl.tiers {
		var best *member
		var bestCost float64
		for _, group := range tier {
			for range choices {
				m := p.draw(group, exclude)
				if m == nil {
					break
				}
				if cost := m.cost(pl, now); best == nil || cost < bestCost {
					best, bestCost = m, cost
				}
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// choices is how many servers of each group are compared.
const choices = 2

// draw returns a member of the group at random, nil if all are excluded.
func (p *Picker) draw(group []*member, exclude func(backend.ID) bool) *member {
	n := len(group)
	if n == 0 {
		return nil
	}
	first := p.opts.Rand(n)
	for i := range n {
		m := group[(first+i)%n]
		if exclude == nil || !exclude(m.server.ID) {
			return m
		}
	}
	return nil
}
