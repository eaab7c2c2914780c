package admission

import (
	"math"
	"sync"
)

const (
	// maxCallerShare is the highest share of a route's calls of known origin that may have
	// OriginCaller while the route still counts as called by services. A nested call seems to
	// come from a caller if its run was canceled or its host was paused.
	maxCallerShare = 0.1
	// maxChance is the probability below which it is ruled out that callers, whose requests
	// arrive at all hosts, happened to send only from the hosts of the services seen. Seven
	// calls from a third of the hosts are below it.
	maxChance = 1e-3
	// minKnownOrigin is the number of calls of known origin from which on the share of
	// OriginCaller decides: the first few may come from a host whose daemon has just started.
	minKnownOrigin = 5
	// sufficientKnownOrigin is the number of calls of known origin that settles the
	// classification either way: it reaches maxChance for callers on nine tenths of the hosts.
	sufficientKnownOrigin = 66
	// routeWindow is the number of a route's calls at which its counts are halved.
	routeWindow = 500
	// maxRoutes limits the number of routes that are tracked.
	maxRoutes = 4096
)

// RouteClassifier determines at a gate which routes carry nested calls, which services make, and
// which carry callers' requests. The calls themselves do not state it, so the classification
// relies on where a route's calls come from. Callers' requests arrive at the hosts of all
// services and expire later than most runs in progress there. The nested calls of a service come
// from its own hosts only, and none expires later than the runs in progress. It is safe for
// concurrent use.
type RouteClassifier struct {
	// hostShare returns the share of hosts, from 0 to 1, that run a backend server of a
	// service.
	hostShare func(service string) float64

	mu     sync.Mutex
	routes map[string]*routeStats
}

// routeStats counts the calls of one route.
type routeStats struct {
	// services counts the calls by the service of the sending host.
	services map[string]float64
	total    float64
	// fromCallers counts the calls with OriginCaller, knownOrigin those of known origin.
	fromCallers, knownOrigin float64
}

// NewRouteClassifier returns a RouteClassifier without any calls counted. hostShare returns the
// share of hosts, from 0 to 1, that run a backend server of a service.
func NewRouteClassifier(hostShare func(service string) float64) *RouteClassifier {
	return &RouteClassifier{hostShare: hostShare, routes: make(map[string]*routeStats)}
}

// MadeBy is the classification of a route by the kind of client that makes its calls.
type MadeBy uint8

const (
	// MadeByUnknown means that too few calls have been counted.
	MadeByUnknown MadeBy = iota
	// MadeByCallers means that callers send requests on the route. It is also used where
	// nested calls cannot be distinguished from callers' requests.
	MadeByCallers
	// MadeByServices means that backend servers make the calls while they process requests.
	MadeByServices
)

// Observe counts a call that was sent from a host of callerService, and returns the
// classification of its route.
func (c *RouteClassifier) Observe(route, callerService string, from Origin) MadeBy {
	if route == "" || callerService == "" {
		return MadeByCallers
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[route]
	if r == nil {
		r = c.newRoute(route)
	}
	r.add(callerService, from)
	return r.classify(c.hostShare)
}

// newRoute adds a route. At maxRoutes all others are dropped, since configurations add and
// remove routes over time.
func (c *RouteClassifier) newRoute(route string) *routeStats {
	if len(c.routes) >= maxRoutes {
		clear(c.routes)
	}
	r := &routeStats{services: make(map[string]float64)}
	c.routes[route] = r
	return r
}

// add counts a call and halves all counts at routeWindow calls.
func (r *routeStats) add(callerService string, from Origin) {
	r.services[callerService]++
	r.total++
	switch from {
	case OriginCaller:
		r.fromCallers++
		r.knownOrigin++
	case OriginMaybeRun:
		r.knownOrigin++
	}
	if r.total >= routeWindow {
		r.halve()
	}
}

// halve halves all counts and drops the services whose count falls below 1.
func (r *routeStats) halve() {
	r.total, r.fromCallers, r.knownOrigin = r.total/2, r.fromCallers/2, r.knownOrigin/2
	for s, n := range r.services {
		if n < 2 {
			delete(r.services, s)
			continue
		}
		r.services[s] = n / 2
	}
}

// classify derives the classification from the counts. Where callers send from all hosts alike,
// the probability that all calls of known origin come from the hosts of the services seen is the
// share of these hosts to the power of the number of calls.
func (r *routeStats) classify(hostShare func(string) float64) MadeBy {
	share := 0.0
	for s := range r.services {
		share += hostShare(s)
	}
	switch {
	case r.knownOrigin >= minKnownOrigin && r.fromCallers > maxCallerShare*r.knownOrigin:
		return MadeByCallers
	case share > 0 && r.knownOrigin*math.Log(share) < math.Log(maxChance):
		return MadeByServices
	case r.knownOrigin >= sufficientKnownOrigin:
		return MadeByCallers
	}
	return MadeByUnknown
}
