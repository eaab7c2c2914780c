// Package deployment describes the two deployments that the project is developed for: their
// availability zones, services and hosts. The example settings files and the fleets that run on one
// machine are generated from it.
package deployment

import (
	"fmt"
	"net/netip"
	"time"
)

// Ports. Every host uses the same ports on an address of its own.
const (
	// CallersPort, PeersPort, OperatorsPort and BackendPort are the ports on which each daemon
	// listens for callers, other daemons, operators and its backend server.
	CallersPort   = 8080
	PeersPort     = 7400
	OperatorsPort = 7401
	BackendPort   = 7402
	// PlatformPort is the port of the platform's log.
	PlatformPort = 7300
)

// Service describes a service and the size of its pool of backend servers.
type Service struct {
	Name string
	// Targets is the number of backend servers.
	Targets int
	// Slots is the number of slots of each backend server.
	Slots int
}

// Deployment describes the deployment of one organization that uses the project.
type Deployment struct {
	Name   string
	Region string
	// AvailabilityZones lists the zones in the order in which the hosts of a service are assigned
	// to them, round robin.
	AvailabilityZones []string
	Services          []Service
	// ReadersPerZone is the number of daemons in each availability zone that read the platform's
	// log. It trades convergence time against the bytes of control traffic.
	ReadersPerZone int
	// ReadersReason states the reason for ReadersPerZone. It becomes a comment in the settings file.
	ReadersReason string
	// ZoneCost is the additional round-trip time of a call that leaves the availability zone.
	ZoneCost time.Duration
	// network is the second byte of the deployment's loopback addresses. It differs between the
	// deployments, so that both can run on one machine.
	network byte
}

// Host describes one host, which runs a daemon and a backend server.
type Host struct {
	Name             string
	AvailabilityZone string
	// Service is the service of the backend server.
	Service Service
	// Addr is the loopback address of the host.
	Addr netip.Addr
}

// Association returns the deployment of the New England Parking Signage Association.
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

// WaterRecords returns the deployment of the Umlazi Basin Holdings Water Records Unit.
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

// Named returns the deployment with the given name. It returns false if there is none.
func Named(name string) (Deployment, bool) {
	for _, d := range All() {
		if d.Name == name {
			return d, true
		}
	}
	return Deployment{}, false
}

// Hosts returns all hosts. The backend servers of each service are distributed evenly over the
// availability zones. Each host has a loopback address of its own, so that all hosts can run on one
// Linux machine and use the same ports.
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

// PlatformURL returns the URL of the platform's log of the deployment.
func (d Deployment) PlatformURL() string {
	addr := netip.AddrFrom4([4]byte{127, d.network, 0, 1})
	return "http://" + netip.AddrPortFrom(addr, PlatformPort).String()
}

// Contacts returns the peer addresses through which the daemon of a host joins the fleet: those of
// the first host of each availability zone, without the host's own.
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

// Callers returns the address on which the host's daemon listens for callers.
func (h Host) Callers() netip.AddrPort { return netip.AddrPortFrom(h.Addr, CallersPort) }

// Peers returns the address on which the host's daemon listens for other daemons.
func (h Host) Peers() netip.AddrPort { return netip.AddrPortFrom(h.Addr, PeersPort) }

// Operators returns the address on which the host's daemon listens for operators.
func (h Host) Operators() netip.AddrPort { return netip.AddrPortFrom(h.Addr, OperatorsPort) }

// Backend returns the address on which the host's daemon listens for its backend server.
func (h Host) Backend() netip.AddrPort { return netip.AddrPortFrom(h.Addr, BackendPort) }
