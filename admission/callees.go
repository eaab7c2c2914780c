package admission

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

const (
	// calleeWindow is the number of counted runs at which all counts are halved, so that
	// recent runs weigh more than old ones.
	calleeWindow = 500
	// minRuns is the number of runs that must be counted before rates are reported, and
	// minCallsPerRun the lowest rate that is reported: a route that has only just been
	// classified as MadeByCallers leaves a few calls in the counts.
	minRuns        = 20
	minCallsPerRun = 0.02
	// maxExpanded limits the number of services that CallGraph.CallsPerRequest expands into their
	// callees.
	maxExpanded = 15
)

// Callee is a called service and the rate of calls to it.
type Callee struct {
	Service string
	// Calls is the mean number of calls to Service per run or per request.
	Calls float64
}

// CalleeStats measures which services the runs of the local backend server call, and how
// often. The zero value is ready for use. It is safe for concurrent use.
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
	if c.runs < calleeWindow {
		return
	}
	c.runs /= 2
	for s := range c.calls {
		c.calls[s] /= 2
	}
}

// AddCall counts a call that a run makes to a service.
func (c *CalleeStats) AddCall(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = make(map[string]float64)
	}
	c.calls[service]++
}

// HasCallees reports whether Rates would return any service. Unlike Rates it neither allocates
// nor sorts, because it is on the path of each nested call.
func (c *CalleeStats) HasCallees() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.calls {
		if c.isSignificant(n) {
			return true
		}
	}
	return false
}

// isSignificant reports whether a count of calls to one service is high enough to be reported.
// The caller must hold mu.
func (c *CalleeStats) isSignificant(calls float64) bool {
	return c.runs >= minRuns && calls >= minCallsPerRun*c.runs
}

// Rates returns the called services and the mean number of calls to each per run, sorted by
// service name. It returns nil until enough runs have been counted.
func (c *CalleeStats) Rates() []Callee {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rates []Callee
	for s, n := range c.calls {
		if c.isSignificant(n) {
			rates = append(rates, Callee{s, n / c.runs})
		}
	}
	slices.SortFunc(rates, func(a, b Callee) int { return cmp.Compare(a.Service, b.Service) })
	return rates
}

// CallGraph holds the call rates between services, as reported by the gates of the calling
// services. Reads take no lock. The zero value is ready for use. It is safe for concurrent use.
type CallGraph struct {
	services atomic.Pointer[map[string][]Callee]
	mu       sync.Mutex
}

// Update stores the rates that a gate of the service reports. An empty report is ignored: the
// gate has not counted enough runs yet. A report that differs little from the stored rates is
// ignored as well.
func (c *CallGraph) Update(service string, rates []Callee) {
	if len(rates) == 0 || slices.EqualFunc(c.calleesOf(service), rates, Callee.approxEqual) {
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

// approxEqual reports whether two rates of the same service differ by less than 10%, which is
// not worth a copy of the map.
func (c Callee) approxEqual(o Callee) bool {
	return c.Service == o.Service && c.Calls < 1.1*o.Calls && o.Calls < 1.1*c.Calls
}

// calleesOf returns the direct callees of a service.
func (c *CallGraph) calleesOf(service string) []Callee {
	if services := c.services.Load(); services != nil {
		return (*services)[service]
	}
	return nil
}

// CallsPerRequest returns the calls that one request to a service causes: the request itself,
// the calls made for it, and the calls made for those in turn. Each service occurs once.
func (c *CallGraph) CallsPerRequest(service string) []Callee {
	all := []Callee{{service, 1}}
	for i := 0; i < len(all) && i < maxExpanded; i++ {
		for _, callee := range c.calleesOf(all[i].Service) {
			all = addCallee(all, Callee{callee.Service, callee.Calls * all[i].Calls})
		}
	}
	return all
}

// addCallee adds n to the entry of its service, or appends it as a new entry. CallsPerRequest
// expands each entry once, so that it ends for services that call each other in a cycle; the
// calls along the cycle then count once.
func addCallee(all []Callee, n Callee) []Callee {
	if i := slices.IndexFunc(all, func(c Callee) bool { return c.Service == n.Service }); i >= 0 {
		all[i].Calls += n.Calls
		return all
	}
	return append(all, n)
}
