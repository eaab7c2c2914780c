package admission

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

const (
	// calleeMemory is how many runs are remembered.
	calleeMemory = 500
	// leastRuns is how many must have been seen before calls are told of, and leastCalls
	// how many calls a run must make on average: a route that has just been found to be
	// callers' own leaves a few behind.
	leastRuns  = 20
	leastCalls = 0.02
	// maxDepth bounds how far calls of calls are followed.
	maxDepth = 15
)

// Callee is a service that is called.
type Callee struct {
	Service string
	// Calls is how many of them a run makes on average.
	Calls float64
}

// CalleeStats learns beside a backend server which services its runs call, and how often. It is
// safe for concurrent use.
type CalleeStats struct {
	mu    sync.Mutex
	runs  float64
	calls map[string]float64
}

// AddRun counts a run.
func (c *CalleeStats) AddRun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs++
	if c.runs < calleeMemory {
		return
	}
	c.runs /= 2
	for s := range c.calls {
		c.calls[s] /= 2
	}
}

// AddCall counts a call that a run makes.
func (c *CalleeStats) AddCall(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = make(map[string]float64)
	}
	c.calls[service]++
}

// HasCallees reports whether runs have been seen to call services. Each nested call asks.
func (c *CalleeStats) HasCallees() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.calls {
		if c.counts(n) {
			return true
		}
	}
	return false
}

// counts reports whether a number of calls to a service is more than chance. The caller
// holds mu.
func (c *CalleeStats) counts(calls float64) bool {
	return c.runs >= leastRuns && calls >= leastCalls*c.runs
}

// Rates returns the services called, in the order of their names.
func (c *CalleeStats) Rates() []Callee {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rates []Callee
	for s, n := range c.calls {
		if c.counts(n) {
			rates = append(rates, Callee{s, n / c.runs})
		}
	}
	slices.SortFunc(rates, func(a, b Callee) int { return cmp.Compare(a.Service, b.Service) })
	return rates
}

// CallGraph is what gates have told of the services that theirs call. It is read without a
// lock, and safe for concurrent use.
type CallGraph struct {
	services atomic.Pointer[map[string][]Callee]
	mu       sync.Mutex
}

// Update takes in a gate's word. Gates that have not seen enough tell nothing.
func (c *CallGraph) Update(service string, rates []Callee) {
	if len(rates) == 0 || slices.EqualFunc(c.of(service), rates, Callee.isNear) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	next := make(map[string][]Callee)
	if old := c.services.Load(); old != nil {
		maps.Copy(next, *old)
	}
	next[service] = rates
	c.services.Store(&next)
}

// isNear reports whether a rate is so near another that it is not worth to be kept.
func (c Callee) isNear(o Callee) bool {
	return c.Service == o.Service && c.Calls < 1.1*o.Calls && o.Calls < 1.1*c.Calls
}

func (c *CallGraph) of(service string) []Callee {
	if services := c.services.Load(); services != nil {
		return (*services)[service]
	}
	return nil
}

// CallsPerRequest returns what one request to a service brings: the request itself, the calls that it
// makes, and the calls of those.
func (c *CallGraph) CallsPerRequest(service string) []Callee {
	all := []Callee{{service, 1}}
	for i := 0; i < len(all) && i < maxDepth; i++ {
		for _, callee := range c.of(all[i].Service) {
			all = add(all, Callee{callee.Service, callee.Calls * all[i].Calls})
		}
	}
	return all
}

// add adds calls to the service's own. Those in a ring, which would never end, count once.
func add(all []Callee, n Callee) []Callee {
	if i := slices.IndexFunc(all, func(c Callee) bool { return c.Service == n.Service }); i >= 0 {
		all[i].Calls += n.Calls
		return all
	}
	return append(all, n)
}
