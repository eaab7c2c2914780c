// Package snapshot derives the configuration that a daemon has in force from the folded state and
// the known backend servers. A Snapshot is immutable and is put in force by one pointer swap, so
// a request never sees a mixture of two versions.
package snapshot

import (
	"github.com/crocuscross/crocuscross/apikey"
	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/fold"
)

// Snapshot contains all configuration that is needed to process a request.
type Snapshot struct {
	// Offset is the version in force.
	Offset uint64
	// State is the folded state that the snapshot was derived from.
	State *fold.State
	// Withheld lists the routes that wait for a backend server, sorted by name.
	Withheld []WithheldRoute

	routes    []Route
	table     table[tableEntry]
	document  *Document
	contracts map[string]*Contract
	// keys maps the API keys of customers to their contracts. keyHolders contains the customers that
	// have API keys.
	keys       map[apikey.Digest]*Contract
	keyHolders map[string]bool
	// limits contains the contracts and accounts whose calls are limited.
	limits   map[string]*Contract
	backends *backend.Set
}

// Build derives the snapshot that follows prev; prev is nil when the daemon starts. A route is
// put in force only here.
//
// Build rejects a state that is older than that of prev, and a different state at the same
// offset: it then returns prev. Controllers may get states out of order, for example in a race or
// from a peer that lags, and going back to an older version would revert contracts that are in
// force.
//
// A route revision is withheld if its service has no backend server that accepts new calls. Until
// the revision is in force, calls are routed as follows:
//   - Under the new path prefix, as before: to the route that had the prefix, under any name, or
//     else to the route of a shorter prefix, or else to no route.
//   - Under the path prefix that the route moves away from, to the old target, unless another
//     route in force has taken over that prefix.
//   - On a daemon that has just started and does not know how calls were routed before, calls
//     are refused with an error that invites a retry (Withholds). The route of a shorter prefix
//     is not used, as it may lead to a service that was never meant to get these calls.
//
// A deleted route is removed immediately, unless a withheld route has claimed its prefix. A route
// in force stays in force when its backend servers disappear; its calls are then refused because
// no backend server is available.
func Build(prev *Snapshot, st *fold.State, backends *backend.Set) *Snapshot {
	if prev.rejects(st) {
		return prev
	}
	s := &Snapshot{Offset: st.Offset, State: st, backends: backends}
	if prev != nil && prev.Offset == st.Offset {
		s.updateBackends(prev)
		return s
	}
	s.buildRoutes(prev)
	s.buildContracts(prev)
	s.buildKeys()
	s.buildDocument(prev)
	s.buildLimits(prev)
	return s
}

// updateBackends takes over everything from prev that does not depend on the backend servers,
// which change far more often than the version does. The document is rebuilt because it may be
// newer at the same offset: a log that was restored from an older copy may lack the newer
// document.
func (s *Snapshot) updateBackends(prev *Snapshot) {
	s.contracts, s.keys, s.keyHolders = prev.contracts, prev.keys, prev.keyHolders
	s.buildDocument(prev)
	s.buildLimits(prev)
	if len(prev.Withheld) > 0 {
		s.buildRoutes(prev)
		return
	}
	s.routes, s.table = prev.routes, prev.table
}

// rejects reports whether a state is older than that of s or is a different state at the same
// offset.
func (s *Snapshot) rejects(st *fold.State) bool {
	if s == nil {
		return false
	}
	return st.Offset < s.Offset || st.Offset == s.Offset && st.Chain != s.State.Chain
}

// buildContracts compiles the contracts of the state. It reuses the compiled contracts of prev
// that have not changed.
func (s *Snapshot) buildContracts(prev *Snapshot) {
	entries := s.State.Entries(fold.KindContract)
	s.contracts = make(map[string]*Contract, len(entries))
	for _, e := range entries {
		if c := prev.Contract(e.Key.Name); c != nil && c.Revision == e.Revision {
			s.contracts[e.Key.Name] = c
			continue
		}
		s.contracts[e.Key.Name] = newContract(e.Resource.GetContract(), e.Revision)
	}
}

// Route returns the route in force with the longest matching prefix of a path. There is none if
// that prefix belongs to a withheld route whose calls are refused.
func (s *Snapshot) Route(path string) (Route, bool) {
	n := s.table.find(path)
	if n == nil || n.value.withheld {
		return Route{}, false
	}
	return n.value.route, true
}

// Withholds reports whether the calls of a path are refused because no backend server of its
// route is known yet. A retry may succeed.
func (s *Snapshot) Withholds(path string) bool {
	n := s.table.find(path)
	return n != nil && n.value.withheld
}

// Routes returns all routes in force, sorted by prefix. The caller must not modify the slice.
func (s *Snapshot) Routes() []Route { return s.routes }

// Contract returns the contract of a customer, nil if there is none.
func (s *Snapshot) Contract(customer string) *Contract {
	if s == nil {
		return nil
	}
	return s.contracts[customer]
}

// Contracts returns all contracts in force by customer. The caller must not modify the map.
func (s *Snapshot) Contracts() map[string]*Contract { return s.contracts }

// Document returns the document in force, nil if there is none.
func (s *Snapshot) Document() *Document { return s.document }

// Backends returns the known backend servers of a service.
func (s *Snapshot) Backends(service string) []*backend.Server { return s.backends.ForService(service) }
