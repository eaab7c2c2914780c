// Package deployment describes the two deployments that the project is
// developed for: their availability zones, services and hosts. The example
// settings and the local fleets are derived from it.
package deployment

import (
	"fmt"
	"net/netip"
	"time"
)

// Ports that each daemon listens on.
const (
	CallersPort   = 8080
	PeersPort     = 7400
	OperatorsPort = 7401
	BackendPort   = 7402
	// PlatformPort is where the platform's log is reached.
	PlatformPort = 7300
)

// Service is a service with its size.
type Service struct {
	Name string
	// Targets is the number of backend servers.
	Targets int
	// Slots of each backend server.
	Slots int
}

// Deployment is one of the users' deployments.
type Deployment struct {
	Name   string
	Region string
	// AvailabilityZones in the order in which hosts are spread over them.
	AvailabilityZones []string
	Services          []Service
	// ReadersPerZone is the weight between convergence time and control bytes.
	ReadersPerZone int
	// ReadersReason tells why, for the settings file.
	ReadersReason string
	// ZoneCost is the time of a hop between availability zones, there and back.
	ZoneCost time.Duration
	// network is the second byte of the loopback addresses, so that both
	// deployments can run on one machine.
	network byte
}

// Host is one host with its daemon and backend server.
type Host struct {
	Name             string
	AvailabilityZone string
	Service          Service
	Addr             netip.Addr
}

// Association is the New England Parking Signage Association.
func Association() Deployment {
	return Deployment{
		Name:              "association",
		Region:            "new-england",
		AvailabilityZones: []string{"boston", "hartford", "portland", "providence"},
		Services:          []Service{{"sign-feed", 10, 10}, {"site-ops", 4, 10}},
		ReadersPerZone:    2,
		ReadersReason:     "Convergence time weighs more here: a second reader covers for the first.",
		ZoneCost:          time.Millisecond,
		network:           10,
	}
}

// WaterRecords is the Umlazi Basin Holdings Water Records Unit.
func WaterRecords() Deployment {
	return Deployment{
		Name:              "waterrecords",
		Region:            "umlazi-basin",
		AvailabilityZones: []string{"camperdown", "hammarsdale", "pietermaritzburg", "richmond"},
		Services:          []Service{{"logbook", 8, 10}, {"labdesk", 4, 10}},
		ReadersPerZone:    1,
		ReadersReason:     "Control bytes weigh more here: one reader per zone halves the reads at the source.",
		ZoneCost:          3 * time.Millisecond,
		network:           20,
	}
}

// All returns both deployments.
func All() []Deployment { return []Deployment{Association(), WaterRecords()} }

// Named returns the deployment of a name.
func Named(name string) (Deployment, bool) {
	for _, d := range All() {
		if d.Name == name {
			return d, true
		}
	}
	return Deployment{}, false
}

// Hosts returns all hosts, with the backend servers of each service spread
// evenly over the availability zones. Each host has a loopback address of its
// own, so that all run on one Linux machine with the same ports.
func (d Deployment) Hosts() []Host {
	var hosts []Host
	perZone := make([]byte, len(d.AvailabilityZones))
	for _, s := range d.Services {
		for i := range s.Targets {
			zone := i % len(d.AvailabilityZones)
			perZone[zone]++
			hosts = append(hosts, Host{
				Name:             fmt.Sprintf("%s-%02d", s.Name, i+1),
				AvailabilityZone: d.AvailabilityZones[zone],
				Service:          s,
				Addr:             netip.AddrFrom4([4]byte{127, d.network, byte(zone + 1), perZone[zone]}),
			})
		}
	}
	return hosts
}

// PlatformURL is where the deployment's platform log is reached.
func (d Deployment) PlatformURL() string {
	addr := netip.AddrFrom4([4]byte{127, d.network, 0, 1})
	return "http://" + netip.AddrPortFrom(addr, PlatformPort).String()
}

// Contacts returns the peer addresses of the first host of each availability
// zone, without the host's own.
func (d Deployment) Contacts(self Host) []netip.AddrPort {
	var contacts []netip.AddrPort
	seen := map[string]bool{}
	for _, h := range d.Hosts() {
		if seen[h.AvailabilityZone] {
			continue
		}
		seen[h.AvailabilityZone] = true
		if h != self {
			contacts = append(contacts, h.Peers())
		}
	}
	return contacts
}

// Callers returns where the host's daemon listens for callers.
func (h Host) Callers() netip.AddrPort { return netip.AddrPortFrom(h.Addr, CallersPort) }

// Peers returns where the host's daemon listens for other daemons.
func (h Host) Peers() netip.AddrPort { return netip.AddrPortFrom(h.Addr, PeersPort) }

// Operators returns where the host's daemon listens for operators.
func (h Host) Operators() netip.AddrPort { return netip.AddrPortFrom(h.Addr, OperatorsPort) }

// Backend returns where the host's daemon listens for its backend server.
func (h Host) Backend() netip.AddrPort { return netip.AddrPortFrom(h.Addr, BackendPort) }
