package admission

import (
	"maps"
	"sync"
	"sync/atomic"
)

// NestedRoutes is the set of routes whose calls are made by services, as reported by gates.
// Contains takes no lock because it is on the path of each request. The zero value is an empty
// set. It is safe for concurrent use.
type NestedRoutes struct {
	routes atomic.Pointer[map[string]bool]
	mu     sync.Mutex
}

// Contains reports whether the calls of a route are known to be made by services.
func (n *NestedRoutes) Contains(route string) bool {
	routes := n.routes.Load()
	return routes != nil && (*routes)[route]
}

// Update stores a gate's classification of a route. MadeByUnknown is ignored: the gate may have
// just started, while other gates have already classified the route.
func (n *NestedRoutes) Update(route string, by MadeBy) {
	nested := by == MadeByServices
	if by == MadeByUnknown || n.Contains(route) == nested {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	next := make(map[string]bool)
	if old := n.routes.Load(); old != nil && len(*old) < maxRoutes {
		maps.Copy(next, *old)
	}
	next[route] = nested
	n.routes.Store(&next)
}
