package admission

import (
	"math"
	"sync"
)

const (
	// maxFromCallers is the share of a route's calls that may seem to be callers' own where
	// all come from runs: a run that was canceled, a host that stood still.
	maxFromCallers = 0.1
	// maxChance is the chance at which callers' requests, which arrive at all hosts, would
	// have come from the hosts of so few services only. Seven calls from a third of the
	// hosts are enough.
	maxChance = 1e-3
	// leastTold is how many calls must have told something before callers' own among them
	// decide: the first few may come from a host that has just started. tellingCalls are
	// enough to be sure either way: of callers on nine hosts in ten, the chance above.
	leastTold    = 5
	tellingCalls = 66
	// originMemory is how many calls of a route are remembered.
	originMemory = 500
	// maxOriginRoutes bounds the routes remembered.
	maxOriginRoutes = 4096
)

// RouteClassifier learns at a gate which routes are those of calls between services. Nothing in a
// call says so; what tells is where a route's calls come from. Callers' requests arrive at
// the hosts of all services and live longer than most runs there. The calls that a service
// makes come from its own hosts, and none outlives the runs in progress. It is safe for
// concurrent use.
type RouteClassifier struct {
	// hostShare returns the share of hosts beside the servers of a service, 0 to 1.
	hostShare func(service string) float64

	mu     sync.Mutex
	routes map[string]*routeOrigin
}

// routeOrigin counts the calls of one route.
type routeOrigin struct {
	// services counts by the service of the host where the calls began.
	services map[string]float64
	total    float64
	// fromCallers and told are the calls that were callers' own, and those of which that
	// could be told.
	fromCallers, told float64
}

// NewRouteClassifier returns an Origins that has seen nothing.
func NewRouteClassifier(hostShare func(service string) float64) *RouteClassifier {
	return &RouteClassifier{hostShare: hostShare, routes: make(map[string]*routeOrigin)}
}

// MadeBy is who makes the calls of a route.
type MadeBy uint8

// The makers.
const (
	// MadeByUnknown is what holds until enough was seen.
	MadeByUnknown MadeBy = iota
	// MadeByCallers also holds where nothing tells services' calls from callers'.
	MadeByCallers
	// MadeByServices are calls that services make for requests that they work on.
	MadeByServices
)

// Observe takes in a call and returns who makes the calls of its route.
func (o *RouteClassifier) Observe(route, callerService string, from Origin) MadeBy {
	if route == "" || callerService == "" {
		return MadeByCallers
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.routes[route]
	if r == nil {
		r = o.newRoute(route)
	}
	r.add(callerService, from)
	return r.madeBy(o.hostShare)
}

// newRoute makes room for a route: routes come and go with configurations.
func (o *RouteClassifier) newRoute(route string) *routeOrigin {
	if len(o.routes) >= maxOriginRoutes {
		clear(o.routes)
	}
	r := &routeOrigin{services: make(map[string]float64)}
	o.routes[route] = r
	return r
}

func (r *routeOrigin) add(callerService string, from Origin) {
	r.services[callerService]++
	r.total++
	switch from {
	case OriginCaller:
		r.fromCallers++
		r.told++
	case OriginMaybeRun:
		r.told++
	}
	if r.total >= originMemory {
		r.forgetHalf()
	}
}

func (r *routeOrigin) forgetHalf() {
	r.total, r.fromCallers, r.told = r.total/2, r.fromCallers/2, r.told/2
	for s, n := range r.services {
		if n < 2 {
			delete(r.services, s)
			continue
		}
		r.services[s] = n / 2
	}
}

func (r *routeOrigin) madeBy(hostShare func(string) float64) MadeBy {
	share := 0.0
	for s := range r.services {
		share += hostShare(s)
	}
	switch {
	case r.told >= leastTold && r.fromCallers > maxFromCallers*r.told:
		return MadeByCallers
	case share > 0 && r.told*math.Log(share) < math.Log(maxChance):
		return MadeByServices
	case r.told >= tellingCalls:
		return MadeByCallers
	}
	return MadeByUnknown
}
