package snapshot

import (
	"cmp"
	"slices"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/fold"
)

// Route is one route in force.
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

// routeBuilder collects what is in force under each prefix.
type routeBuilder struct {
	prev     *Snapshot
	byPrefix map[string]Route
	withheld []Route
	// unanswered are the withheld routes of which it is not known what callers
	// got before.
	unanswered []Route
}

// buildRoutes decides on all routes of the state.
func (s *Snapshot) buildRoutes(prev *Snapshot) {
	entries := s.State.Entries(fold.KindRoute)
	b := &routeBuilder{prev: prev, byPrefix: make(map[string]Route, len(entries))}
	for _, e := range entries {
		r := e.Resource.GetRoute()
		next := Route{Name: r.GetName(), PathPrefix: r.GetPathPrefix(), Service: r.GetService(), Revision: e.Revision}
		b.admit(next, s.backends)
	}
	// What withheld routes replace is looked for last, when it is known which
	// prefixes have gone to other routes.
	for _, r := range b.withheld {
		b.keepReplaced(r)
		s.Withheld = append(s.Withheld, WithheldRoute{r.Name, r.Revision, r.Service})
	}
	b.findUnanswered()
	s.routes = b.routes()
	s.table = routeTable(s.routes, b.unanswered)
}

// placed is what a path prefix leads to.
type placed struct {
	route Route
	// withheld is set where calls are refused until the route is in force.
	withheld bool
}

// routeTable takes the routes in force and the ones whose prefixes are refused.
func routeTable(routes, withheld []Route) table[placed] {
	t := make(table[placed], 0, len(routes)+len(withheld))
	for _, r := range routes {
		t = append(t, node[placed]{prefix: r.PathPrefix, value: placed{route: r}})
	}
	for _, r := range withheld {
		t = append(t, node[placed]{prefix: r.PathPrefix, value: placed{route: r, withheld: true}})
	}
	return newTable(t)
}

// admit lets a route in if it is in force already or can be served.
func (b *routeBuilder) admit(r Route, backends *backend.Set) {
	old, had := b.prev.routeAt(r.PathPrefix)
	if had && old == r || takesCalls(backends.ForService(r.Service)) {
		b.byPrefix[r.PathPrefix] = r
		return
	}
	b.withheld = append(b.withheld, r)
}

// takesCalls reports whether a new call could go to one of the servers. One
// that is about to leave does not count: a route that moved to it would lose
// its old target for nothing.
func takesCalls(servers []*backend.Server) bool {
	return slices.ContainsFunc(servers, func(b *backend.Server) bool { return !b.Draining })
}

// keepReplaced keeps what a withheld route is going to replace.
func (b *routeBuilder) keepReplaced(r Route) {
	if old, ok := b.prev.routeAt(r.PathPrefix); ok {
		b.byPrefix[r.PathPrefix] = old
	}
	old, ok := b.prev.routeNamed(r.Name)
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

// findUnanswered collects the routes that were withheld from the start on.
func (b *routeBuilder) findUnanswered() {
	before := b.prev.unanswered()
	for _, r := range b.withheld {
		_, kept := b.byPrefix[r.PathPrefix]
		if !kept && (b.prev == nil || before[r.Name]) {
			b.unanswered = append(b.unanswered, r)
		}
	}
}

// unanswered returns the names of the routes whose calls are refused until
// their backend servers are known.
func (s *Snapshot) unanswered() map[string]bool {
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

// routeAt returns the route in force under a prefix.
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

// routeNamed returns the latest revision in force under a name. An earlier one
// may be in force as well, in the place of another route that is withheld.
func (s *Snapshot) routeNamed(name string) (latest Route, ok bool) {
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
