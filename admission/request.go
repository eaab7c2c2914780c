package admission

import "time"

const (
	// minAnswerDivisor determines the time that an attempt needs at least to be answered, as the
	// latency objective divided by minAnswerDivisor.
	minAnswerDivisor = 3
	// shortWaitTries is the number of gates that a request tries with a short wait before it
	// accepts the full one, and shortWaitShare the short wait as a share of the latency
	// objective.
	shortWaitTries = 2
	shortWaitShare = 0.125
	// fullWaitShare is the full wait, at the last gates tried, as a share of the latency
	// objective. After a longer wait the answer would be late, and the requests queued behind
	// it would wait in turn. A request that is refused at once can be sent again by its caller
	// when the queue is shorter.
	fullWaitShare = 0.6
	// lateRetryWaitDivisor determines how long a late retry may wait, as its remaining time
	// divided by lateRetryWaitDivisor.
	lateRetryWaitDivisor = 4
)

// Request holds the properties of a request that determine its treatment under overload.
type Request struct {
	// Nested is set if a backend server makes the call while it processes another request, its
	// parent. The call has no value of its own: if it is refused, the work done for the parent
	// is lost.
	Nested bool
	// Priority is that of the route; 0 is the most urgent.
	Priority int
	// Objective is the latency objective, within which the answer has its full value. 0 means
	// none.
	Objective time.Duration
	// FirstSent is the estimated time at which the caller sent its first attempt, and Arrived
	// the time at which this attempt arrived. They are equal for a first attempt.
	FirstSent, Arrived time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// IsLateRetry reports whether the request is a retry by a caller whose earlier attempt was
// refused, and arrived too late to be answered within its objective in most cases.
func (r Request) IsLateRetry() bool {
	return !r.Nested && r.Objective > 0 && r.Arrived.Sub(r.FirstSent) > r.Objective-r.Objective/minAnswerDivisor
}

// Rank returns the request's rank at gates; 0 is admitted first. Among requests of the same route
// priority, late retries rank behind those that can be answered in time. Otherwise they would
// take the slots of requests that would in turn be refused and become late retries.
func (r Request) Rank() int {
	rank := 2 * r.Priority
	if r.IsLateRetry() {
		rank++
	}
	return rank
}

// ObjectiveLeft returns the remaining part of the latency objective, at least 1 ms. It returns 0
// if no objective applies: the request has none, it is a late retry, or it is nested, so that the
// objective of its parent counts.
func (r Request) ObjectiveLeft(now time.Time) time.Duration {
	if r.Nested || r.Objective == 0 || r.IsLateRetry() {
		return 0
	}
	return max(r.Objective-now.Sub(r.FirstSent), time.Millisecond)
}

// AttemptHistory holds what is known of a request's earlier attempts when the next gate is
// chosen.
type AttemptHistory struct {
	// Refusals is the number of gates that refused the request.
	Refusals int
	// FullWait is set if the request may wait at the next gate for as long as an answer within
	// its objective is still likely, whatever the number of refusals.
	FullWait bool
	// RemoteCost is the additional waiting time that is acceptable to keep the request in its
	// availability zone.
	RemoteCost time.Duration
}

// MaxWait returns how long the next attempt may wait for a slot. 0 means until its deadline. A
// gate that refuses at once costs a network hop; a queue costs waiting time while another backend
// server may be free. Where traffic between availability zones is expensive, a longer wait in the
// own zone is cheaper than an attempt in another one.
func (r Request) MaxWait(t AttemptHistory, now time.Time) time.Duration {
	if r.Nested || r.Objective == 0 {
		return 0
	}
	if r.IsLateRetry() {
		return max(r.Deadline.Sub(now)/lateRetryWaitDivisor, time.Millisecond)
	}
	objective := float64(r.Objective)
	shortWait := time.Duration(shortWaitShare * objective)
	// The time spent since the first attempt is subtracted.
	fullWait := max(time.Duration(fullWaitShare*objective)-now.Sub(r.FirstSent), shortWait)
	if t.FullWait || t.Refusals >= shortWaitTries {
		return fullWait
	}
	return min(shortWait+t.RemoteCost, fullWait)
}
