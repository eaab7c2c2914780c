package admission

import "time"

const (
	// returnedShare is the inverse of the part of the objective that a call needs at least
	// to be answered within it.
	returnedShare = 3
	// impatientTries is how many gates a call tries before it settles for a wait,
	// and impatientShare the part of its latency objective that it may have to wait
	// at each of them.
	impatientTries = 2
	impatientShare = 0.125
	// patientShare is the part that it may have to wait at the last ones. With a
	// longer wait ahead the answer would come late, and calls that come after it
	// would wait in turn: refused at once, the caller comes back when the queue is
	// shorter.
	patientShare = 0.6
	// returnedWaitShare is the inverse of the part of its time that a call waits
	// which can only come late.
	returnedWaitShare = 4
)

// Request is what counts of a request for how it is treated under overload.
type Request struct {
	// Nested is whether a service makes the call for a request that it works on. What such
	// a call is worth is its parent's answer: refused, it loses the work done so far.
	Nested bool
	// Priority of the route, 0 first.
	Priority int
	// Objective is the time within which the answer is worth its full value, 0 for none.
	Objective time.Duration
	// FirstSent is when the caller began with the request, as far as that is known; Arrived when
	// this attempt of the caller arrived.
	FirstSent, Arrived time.Time
	// Deadline is when the caller leaves.
	Deadline time.Time
}

// Returned reports whether the request can hardly be answered within its objective any
// more: its caller has been refused before, and has come back.
func (r Request) Returned() bool {
	return !r.Nested && r.Objective > 0 && r.Arrived.Sub(r.FirstSent) > r.Objective-r.Objective/returnedShare
}

// Rank returns the request's rank at gates, 0 first. Within one priority of its route,
// requests that can be answered in time go before those that come back too late for that:
// they would else take the slots from callers who then come back late in turn.
func (r Request) Rank() int {
	rank := 2 * r.Priority
	if r.Returned() {
		rank++
	}
	return rank
}

// ObjectiveLeft returns how much is left of the objective, 0 where none counts: the answer
// comes late in any case, or the call is nested and its parent's time counts.
func (r Request) ObjectiveLeft(now time.Time) time.Duration {
	if r.Nested || r.Objective == 0 || r.Returned() {
		return 0
	}
	return max(r.Objective-now.Sub(r.FirstSent), time.Millisecond)
}

// AttemptHistory tells how a request has fared at gates so far.
type AttemptHistory struct {
	// Refusals by gates.
	Refusals int
	// FullWait is set once it is to wait at a gate for as long as it may.
	FullWait bool
	// RemoteCost is the time that it is worth to stay in the availability zone.
	RemoteCost time.Duration
}

// MaxWait returns how long the next attempt may have to wait for a slot, 0 for as
// long as its time allows. A gate that refuses at once costs a hop; a queue there,
// while another backend server is free, costs the wait. Where bytes between zones
// are dear, a longer wait is cheaper than the next zone.
func (r Request) MaxWait(t AttemptHistory, now time.Time) time.Duration {
	if r.Nested || r.Objective == 0 {
		return 0
	}
	if r.Returned() {
		return max(r.Deadline.Sub(now)/returnedWaitShare, time.Millisecond)
	}
	objective := float64(r.Objective)
	least := time.Duration(impatientShare * objective)
	// What earlier gates took is gone.
	most := max(time.Duration(patientShare*objective)-now.Sub(r.FirstSent), least)
	if t.FullWait || t.Refusals >= impatientTries {
		return most
	}
	return min(least+t.RemoteCost, most)
}
