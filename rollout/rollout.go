// Package rollout moves the traffic of a service to the backend servers of another
// version, watches how these do, and finishes the move or takes it back.
//
// The gate beside each server of the new version lets calls through only by a permit,
// which it renews with reports of what it has seen. One daemon decides for a service
// (Decider): it grants a few gates a number of calls each, compares their answers with
// those of the other version (Judge), and near the end of the order's time opens all
// gates of the new version and closes the others. Whatever goes wrong on the way, a
// permit lapses, and calls go to the servers that had them before.
//
// Nothing here reads a clock or the network, so that decisions can be tested without.
package rollout

import "time"

// Order is an operator's order to move the traffic of a service.
type Order struct {
	Service, ToVersion string
	// Duration is the time from the order until the move has to be finished or taken back.
	Duration time.Duration
	// Offset of the configuration record that ordered it; it tells orders apart.
	Offset uint64
}

// Outcome is how a rollout has ended.
type Outcome uint8

// The outcomes. Undecided rollouts are in progress.
const (
	Undecided Outcome = iota
	Succeeded
	RolledBack
)

// String returns the name used in logs.
func (o Outcome) String() string {
	switch o {
	case Succeeded:
		return "succeeded"
	case RolledBack:
		return "rolled back"
	}
	return "running"
}

// Mode is what a gate does with calls.
type Mode uint8

// The modes. Limited gates let calls through up to a number.
const (
	Open Mode = iota + 1
	Closed
	Limited
)

// String returns the name used in logs.
func (m Mode) String() string {
	switch m {
	case Open:
		return "open"
	case Closed:
		return "closed"
	case Limited:
		return "limited"
	}
	return "unknown"
}

// ServerID tells one life of a backend server, with the daemon beside it, from others.
type ServerID struct {
	Host     string
	Boot     uint64
	Instance uint32
}

// Report is what one gate has seen of its backend server since it learned of the order.
type Report struct {
	Server ServerID
	// NewVersion is whether the server has the version that traffic is to move to.
	NewVersion bool
	// OrderAge is the time since the gate learned of the order.
	OrderAge time.Duration
	// Outcome of the rollout, as far as the gate knows.
	Outcome Outcome
	// Mode that the gate is in.
	Mode Mode
	// Admitted counts the calls that were let through, InFlight those that run.
	Admitted uint64
	InFlight int
	Tally    Tally
}

// Permit answers a report.
type Permit struct {
	Mode Mode
	// AdmitUpTo bounds Report.Admitted where the mode is Limited.
	AdmitUpTo uint64
	// Lease is how long the permit holds, from the moment at which the report was sent.
	Lease   time.Duration
	Outcome Outcome
	// Recorded is whether the outcome is kept where it outlives all daemons, so that the
	// gate need not report any more.
	Recorded bool
}
