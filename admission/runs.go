// Package admission decides what a request may use of the services that it needs: how
// urgent a call is, how long it may wait, and whether it is let in at all. Its decisions
// look at what the daemons observe and at a clock that is handed in; they need no network.
package admission

import (
	"slices"
	"sync"
	"time"
)

// Origin tells what a daemon can say of where a call comes from. The backend server
// beside a daemon and the callers of its host send their calls to the same address.
type Origin uint8

// The origins.
const (
	// OriginUnknown says nothing, as of a daemon that has just started.
	OriginUnknown Origin = iota
	// OriginCaller calls cannot come from the backend server: no run in progress there
	// lasts as long as the call may.
	OriginCaller
	// OriginMaybeRun calls may have been made by a run in progress.
	OriginMaybeRun
)

const (
	// blindFor is how long after its start a daemon does not know all runs in progress at
	// the server beside it. Most end as the process before it does, with its connections.
	blindFor = time.Second
	// expirySlack is by how much a call that a run makes may seem to expire after the run:
	// the time it takes to be read on a host with a third of a core, under load.
	expirySlack = 50 * time.Millisecond
	// afterRun is how long after the end of a run its calls may still arrive: it was
	// canceled and the server has not noticed yet.
	afterRun = 250 * time.Millisecond
)

// Runs knows what the backend server beside a daemon runs. It is safe for concurrent use.
type Runs struct {
	since time.Time

	mu   sync.Mutex
	runs []*Run
}

// Run is one request that the server works on.
type Run struct {
	runs *Runs
	// request is the id of the request, empty where it has none.
	request string
	// expiry is when the server stops to work on it.
	expiry time.Time
	// ended is zero while it runs.
	ended time.Time
}

// NewRuns returns the runs of a daemon that starts now.
func NewRuns(now time.Time) *Runs { return &Runs{since: now} }

// Begin notes a run of a request that the server ends at expiry at the latest.
func (r *Runs) Begin(request string, expiry time.Time) *Run {
	n := &Run{runs: r, request: request, expiry: expiry}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, n)
	return n
}

// End notes that the run has ended.
func (n *Run) End(now time.Time) {
	n.runs.mu.Lock()
	defer n.runs.mu.Unlock()
	n.ended = now
}

// Origin returns where a call may come from that arrives now and expires at a time. The
// calls of a run expire with it.
func (r *Runs) Origin(expiry, now time.Time) Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = slices.DeleteFunc(r.runs, func(n *Run) bool {
		return !n.ended.IsZero() && now.Sub(n.ended) > afterRun
	})
	if slices.ContainsFunc(r.runs, func(n *Run) bool { return n.mayMake(expiry) }) {
		return OriginMaybeRun
	}
	if now.Sub(r.since) < blindFor {
		return OriginUnknown
	}
	return OriginCaller
}

// mayMake reports whether the run may make a call that expires at a time.
func (n *Run) mayMake(expiry time.Time) bool { return !expiry.After(n.expiry.Add(expirySlack)) }

// PossibleParents returns the requests whose runs may have made a call that expires at a time.
func (r *Runs) PossibleParents(expiry time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var requests []string
	for _, n := range r.runs {
		if n.mayMake(expiry) && n.request != "" {
			requests = append(requests, n.request)
		}
	}
	return requests
}
