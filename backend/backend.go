// Package backend describes the backend servers that a daemon knows of.
package backend

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// ID names one backend server: the host it runs on, the life of the daemon
// beside it, the service it offers and, where it announces one, its own life. What
// was seen of a server says nothing of its successor on the host.
type ID struct {
	Host     string
	Boot     uint64
	Service  string
	Instance uint32
}

// Server is one backend server, reached by way of the daemon on its host.
type Server struct {
	ID
	AvailabilityZone string
	Region           string
	// PeerAddr is where the daemon beside it listens for other daemons.
	PeerAddr netip.AddrPort
	Slots    int
	// Draining servers get no new calls.
	Draining bool
	// Suspect servers' daemons have not answered of late; they are picked only
	// when no other is left.
	Suspect bool
	// FirstSeen is when this process first heard of the server, by its monotonic
	// clock, less the age announced then.
	FirstSeen time.Time
}

// Set is an immutable collection of backend servers by service.
type Set struct {
	byService map[string][]*Server
	n         int
}

// NewSet sorts servers by service, host and boot, so that equal input gives an
// equal set.
func NewSet(servers []*Server) *Set {
	s := &Set{byService: make(map[string][]*Server), n: len(servers)}
	for _, b := range servers {
		s.byService[b.Service] = append(s.byService[b.Service], b)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *Server) int {
			return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Boot, b.Boot))
		})
	}
	return s
}

// ForService returns the servers of a service, draining ones included. The caller must
// not change the slice.
func (s *Set) ForService(service string) []*Server {
	if s == nil {
		return nil
	}
	return s.byService[service]
}

// Len returns the number of servers.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return s.n
}
