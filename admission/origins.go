package admission

import (
	"math"
	"sync"
)

const (
	// maxFromCallers is the highest share of a route's calls of known origin that may have
	// OriginCaller while the route still counts as called by services. A nested call seems to
	// come from a caller if its run was canceled or its host was paused.
	maxFromCallers = 0.1
	// maxChance is the probability below which it is ruled out that callers, whose requests
	// arrive at all hosts, happened to send only from the hosts of the services seen. Seven
	// calls from a third of the hosts are below it.
	maxChance = 1e-3
	// leastTold is the number of calls of known origin from which on the share of
	// OriginCaller decides: the first few may come from a host whose daemon has just started.
	leastTold = 5
	// tellingCalls is the number of calls of known origin that settles the classification
	// either way: it reaches maxChance for callers on nine tenths of the hosts.
	tellingCalls = 66
	// originMemory is the number of a route's calls at which its counts are halved.
	originMemory = 500
	// maxOriginRoutes limits the number of routes that are tracked.
	maxOriginRoutes = 4096
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
	routes map[string]*routeOrigin
}

// routeStats counts the calls of one route.
type routeOrigin struct {
	// services counts the calls by the service of the sending host.
	services map[string]float64
	total    float64
	// fromCallers counts the calls with OriginCaller, told those of known origin.
	fromCallers, told float64
}

// NewRouteClassifier returns a RouteClassifier without any calls counted. hostShare returns the
// share of hosts, from 0 to 1, that run a backend server of a service.
func NewRouteClassifier(hostShare func(service string) float64) *RouteClassifier {
	return &RouteClassifier{hostShare: hostShare, routes: make(map[string]*routeOrigin)}
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

// newRoute adds a route. At maxOriginRoutes all others are dropped, since configurations add and
// remove routes over time.
func (o *RouteClassifier) newRoute(route string) *routeOrigin {
	if len(o.routes) >= maxOriginRoutes {
		clear(o.routes)
	}
	r := &routeOrigin{services: make(map[string]float64)}
	o.routes[route] = r
	return r
}

// add counts a call and halves all counts at originMemory calls.
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

// halve halves all counts and drops the services whose count falls below 1.
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

// classify derives the classification from the counts. Where callers send from all hosts alike,
// the probability that all calls of known origin come from the hosts of the services seen is the
// share of these hosts to the power of the number of calls.
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
