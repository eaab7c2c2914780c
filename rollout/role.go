package rollout

import "time"

const (
	// orderWait is how long a server stays closed after its start if most other servers have
	// another version and no order for its version is known. The order may not have arrived
	// yet, and without it the server would receive its full share of the calls at once.
	orderWait = 3 * time.Second
	// inServiceAge is how long before the order a server of the target version must have been
	// seen to count as in service already. Such a server is not a canary, and withholding
	// calls from it would leave the service without servers.
	inServiceAge = 10 * time.Second
	// stopWait is how long a server of the old version stays closed after the rollout has
	// succeeded. The operator stops it in this time without draining it, and calls that it
	// is processing then are lost. A server that still runs afterwards is not going to be
	// stopped.
	stopWait = 10 * time.Second
)

// PeerCounts counts the other live servers of a service by version. Servers whose version is
// unknown are not counted.
type PeerCounts struct {
	// Same counts the servers with the version of the server beside the daemon, Other those
	// with another version, and Target those with the version that traffic is to move to.
	Same, Other, Target int
	// Incomplete is set if this daemon has not found the fleet since it started: other servers may run that
	// are not counted.
	Incomplete bool
}

// inMinority reports whether the local server's version is in the minority: at least two other
// servers, and more than share the local version, have a different one.
func (p PeerCounts) inMinority() bool { return p.Other > 1 && p.Same < p.Other }

// isLastVersion reports whether no server has another version.
func (p PeerCounts) isLastVersion() bool { return p.Other == 0 && !p.Incomplete }

// mayHaveTarget reports whether servers may have the version that traffic is to move to.
func (p PeerCounts) mayHaveTarget() bool { return p.Target > 0 || p.Incomplete }

// LocalServer describes the backend server beside a daemon and its service.
type LocalServer struct {
	// Version of the server, empty if it is unknown.
	Version string
	// FirstSeen is when the daemon first saw the server, OrderKnownAt when it received the
	// order, and OutcomeKnownAt when it received the order's outcome.
	FirstSeen, OrderKnownAt, OutcomeKnownAt time.Time
	// Unproven is true if an earlier order for the server's version was rolled back, or was
	// replaced before it succeeded.
	Unproven bool
	// Peers counts the other servers of the service. It iterates over all members, and roles
	// are evaluated at each membership change, so it is called only if the result depends on
	// it.
	Peers func() PeerCounts
}

// Role determines how the rollout of its service affects a server.
type Role uint8

// The roles. An Unaffected server receives calls as it would without an order.
const (
	Unaffected Role = iota
	// Canary is a server of the version that traffic is to move to.
	Canary
	// Stable is a server of another version, which traffic is moved away from.
	Stable
	// Pending is a server that is closed until more is known: its version is in the minority
	// and no order is known, its version is not known yet, or an earlier order for its
	// version did not succeed.
	Pending
)

// String returns the name used in logs.
func (r Role) String() string {
	switch r {
	case Canary:
		return "canary"
	case Stable:
		return "stable"
	case Pending:
		return "pending"
	}
	return "unaffected"
}

// RoleOf returns the role of a server. The order is the latest one for its service, nil if none
// is known.
func RoleOf(o *Order, outcome Outcome, l LocalServer, now time.Time) Role {
	if o == nil {
		if l.Version != "" && now.Sub(l.FirstSeen) < orderWait && l.Peers().inMinority() {
			return Pending
		}
		return Unaffected
	}
	stable := l.Version != o.ToVersion
	switch {
	case l.Version == "" && outcome != Succeeded && now.Sub(l.FirstSeen) < orderWait && l.Peers().mayHaveTarget():
		// The daemon has restarted and does not know the version yet: the server may be one of
		// those with the target version.
		return Pending
	case stable && l.Unproven && l.Peers().Other > 0:
		return Pending
	case outcome == Succeeded && stable && now.Sub(l.OutcomeKnownAt) < stopWait:
		return Stable
	case outcome == Succeeded, outcome == RolledBack && stable:
		return Unaffected
	case stable:
		return Stable
	case outcome == RolledBack:
		return Canary
	case l.OrderKnownAt.Sub(l.FirstSeen) > inServiceAge:
		return Unaffected
	case now.Sub(l.FirstSeen) > orderWait && l.Peers().isLastVersion():
		// No server of another version is left to receive the calls.
		return Unaffected
	}
	return Canary
}
