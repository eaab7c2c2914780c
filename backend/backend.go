// Package backend describes the backend servers that a daemon knows.
package backend

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// ID identifies one instance of a backend server. Statistics collected for one instance do not
// apply to its successor on the same host.
type ID struct {
	// Host is the name of the host that the server runs on.
	Host string
	// Boot identifies the run of the daemon on that host; it changes when the daemon restarts.
	Boot uint64
	// Service is the name of the service that the server offers.
	Service string
	// Instance is a digest that identifies the run of the server itself, 0 if the server
	// announces no ID of its own.
	Instance uint32
}

// Server describes one backend server, which is reached through the daemon on its host.
type Server struct {
	ID
	AvailabilityZone string
	Region           string
	// PeerAddr is the address on which the daemon on the server's host accepts connections from
	// other daemons.
	PeerAddr netip.AddrPort
	// Slots is the number of calls that the server runs concurrently, as it announced.
	Slots int
	// LinkMbps is the bandwidth of the host's network link in Mbit/s, 0 if it is not known.
	LinkMbps float64
	// Draining is set while the server must not receive new calls.
	Draining bool
	// Suspect is set while the daemon on the server's host does not answer probes. Such a server
	// is picked only if no other one is left.
	Suspect bool
	// FirstSeen is when the server first announced itself, by this process's monotonic clock: the
	// time at which this process saw the announcement, less the age stated in it.
	FirstSeen time.Time
}

// Set is an immutable collection of backend servers, grouped by service.
type Set struct {
	byService map[string][]*Server
	n         int
}

// NewSet returns a set of the servers. The servers of a service are sorted by host and boot, so
// that equal input gives an equal set.
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

// ForService returns the servers of a service, including draining ones. The caller must not
// modify the slice.
func (s *Set) ForService(service string) []*Server {
	if s == nil {
		return nil
	}
	return s.byService[service]
}

// Len returns the number of servers of all services.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return s.n
}
