package blackboard

import (
	"time"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/snapshot"
)

// Board holds the state cells of one daemon. Each cell has a single writer, which is named in
// its comment.
type Board struct {
	// State is the latest folded configuration. Written by the distribute controller.
	State Cell[fold.State]
	// Snapshot is the configuration in force, nil until the daemon has reached its floor.
	// Written by the apply controller.
	Snapshot Cell[snapshot.Snapshot]
	// Floor is the version below which no configuration may come into force. Written during
	// recovery.
	Floor Cell[Floor]
	// Members is the membership table of the daemons. Written by the members controller.
	Members Cell[membership.View]
	// Backends is the set of known backend servers. Written by the backends controller.
	Backends Cell[backend.Set]
	// Local is the backend server on this daemon's host. Written by the announce controller.
	Local Cell[LocalBackend]
	// Withheld is true while a rollout withholds calls from the local backend server. Written by
	// the rollouts controller.
	Withheld Cell[bool]
	// Lifecycle is the daemon's current phase. Written by the drain controller.
	Lifecycle Cell[Lifecycle]
	// Source is the status of configuration distribution. Written by the distribute controller.
	Source Cell[Source]
}

// Floor is what recovery has found out about the version that this daemon's host had in force
// before the daemon restarted.
type Floor struct {
	// Offset is the lowest configuration offset that may come into force.
	Offset uint64
	// Known is set once recovery has enough information to serve at or above Offset.
	Known bool
	// Reason describes the problem that recovery has run into, empty if there is none. While
	// Known is not set, it says why.
	Reason string
}

// LocalBackend is the announced state of the backend server on the daemon's host. Its zero value
// means that no server is announced.
type LocalBackend struct {
	// ID is the server's own ID, empty if it has none. A restarted server may reuse its ID.
	ID string
	// StartUnixMs is when the server started, in Unix milliseconds by the server's clock, 0
	// while that is unknown. It distinguishes the instances that share an ID.
	StartUnixMs int64
	// Service is the name of the service that the server offers, empty if no server is
	// announced.
	Service string
	// Version is the version of the server's program, empty if the server does not announce it.
	Version string
	// WarmAt is when the server is expected to be no longer slow from its start.
	WarmAt time.Time
	// URL is the server's base URL, on loopback or at the address given in the settings.
	URL string
	// Slots is the number of calls that the server runs concurrently.
	Slots int
	// HealthURL is the URL of the server's health check, empty if the server does not announce
	// one.
	HealthURL string
	// Draining is set once the server has announced that it is draining or has stated that it is
	// leaving.
	Draining bool
	// Leaving is set once the server has stated in a response that it is about to exit. Unlike
	// Draining it outlasts later announcements of the instance.
	Leaving bool
	// Sequence is the sequence number of this instance's latest announcement, for a server with
	// an ID.
	Sequence uint64
	// FirstSeen is when this instance first announced itself. Renewals keep it unless the
	// announcement has lapsed in between.
	FirstSeen time.Time
	// Expires is when the announcement lapses unless it is renewed.
	Expires time.Time
}

// Phase is a stage in the lifecycle of a daemon.
type Phase uint8

// The phases, in the order in which a daemon passes through them.
const (
	// Joining is the phase in which the daemon joins the fleet and recovers its configuration.
	Joining Phase = iota + 1
	// Serving is the phase of normal operation.
	Serving
	// Draining is the phase in which the daemon accepts no more callers. Its backend server
	// still receives calls.
	Draining
	// Leaving is the phase in which the daemon announces that its backend server must receive no
	// more calls.
	Leaving
	Stopped
)

// String returns the name of the phase in lower case, "unknown" for an invalid value.
func (p Phase) String() string {
	switch p {
	case Joining:
		return "joining"
	case Serving:
		return "serving"
	case Draining:
		return "draining"
	case Leaving:
		return "leaving"
	case Stopped:
		return "stopped"
	}
	return "unknown"
}

// Lifecycle is the current phase of a daemon and the time at which it began.
type Lifecycle struct {
	Phase Phase
	Since time.Time
	// Reason says who or what requested a drain. It is empty in every phase but Draining.
	Reason string
}

// Source is the status of configuration distribution at this daemon.
type Source struct {
	// Reader is set while this daemon reads the log on behalf of its availability zone.
	Reader bool
	// KnownOffset is the highest offset known from the log or from any daemon.
	KnownOffset uint64
	// LogError is the error of the latest read of the log, empty if that read succeeded.
	LogError string
	// LogErrorSince is when reads of the log began to fail.
	LogErrorSince time.Time
	// StuckReason says why the daemon cannot move on from its version (a record with an unknown
	// rule, a log that was restored from an older copy), empty if it can.
	StuckReason string
}
