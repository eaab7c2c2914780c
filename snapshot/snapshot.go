// Package snapshot derives what a daemon has in force from the folded
// configuration and the backend servers that it knows of. A Snapshot is
// immutable and is put in force by one pointer swap, so that a request sees all
// of a version or none of it.
package snapshot

import (
	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/fold"
)

// Snapshot is everything a request needs to know of the configuration.
type Snapshot struct {
	// Offset is the version in force.
	Offset uint64
	// State is the fold that the snapshot was derived from.
	State *fold.State
	// Withheld lists the routes that wait for a backend server, by name.
	Withheld []WithheldRoute

	routes    []Route
	table     table[placed]
	document  *Document
	contracts map[string]*Contract
	backends  *backend.Set
}

// Build derives the snapshot that follows prev; prev is nil at the start. It is
// the only place where a route gets into force.
//
// A state older than prev's, or another one at the same offset, is refused: the
// result is prev itself. Controllers may see states out of order when they race
// or when a peer lags, and a version that went back would revert contracts that
// are in force.
//
// A route revision whose service has no backend server that takes new calls is
// withheld. Until it gets in force, callers get:
//   - under the path prefix that the revision asks for, what they got before:
//     the route that had the prefix, under whatever name, or else the route of a
//     shorter prefix, or else no route;
//   - under the path prefix that the route moves away from, the old target,
//     unless another route in force has taken that prefix over;
//   - on a daemon that has just started and so cannot know what they got
//     before, a refusal that invites a retry (Withholds). A shorter prefix does
//     not stand in there, as it may lead to a service that never was meant to
//     see the call.
//
// A deleted route goes at once, unless a withheld route has claimed its prefix.
// A route in force stays in force when its backend servers go; its calls are
// then refused for want of a backend server.
func Build(prev *Snapshot, st *fold.State, backends *backend.Set) *Snapshot {
	if prev.refuses(st) {
		return prev
	}
	s := &Snapshot{Offset: st.Offset, State: st, backends: backends}
	if prev != nil && prev.Offset == st.Offset {
		s.follow(prev)
		return s
	}
	s.buildRoutes(prev)
	s.buildContracts(prev)
	s.buildDocument(prev)
	return s
}

// follow takes over all that new backend servers do not change. They come and
// go far more often than versions do. The document may be newer at the same offset where
// the log, restored from an older copy, lacks it.
func (s *Snapshot) follow(prev *Snapshot) {
	s.contracts = prev.contracts
	s.buildDocument(prev)
	if len(prev.Withheld) > 0 {
		s.buildRoutes(prev)
		return
	}
	s.routes, s.table = prev.routes, prev.table
}

func (s *Snapshot) refuses(st *fold.State) bool {
	if s == nil {
		return false
	}
	return st.Offset < s.Offset || st.Offset == s.Offset && st.Chain != s.State.Chain
}

// buildContracts compiles each contract once and carries unchanged ones over.
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

// Route returns the route of a path: the longest matching prefix in force.
func (s *Snapshot) Route(path string) (Route, bool) {
	n := s.table.find(path)
	if n == nil || n.value.withheld {
		return Route{}, false
	}
	return n.value.route, true
}

// Withholds reports whether a path has no route only because the backend
// servers of its route are not known yet. The call may succeed a little later.
func (s *Snapshot) Withholds(path string) bool {
	n := s.table.find(path)
	return n != nil && n.value.withheld
}

// Routes returns all routes in force, sorted by prefix. The caller must not
// change the slice.
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

// Document returns the document in force, nil if there is none.
func (s *Snapshot) Document() *Document { return s.document }

// Backends returns the backend servers known of a service.
func (s *Snapshot) Backends(service string) []*backend.Server { return s.backends.ForService(service) }
