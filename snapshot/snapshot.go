// Package snapshot derives what a daemon has in force from the folded
// configuration and the backend servers that it knows of. A Snapshot is
// immutable and is put in force by one pointer swap, so that a request sees all
// of a version or none of it.
package snapshot

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/configpb"
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

// Snapshot is everything a request needs to know of the configuration.
type Snapshot struct {
	// Offset is the version in force.
	Offset uint64
	// State is the fold that the snapshot was derived from.
	State *fold.State
	// Withheld lists routes whose backend servers are not known yet.
	Withheld []WithheldRoute

	// routes by prefix length, longest first.
	routes    []Route
	contracts map[string]*Contract
	backends  *backend.Set
}

// Build derives the snapshot that follows prev; prev is nil at the start. This
// is the only place where a route gets into force: a route revision whose
// service has no known backend server is withheld, and what it replaces stays
// until it is let in. A revision that is in force is never taken back for an
// older one, also when all its backend servers have gone.
func Build(prev *Snapshot, st *fold.State, backends *backend.Set) *Snapshot {
	s := &Snapshot{Offset: st.Offset, State: st, backends: backends}
	s.buildRoutes(prev, st)
	s.buildContracts(prev, st)
	return s
}

func (s *Snapshot) buildRoutes(prev *Snapshot, st *fold.State) {
	for _, e := range st.Entries(fold.KindRoute) {
		r := e.Resource.GetRoute()
		next := Route{Name: r.GetName(), PathPrefix: r.GetPathPrefix(), Service: r.GetService(), Revision: e.Revision}
		old, had := prev.routeNamed(next.Name)
		switch {
		case had && old.Revision == next.Revision:
			s.routes = append(s.routes, old)
		case len(s.backends.Of(next.Service)) > 0:
			s.routes = append(s.routes, next)
		default:
			s.Withheld = append(s.Withheld, WithheldRoute{next.Name, next.Revision, next.Service})
			if had {
				s.routes = append(s.routes, old)
			}
		}
	}
	slices.SortFunc(s.routes, func(a, b Route) int {
		return cmp.Or(
			cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)),
			cmp.Compare(a.PathPrefix, b.PathPrefix),
			// A withheld route's predecessor may share a prefix with a newer
			// route; the newer revision goes first.
			cmp.Compare(b.Revision, a.Revision),
		)
	})
}

// buildContracts compiles each contract once and carries unchanged ones over.
func (s *Snapshot) buildContracts(prev *Snapshot, st *fold.State) {
	entries := st.Entries(fold.KindContract)
	s.contracts = make(map[string]*Contract, len(entries))
	for _, e := range entries {
		if c := prev.Contract(e.Key.Name); c != nil && c.Revision == e.Revision {
			s.contracts[e.Key.Name] = c
			continue
		}
		s.contracts[e.Key.Name] = newContract(e.Resource.GetContract(), e.Revision)
	}
}

func (s *Snapshot) routeNamed(name string) (Route, bool) {
	if s == nil {
		return Route{}, false
	}
	for _, r := range s.routes {
		if r.Name == name {
			return r, true
		}
	}
	return Route{}, false
}

// Route returns the route of a path: the longest matching prefix in force.
func (s *Snapshot) Route(path string) (Route, bool) {
	for _, r := range s.routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Routes returns all routes in force. The caller must not change the slice.
func (s *Snapshot) Routes() []Route { return s.routes }

// Contract returns a customer's contract, nil if there is none.
func (s *Snapshot) Contract(customer string) *Contract {
	if s == nil {
		return nil
	}
	return s.contracts[customer]
}

// Contracts returns all contracts in force by customer. The caller must not
// change the map.
func (s *Snapshot) Contracts() map[string]*Contract { return s.contracts }

// Backends returns the backend servers known of a service.
func (s *Snapshot) Backends(service string) []*backend.Server { return s.backends.Of(service) }

// Contract is a customer's contract, compiled for the request path.
type Contract struct {
	Customer      string
	Revision      uint64
	Rate          float64
	Burst         float64
	MaxConcurrent int
	MaxWait       time.Duration
	rules         []rule
}

type rule struct {
	method, prefix string
	nonIdempotent  bool
	maxWait        time.Duration
}

func newContract(c *configpb.Contract, revision uint64) *Contract {
	n := &Contract{
		Customer:      c.GetCustomer(),
		Revision:      revision,
		Rate:          c.GetRatePerSecond(),
		Burst:         float64(c.GetBurst()),
		MaxConcurrent: int(c.GetMaxConcurrent()),
		MaxWait:       time.Duration(c.GetMaxWaitMs()) * time.Millisecond,
	}
	if n.Burst == 0 {
		n.Burst = max(1, n.Rate)
	}
	for _, r := range c.GetRules() {
		n.rules = append(n.rules, rule{
			method: r.GetMethod(), prefix: r.GetPathPrefix(), nonIdempotent: r.GetNonIdempotent(),
			maxWait: time.Duration(r.GetMaxWaitMs()) * time.Millisecond,
		})
	}
	return n
}

// CallTerms is what a contract says of one call.
type CallTerms struct {
	NonIdempotent bool
	MaxWait       time.Duration
}

// Terms returns what the contract says of a call: the first matching rule, or
// else the contract's wait and the method's usual meaning.
func (c *Contract) Terms(method, path string) CallTerms {
	for _, r := range c.rules {
		if r.method != "" && r.method != method {
			continue
		}
		if !strings.HasPrefix(path, r.prefix) {
			continue
		}
		wait := c.MaxWait
		if r.maxWait > 0 {
			wait = r.maxWait
		}
		return CallTerms{NonIdempotent: r.nonIdempotent, MaxWait: wait}
	}
	return CallTerms{NonIdempotent: method == "POST" || method == "PATCH", MaxWait: c.MaxWait}
}
