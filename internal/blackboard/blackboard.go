package blackboard

import (
	"time"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/snapshot"
)

// Board holds the cells of one daemon. The comment on each names the only
// writer.
type Board struct {
	// State is the latest folded configuration; written by distribute.
	State Cell[fold.State]
	// Snapshot is what is in force; written by apply. It is nil until the
	// daemon has reached its floor.
	Snapshot Cell[snapshot.Snapshot]
	// Floor is the version below which nothing may come into force; written by
	// recover.
	Floor Cell[Floor]
	// Members is the table of daemons; written by membership.
	Members Cell[membership.View]
	// Backends is the set of known backend servers; written by backends.
	Backends Cell[backend.Set]
	// Local is the backend server beside this daemon; written by announce.
	Local Cell[LocalBackend]
	// Withheld is whether a rollout keeps calls from the backend server beside this daemon;
	// written by rollouts.
	Withheld Cell[bool]
	// Lifecycle is the daemon's phase; written by drain.
	Lifecycle Cell[Lifecycle]
	// Source tells how reading the platform's log goes; written by distribute.
	Source Cell[Source]
}

// Floor is what a restarted daemon has learned of the version that its host had
// in force before.
type Floor struct {
	Offset uint64
	// Known is whether enough was heard to serve at or above Offset.
	Known bool
	// Reason tells why not.
	Reason string
}

// LocalBackend is what the backend server beside the daemon announced.
type LocalBackend struct {
	// ID names the server, empty for one that has no id. A server that starts again may
	// have the ID that it had.
	ID string
	// StartUnixMs tells the lives of an ID apart: the start in Unix milliseconds by the server's
	// clock, 0 while it is not known.
	StartUnixMs int64
	Service     string
	// Version of the server's program, empty where it does not tell it.
	Version string
	// WarmAt is when the server will no longer be slow after its start.
	WarmAt time.Time
	// URL of the backend server on loopback.
	URL   string
	Slots int
	// HealthURL is polled as a hint, if set.
	HealthURL string
	Draining  bool
	// Sequence of the latest announcement of this life of a server with an id.
	Sequence uint64
	// FirstSeen is when it first announced itself in an unbroken run.
	FirstSeen time.Time
	// Expires is when the announcement lapses unless renewed.
	Expires time.Time
}

// Phase is a step of a daemon's life.
type Phase uint8

// The phases, in order.
const (
	Joining Phase = iota + 1
	Serving
	// Draining daemons take no more callers in. Their backend server still takes calls.
	Draining
	// Leaving daemons have the others send nothing more to the backend server.
	Leaving
	Stopped
)

// String returns the name in lower case.
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

// Lifecycle is the phase with the time it began.
type Lifecycle struct {
	Phase Phase
	Since time.Time
	// Reason tells who asked for a drain.
	Reason string
}

// Source tells how this daemon last got configuration.
type Source struct {
	// Reader is whether this daemon reads the log for its availability zone.
	Reader bool
	// KnownOffset is the highest offset heard of anywhere.
	KnownOffset uint64
	// LogError is the latest failure to read, empty if the last read went well.
	LogError string
	// LogErrorSince is when reads began to fail.
	LogErrorSince time.Time
	// StuckReason tells why the daemon must stay at its version (unknown rule, a log
	// that went back), empty if it need not.
	StuckReason string
}
