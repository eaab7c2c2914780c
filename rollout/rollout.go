// Package rollout moves the traffic of a service to backend servers of a new version, compares
// the new version with the old one, and finishes the move or rolls it back.
//
// The gate beside each server of the new version admits calls only under a permit with a
// lease, which it renews by reporting the results of its calls. One daemon decides for a
// service (Decider): it grants a few gates a number of calls each, compares their results
// with those of the old version (Analyzer), and near the end of the order's duration opens
// all gates of the new version and closes those of the old one. If reports or permits are
// lost, the permits expire, and calls go to the servers that received them before the order.
//
// The package uses neither the clock nor the network: callers pass in times and exchange the
// messages, so that tests can simulate both.
package rollout

import "time"

// Order is an operator's instruction to move the traffic of a service to another version.
type Order struct {
	Service, ToVersion string
	// Duration is the time from the order until the move has to be finished or rolled back.
	Duration time.Duration
	// Offset is the log offset of the configuration record with the order, and identifies the
	// order.
	Offset uint64
}

// Outcome is the result of a rollout.
type Outcome uint8

// The outcomes. A rollout in progress is Undecided.
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

// Mode determines which calls a gate admits.
type Mode uint8

// The modes. A gate in mode Limited admits calls up to Permit.AdmitUpTo.
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

// ServerID identifies one run of a backend server and of the daemon beside it: the host, the
// boot ID of the daemon's process and the number of the server's run.
type ServerID struct {
	Host     string
	Boot     uint64
	Instance uint32
}

// Report describes the calls that a gate has admitted to its backend server since the daemon
// received the order.
type Report struct {
	Server ServerID
	// NewVersion is true if the server has the version that traffic is to move to.
	NewVersion bool
	// OrderAge is the time since the gate's daemon received the order.
	OrderAge time.Duration
	// Outcome of the rollout as known to the gate.
	Outcome Outcome
	// Mode is the gate's current mode.
	Mode Mode
	// Admitted counts the calls admitted so far, InFlight those that have not ended.
	Admitted uint64
	InFlight int
	// Routes counts the results of the calls by route.
	Routes CountsByRoute
}

// Permit is the answer to a report. It sets the mode of the gate until it expires.
type Permit struct {
	Mode Mode
	// AdmitUpTo is the limit of Report.Admitted in mode Limited.
	AdmitUpTo uint64
	// Lease is how long the permit is valid after the gate sent its report.
	Lease time.Duration
	// Outcome of the rollout. Succeeded is sent only after it has been recorded.
	Outcome Outcome
	// Recorded is true once the outcome is stored in the platform's directory, where it
	// outlives all daemons. The gate sends no further reports then.
	Recorded bool
}
