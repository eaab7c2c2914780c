package snapshot

import (
	"cmp"
	"slices"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/fold"
)

// Route is a route in force.
type Route struct {
	Name       string
	PathPrefix string
	Service    string
	Revision   uint64
}

// WithheldRoute is a route revision that is accepted but not yet in force.
type WithheldRoute struct {
	Name     string
	Revision uint64
	Service  string
}

// routeBuilder determines the route in force under each prefix.
type routeBuilder struct {
	prev     *Snapshot
	byPrefix map[string]Route
	withheld []Route
	// refusedRoutes contains the withheld routes whose calls are refused because the daemon does
	// not know how the calls were routed before.
	refusedRoutes []Route
}

// buildRoutes determines which routes of the state are in force and which are withheld.
func (s *Snapshot) buildRoutes(prev *Snapshot) {
	entries := s.State.Entries(fold.KindRoute)
	b := &routeBuilder{prev: prev, byPrefix: make(map[string]Route, len(entries))}
	for _, e := range entries {
		r := e.Resource.GetRoute()
		next := Route{Name: r.GetName(), PathPrefix: r.GetPathPrefix(), Service: r.GetService(), Revision: e.Revision}
		b.activateOrWithhold(next, s.backends)
	}
	// The routes that withheld routes are to replace are looked up last, when all prefixes that
	// other routes have taken over are known.
	for _, r := range b.withheld {
		b.retainReplaced(r)
		s.Withheld = append(s.Withheld, WithheldRoute{r.Name, r.Revision, r.Service})
	}
	b.findRefused()
	s.routes = b.routes()
	s.table = routeTable(s.routes, b.refusedRoutes)
}

// tableEntry is the value of a path prefix in the routing table.
type tableEntry struct {
	route Route
	// withheld is true if calls are refused until the route is in force.
	withheld bool
}

// routeTable returns the table of the routes in force and of the withheld routes whose calls are
// refused.
func routeTable(routes, withheld []Route) table[tableEntry] {
	t := make(table[tableEntry], 0, len(routes)+len(withheld))
	for _, r := range routes {
		t = append(t, node[tableEntry]{prefix: r.PathPrefix, value: tableEntry{route: r}})
	}
	for _, r := range withheld {
		t = append(t, node[tableEntry]{prefix: r.PathPrefix, value: tableEntry{route: r, withheld: true}})
	}
	return newTable(t)
}

// activateOrWithhold puts a route in force if it is in force already or a backend server can
// serve it. Otherwise it withholds the route.
func (b *routeBuilder) activateOrWithhold(r Route, backends *backend.Set) {
	old, had := b.prev.routeAt(r.PathPrefix)
	if had && old == r || anyAcceptsCalls(backends.ForService(r.Service)) {
		b.byPrefix[r.PathPrefix] = r
		return
	}
	b.withheld = append(b.withheld, r)
}

// anyAcceptsCalls reports whether a new call could be sent to one of the servers. A draining
// server does not count: a route that moved to it would lose its old target to no purpose.
func anyAcceptsCalls(servers []*backend.Server) bool {
	return slices.ContainsFunc(servers, func(b *backend.Server) bool { return !b.Draining })
}

// retainReplaced keeps the routes in force that a withheld route is to replace: the one with the
// same prefix, and the one with the same name unless another route has taken its prefix.
func (b *routeBuilder) retainReplaced(r Route) {
	if old, ok := b.prev.routeAt(r.PathPrefix); ok {
		b.byPrefix[r.PathPrefix] = old
	}
	old, ok := b.prev.routeByName(r.Name)
	if !ok {
		return
	}
	if _, taken := b.byPrefix[old.PathPrefix]; !taken {
		b.byPrefix[old.PathPrefix] = old
	}
}

func (b *routeBuilder) routes() []Route {
	list := make([]Route, 0, len(b.byPrefix))
	for _, r := range b.byPrefix {
		list = append(list, r)
	}
	slices.SortFunc(list, func(x, y Route) int { return cmp.Compare(x.PathPrefix, y.PathPrefix) })
	return list
}

// findRefused collects the routes that have been withheld since the daemon started and whose
// prefix has no route in force.
func (b *routeBuilder) findRefused() {
	before := b.prev.refusedRoutes()
	for _, r := range b.withheld {
		_, kept := b.byPrefix[r.PathPrefix]
		if !kept && (b.prev == nil || before[r.Name]) {
			b.refusedRoutes = append(b.refusedRoutes, r)
		}
	}
}

// refusedRoutes returns the names of the withheld routes whose calls are refused until a backend
// server is known.
func (s *Snapshot) refusedRoutes() map[string]bool {
	names := make(map[string]bool)
	if s == nil {
		return names
	}
	for _, n := range s.table {
		if n.value.withheld {
			names[n.value.route.Name] = true
		}
	}
	return names
}

// routeAt returns the route in force with exactly this prefix.
func (s *Snapshot) routeAt(prefix string) (Route, bool) {
	if s == nil {
		return Route{}, false
	}
	i, ok := slices.BinarySearchFunc(s.routes, prefix, func(r Route, p string) int {
		return cmp.Compare(r.PathPrefix, p)
	})
	if !ok {
		return Route{}, false
	}
	return s.routes[i], true
}

// routeByName returns the latest revision in force of a route. An earlier revision may be in
// force as well, in place of another route that is withheld.
func (s *Snapshot) routeByName(name string) (latest Route, ok bool) {
	if s == nil {
		return Route{}, false
	}
	for _, r := range s.routes {
		if r.Name == name && r.Revision > latest.Revision {
			latest, ok = r, true
		}
	}
	return latest, ok
}
