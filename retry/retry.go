// Package retry decides whether a daemon sends a call again.
//
// Calls are nested up to 15 deep: a backend server that runs a call calls other
// services through its own daemon, and so on. If each daemon on the way sends
// again what fails below it, the tries multiply from layer to layer, and even a
// budget of a tenth at each layer lets a failing server at the bottom see four
// times the calls. What bounds the load is that only the daemon nearest to the
// failure sends again:
//
//   - A backend server's own answer is passed on, whatever its status. Where the
//     cause lies deeper, the daemons there have done what could be done. This
//     needs no word from the backend server, which may not pass on headers.
//   - A call that arrives as a second attempt of a layer above is not sent again
//     here. Its number is carried down, by backend servers that pass it on.
//   - The rest is bounded by a budget for the whole process and by the time that
//     the call has left, which is carried down too.
package retry

import (
	"time"

	"github.com/crocuscross/crocuscross/errkind"
)

const (
	// MaxAttempts bounds the attempts of one call at a daemon, the first
	// included.
	MaxAttempts = 3
	// maxNoCostAttempts bounds them where the attempts cost nothing. A zone that
	// is stopped turns away a call at each of its backend servers in turn.
	maxNoCostAttempts = 10
	// maxOverloadedAttempts bounds them where gates refuse for the length of their queues.
	// Under overload all do, and each further try takes from the hosts what they
	// need to serve others.
	maxOverloadedAttempts = 3
	// maxCrashes is how many servers may have ended under a request that is sent to
	// another. At a first crash most of those that ran are bystanders; one that was in two
	// is likely what ended both, and would end a third.
	maxCrashes = 1
)

// Reason tells why a call is not sent again.
type Reason string

// The reasons.
const (
	ReasonNone Reason = ""
	// ReasonAnswered is a backend server's own answer.
	ReasonAnswered Reason = "answered"
	// ReasonNotRetryable is an error that another backend server would not mend.
	ReasonNotRetryable Reason = "final"
	// ReasonMayHaveRun is a non-idempotent call that may have run.
	ReasonMayHaveRun Reason = "may_have_run"
	// ReasonRetriedAbove is a call that a layer above is sending again.
	ReasonRetriedAbove Reason = "retried_above"
	// ReasonCrashLimit is a call under which more servers than one have ended.
	ReasonCrashLimit Reason = "deadly"
	// ReasonAttempts and ReasonTime mean that there were enough attempts, and
	// that too little time is left for another.
	ReasonAttempts Reason = "attempts"
	ReasonTime     Reason = "time"
)

// Decision is whether to send a call again.
type Decision struct {
	Retry bool
	// BudgetExempt retries take nothing from the budget: the attempt before cost no
	// backend server any work, and there is one for each server that leaves.
	BudgetExempt bool
	// Reason is set where Retry is false.
	Reason Reason
}

// Call is what the rule looks at.
type Call struct {
	// InheritedAttempt is the attempt number that the call arrived with, from 1; above
	// 1 a layer above is sending it again.
	InheritedAttempt int
	// Attempts is how many this daemon has made, the failed one included.
	Attempts int
	// MaxAttempts bounds Attempts, 0 for the constant of this name.
	MaxAttempts int
	// Refusals is how many attempts were turned away before they reached a backend
	// server; they count in Attempts only where Unsent is not told of them.
	Refusals int
	// Unsent is whether the failed attempt is one of them. It has cost no backend
	// server any work.
	Unsent bool
	// Crashes is how many backend servers are known to have ended under the request.
	Crashes int
	// NonIdempotent calls are sent again only if they have not run.
	NonIdempotent bool
	// Remaining is the time left, Expected what an attempt usually takes.
	Remaining, Expected time.Duration
}

// Allowed decides after an attempt ended with kind; errkind.None is a backend
// server's own answer.
func Allowed(kind errkind.Kind, c Call) Decision {
	budgetExempt := kind == errkind.Draining || c.Unsent
	attempts, limit := c.Attempts, MaxAttempts
	if c.MaxAttempts > 0 {
		limit = c.MaxAttempts
	}
	switch {
	case c.Unsent && kind == errkind.Overloaded:
		attempts, limit = c.Refusals, maxOverloadedAttempts
	case c.Unsent:
		attempts, limit = c.Refusals, maxNoCostAttempts
	case budgetExempt:
		limit = maxNoCostAttempts
	}
	switch {
	case kind == errkind.None:
		return Decision{Reason: ReasonAnswered}
	case !otherServerMayAnswer(kind):
		return Decision{Reason: ReasonNotRetryable}
	case c.NonIdempotent && kind.Answer().Run != errkind.NotRun:
		return Decision{Reason: ReasonMayHaveRun}
	case kind == errkind.BackendEnded && c.Crashes > maxCrashes:
		return Decision{Reason: ReasonCrashLimit}
	case c.InheritedAttempt > 1 && !budgetExempt:
		return Decision{Reason: ReasonRetriedAbove}
	case attempts >= limit:
		return Decision{Reason: ReasonAttempts}
	case c.Remaining <= c.Expected:
		return Decision{Reason: ReasonTime}
	}
	return Decision{Retry: true, BudgetExempt: budgetExempt}
}

// otherServerMayAnswer reports whether another backend server may do better. The table of
// errkind tells callers what is worth sending again later; a limit of the
// customer's contract, for one, is the same at all servers.
func otherServerMayAnswer(kind errkind.Kind) bool {
	switch kind {
	case errkind.Overloaded, errkind.Shed, errkind.Draining, errkind.Unreachable, errkind.DeadlineNotRun,
		errkind.NoBackend, errkind.Barred, errkind.BackendFailed, errkind.BackendEnded:
		return true
	}
	return false
}
