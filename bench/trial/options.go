package trial

import (
	"time"

	"github.com/crocuscross/crocuscross/configpb"
)

const (
	daemonProgram  = "bin/crocuscross"
	standinProgram = "bin/standin"
	// defaultSubnet holds the hosts' addresses.
	defaultSubnet = "127.20"
	defaultSlots  = 10
)

// Options describes a deployment.
type Options struct {
	Hosts, Zones int
	// Service that all backend servers offer, under the path /.
	Service string
	// ServiceTime is how long a backend server takes for a call.
	ServiceTime time.Duration
	// Slots of each backend server; 0 means 10.
	Slots int
	// Contract for Customer; nil means one that does not bind.
	Contract *configpb.Contract
	// Record lets backend servers write their executions as JSON lines.
	Record bool

	// ServiceOf returns the service of a host's backend server by the host's
	// number, empty for a host without one; nil means Service for all.
	ServiceOf func(host int) string
	// Changes are the first configuration; nil means one service, one route and
	// one contract.
	Changes []*configpb.Change
	// Subnet is the first half of the hosts' IP addresses. Two deployments on
	// one machine need different ones; empty means a default.
	Subnet string
	// AdvertiseSubnet is Subnet as the daemons tell each other, where something
	// stands in between; empty means the same.
	AdvertiseSubnet string
	// Prepare is called with the hosts before the first process of theirs starts.
	Prepare func([]*Host) error
	// OwnKeys lets daemons take idempotency keys of callers' own making.
	OwnKeys bool
	// Daemon and Standin are the programs; empty means those that make build
	// puts into bin.
	Daemon, Standin string
}

// withDefaults fills in what is left out.
func (o Options) withDefaults() Options {
	if o.ServiceOf == nil {
		o.ServiceOf = func(int) string { return o.Service }
	}
	if o.Subnet == "" {
		o.Subnet = defaultSubnet
	}
	if o.AdvertiseSubnet == "" {
		o.AdvertiseSubnet = o.Subnet
	}
	if o.Daemon == "" {
		o.Daemon = daemonProgram
	}
	if o.Standin == "" {
		o.Standin = standinProgram
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	return o
}
