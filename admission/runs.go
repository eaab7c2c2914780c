// Package admission decides how a request is treated under overload: its rank, how long it may
// wait for a slot, and whether it is a request of a caller or a nested call. Callers are client
// applications on the hosts; a nested call is one that a backend server makes while it processes
// a request. The decisions are based on what the daemons observe and on times that the caller
// of a function passes in; the package does no I/O.
package admission

import (
	"slices"
	"sync"
	"time"
)

// Origin is what a daemon knows about where a call comes from. The local backend server and the
// callers on the host send their calls to the same address, so the calls do not state it.
type Origin uint8

const (
	// OriginUnknown means that the daemon has just started and may not know all runs in
	// progress.
	OriginUnknown Origin = iota
	// OriginCaller means that a caller sent the call: it expires later than every run in
	// progress at the backend server.
	OriginCaller
	// OriginMaybeRun means that a run in progress may have made the call.
	OriginMaybeRun
)

const (
	// unknownRunsFor is the time after the daemon's start in which the local backend server may
	// still process requests that the daemon does not know of. Most of these end when the
	// previous process ends and its connections close.
	unknownRunsFor = time.Second
	// expirySlack is how much later than its run a nested call may seem to expire. It covers
	// the time until the call is read on a host with a third of a core under load.
	expirySlack = 50 * time.Millisecond
	// lateCallWindow is how long after the end of a run its calls may still arrive: the run was
	// canceled and the backend server has not noticed yet.
	lateCallWindow = 250 * time.Millisecond
)

// Runs tracks the runs in progress at the local backend server. It is safe for concurrent use.
type Runs struct {
	started time.Time

	mu   sync.Mutex
	runs []*Run
}

// Run is the processing of one request by the backend server.
type Run struct {
	runs *Runs
	// request is the ID of the request, empty if it has none.
	request string
	// expiry is when the backend server stops processing the request at the latest.
	expiry time.Time
	// ended is zero while the run is in progress.
	ended time.Time
}

// NewRuns returns a Runs for a daemon that starts at now.
func NewRuns(now time.Time) *Runs { return &Runs{started: now} }

// Begin adds a run of the request with an ID, empty if it has none. The backend server stops
// processing it at expiry at the latest.
func (r *Runs) Begin(request string, expiry time.Time) *Run {
	n := &Run{runs: r, request: request, expiry: expiry}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, n)
	return n
}

// End records that the run ended at now.
func (n *Run) End(now time.Time) {
	n.runs.mu.Lock()
	defer n.runs.mu.Unlock()
	n.ended = now
}

// Origin classifies a call that arrives at now and expires at expiry. A nested call expires no
// later than its run.
func (r *Runs) Origin(expiry, now time.Time) Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = slices.DeleteFunc(r.runs, func(n *Run) bool {
		return !n.ended.IsZero() && now.Sub(n.ended) > lateCallWindow
	})
	if slices.ContainsFunc(r.runs, func(n *Run) bool { return n.mayHaveMade(expiry) }) {
		return OriginMaybeRun
	}
	if now.Sub(r.started) < unknownRunsFor {
		return OriginUnknown
	}
	return OriginCaller
}

// mayHaveMade reports whether the run may have made a call that expires at expiry.
func (n *Run) mayHaveMade(expiry time.Time) bool { return !expiry.After(n.expiry.Add(expirySlack)) }

// PossibleParents returns the IDs of the requests whose runs may have made a call that expires
// at expiry. Requests without an ID are left out.
func (r *Runs) PossibleParents(expiry time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var requests []string
	for _, n := range r.runs {
		if n.mayHaveMade(expiry) && n.request != "" {
			requests = append(requests, n.request)
		}
	}
	return requests
}
