package admission

import (
	"maps"
	"sync"
	"sync/atomic"
)

// NestedRoutes is what gates have told of routes: whether services make their calls. It is
// read without a lock on each request's path, and safe for concurrent use.
type NestedRoutes struct {
	routes atomic.Pointer[map[string]bool]
	mu     sync.Mutex
}

// Contains reports whether the calls of a route are known to be made by services.
func (n *NestedRoutes) Contains(route string) bool {
	routes := n.routes.Load()
	return routes != nil && (*routes)[route]
}

// Update takes in a gate's word. One that is not sure changes nothing: it may have just
// started, while others know.
func (n *NestedRoutes) Update(route string, by MadeBy) {
	nested := by == MadeByServices
	if by == MadeByUnknown || n.Contains(route) == nested {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	next := make(map[string]bool)
	if old := n.routes.Load(); old != nil && len(*old) < maxOriginRoutes {
		maps.Copy(next, *old)
	}
	next[route] = nested
	n.routes.Store(&next)
}
