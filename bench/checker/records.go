// Package checker decides from records alone whether a trial kept what users
// were promised. It shares no code with the product: it goes by what callers
// were told, what backend servers ran, what daemons said they had in force and
// what operators published.
package checker

import (
	"time"

	"github.com/crocuscross/crocuscross/internal/standin/backendserver"
	"github.com/crocuscross/crocuscross/internal/standin/caller"
)

// Records is everything that was recorded in a trial, by one clock.
type Records struct {
	Calls      []caller.Call
	Executions []backendserver.Execution
	// Observations of each host are in the order in which they were made.
	Observations []Observation
	States       []State
	Publishes    []Publish
	Probes       []Probe
	Absences     []Absence
	Leaves       []Leave
	Stops        []Stop
	Routes       []Route
	// Service that each backend server offers, by the server's name.
	Services map[string]string
}

// Observation is a daemon's own word on the version that it has in force.
type Observation struct {
	Host string
	// Life numbers the processes under one host name.
	Life int
	// Asked is when the question was sent, At when the answer was there.
	Asked, At time.Time
	// Offset in force, 0 for none.
	Offset uint64
}

// State is the configuration that a daemon told.
type State struct {
	Host   string
	At     time.Time
	Offset uint64
	// Chain is the digest over all records up to Offset.
	Chain string
	// Revisions holds the offset that set each resource.
	Revisions map[string]uint64
}

// Outcome is what an operator was told of a publish.
type Outcome string

// The outcomes.
const (
	Accepted Outcome = "accepted"
	Rejected Outcome = "rejected"
	Unknown  Outcome = "unknown"
)

// Publish is one bundle of an operator.
type Publish struct {
	ID      string
	Outcome Outcome
	// Offset of the record, 0 if it is not known.
	Offset uint64
	// At is when the operator was told the outcome.
	At time.Time
	// Resources that the bundle sets, as in State.Revisions.
	Resources []string
	// Customer that only this publish has made known, if any.
	Customer string
	// Race names the publishes of which one must win.
	Race string
}

// Probe is a request of a customer made known by one publish. A daemon that
// does not know the customer has not got the publish in force.
type Probe struct {
	Host     string
	Customer string
	// Sent is when the request was sent.
	Sent    time.Time
	Unknown bool
}

// Absence is a time in which a daemon could not have learned of a version: it
// was dead, paused, cut off, or the platform's log was down (Host is empty).
type Absence struct {
	Host string
	From time.Time
	// To is zero while it lasts.
	To  time.Time
	Why string
}

// Leave is a backend server that announced that it leaves.
type Leave struct {
	Server string
	At     time.Time
	// Back is when it offered itself again, zero if it has not.
	Back time.Time
}

// Stop is a planned stop of hosts, with nothing else going wrong meanwhile.
type Stop struct {
	Hosts []string
	// From the first word of the stop To a time after the end of the last
	// process when the calls that it met have ended.
	From, To time.Time
}

// Route is a path prefix that must be answered throughout by one of the
// services.
type Route struct {
	Prefix   string
	Services []string
	// Unbroken is set where no daemon that calls were sent to restarted between
	// From and To: then nobody may be told that there is no route or no backend
	// server.
	Unbroken bool
	From, To time.Time
}
