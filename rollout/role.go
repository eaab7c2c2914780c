package rollout

import "time"

const (
	// unknownPatience is how long a server waits whose version most others do not have while
	// no order for it is known: the order may be on its way, and without it the server would
	// take its whole share of the calls at once.
	unknownPatience = 3 * time.Second
	// inServiceAfter is how long before an order a server took calls that the order is not
	// about: it is no canary, and to withhold calls from it would leave the service
	// without servers.
	inServiceAfter = 10 * time.Second
	// stopPatience is how long a server that traffic was moved away from stays closed: its
	// operator stops it without a drain, and what it runs then is lost. One that is still
	// there after that is not going to be stopped.
	stopPatience = 10 * time.Second
)

// PeerCounts counts the other live servers of a service by version.
type PeerCounts struct {
	// Same have the version of the server beside the daemon, Other another one. Target have
	// the version that traffic is to move to.
	Same, Other, Target int
}

// mostAreOther reports whether the server's version is that of a few.
func (p PeerCounts) mostAreOther() bool { return p.Other > 1 && p.Same < p.Other }

// LocalServer is what a daemon knows of the backend server beside it and of its service.
type LocalServer struct {
	Version string
	// FirstSeen is when it was first seen, OrderKnownAt when the daemon learned of the order, and OutcomeKnownAt
	// when it learned of its outcome.
	FirstSeen, OrderKnownAt, OutcomeKnownAt time.Time
	// Unproven is whether an earlier order for its version was replaced before it had
	// succeeded, or was rolled back.
	Unproven bool
	// Peers counts the servers of the service. It is asked only where that decides: it walks
	// over all members, at each news of one.
	Peers func() PeerCounts
}

// Role is what a server has to do with the order for its service.
type Role uint8

// The roles. An unaffected server takes calls as it would without an order.
const (
	Unaffected Role = iota
	// Canary has the version that traffic is to move to.
	Canary
	// Stable has another version, which traffic is moved away from.
	Stable
	// Pending has a version that most others do not have and no order names, has not told
	// it yet, or has one that an earlier order was not finished for.
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

// RoleOf decides which role a server has. The order is the latest for its service, nil
// where none is known.
func RoleOf(o *Order, outcome Outcome, l LocalServer, now time.Time) Role {
	if o == nil {
		if l.Version != "" && now.Sub(l.FirstSeen) < unknownPatience && l.Peers().mostAreOther() {
			return Pending
		}
		return Unaffected
	}
	stable := l.Version != o.ToVersion
	switch {
	case l.Version == "" && outcome != Succeeded && now.Sub(l.FirstSeen) < unknownPatience && l.Peers().Target > 0:
		// Its daemon has restarted; it may be one of those.
		return Pending
	case stable && l.Unproven && l.Peers().Other > 0:
		return Pending
	case outcome == Succeeded && stable && now.Sub(l.OutcomeKnownAt) < stopPatience:
		return Stable
	case outcome == Succeeded, outcome == RolledBack && stable:
		return Unaffected
	case stable:
		return Stable
	case outcome == RolledBack:
		return Canary
	case l.OrderKnownAt.Sub(l.FirstSeen) > inServiceAfter:
		return Unaffected
	case now.Sub(l.FirstSeen) > unknownPatience && l.Peers().Other == 0:
		// No server of another version is left that could take the calls.
		return Unaffected
	}
	return Canary
}
