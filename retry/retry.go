// Package retry decides whether a daemon retries a call.
//
// Calls are nested up to 15 levels deep: a backend server that runs a call calls other services
// through its own daemon, and so on. If the daemon at each level retried what fails below it, the
// attempts would multiply from level to level. Even with a budget of a tenth at each level, a
// failing server at the deepest level would get four times the calls. The load is limited by the
// rule that only the daemon closest to the failure retries:
//
//   - The answer of a backend server is returned unchanged, whatever its status. If the cause
//     lies deeper, the daemons there have already retried. This needs no cooperation of the
//     backend server, which may not propagate headers.
//   - A call that arrives as a second attempt from a level above is not retried here. The
//     attempt number is propagated by the backend servers that pass on headers.
//   - The remaining retries are limited by a budget for the whole process and by the remaining
//     time of the call, which is propagated as well.
package retry

import (
	"time"

	"github.com/crocuscross/crocuscross/errkind"
)

const (
	// MaxAttempts is the maximum number of attempts of one call at a daemon, including the first.
	MaxAttempts = 3
	// maxNoCostAttempts is the maximum number of attempts that cost no backend server any work. A
	// zone that is being stopped rejects a call at each of its backend servers in turn.
	maxNoCostAttempts = 10
	// maxOverloadedAttempts is the maximum number of attempts if gates reject them because their
	// queues are too long. Under overload all gates do so, and each further attempt takes
	// resources of the hosts that they need to serve other calls.
	maxOverloadedAttempts = 3
	// maxCrashes is the maximum number of servers that may have crashed while they ran a request
	// that is still retried. At a first crash, most of the requests that ran are unrelated to it.
	// A request that ran in two crashed servers probably caused both crashes and would crash a
	// third server.
	maxCrashes = 1
)

// Reason is the reason why a call is not retried.
type Reason string

const (
	ReasonNone Reason = ""
	// ReasonAnswered means that the backend server answered.
	ReasonAnswered Reason = "answered"
	// ReasonNotRetryable means an error that another backend server would return as well.
	ReasonNotRetryable Reason = "final"
	// ReasonMayHaveRun means a non-idempotent call that may have run.
	ReasonMayHaveRun Reason = "may_have_run"
	// ReasonRetriedAbove means a call that a level above is already retrying.
	ReasonRetriedAbove Reason = "retried_above"
	// ReasonCrashLimit means a call during which more than one server has crashed.
	ReasonCrashLimit Reason = "deadly"
	// ReasonAttempts means that the maximum number of attempts was made, ReasonTime that too
	// little time is left for another attempt.
	ReasonAttempts Reason = "attempts"
	ReasonTime     Reason = "time"
)

// Decision is the decision whether to retry a call.
type Decision struct {
	Retry bool
	// BudgetExempt retries are not charged to the budget: the failed attempt cost no backend
	// server any work, and there is at most one such retry for each server that drains.
	BudgetExempt bool
	// Reason is set if Retry is false.
	Reason Reason
}

// Call describes a call after one of its attempts has ended.
type Call struct {
	// InheritedAttempt is the attempt number with which the call arrived, starting at 1. If it is
	// above 1, a level above is retrying the call.
	InheritedAttempt int
	// Attempts is the number of attempts that this daemon has made, including the failed one.
	Attempts int
	// MaxAttempts is the limit of Attempts, or 0 for the default given by the constant
	// MaxAttempts.
	MaxAttempts int
	// Refusals is the number of attempts that were rejected before they reached a backend server.
	// They count in Attempts only if the caller does not set Unsent for them.
	Refusals int
	// Unsent means that the failed attempt is one of Refusals. It has cost no backend server any
	// work.
	Unsent bool
	// Crashes is the number of backend servers that are known to have crashed while they ran the
	// request.
	Crashes int
	// NonIdempotent calls are retried only if they have not run.
	NonIdempotent bool
	// Remaining is the time left for the call, Expected the usual duration of an attempt.
	Remaining, Expected time.Duration
}

// Allowed decides whether to retry a call whose latest attempt ended with kind. The kind
// errkind.None is an answer of the backend server.
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
	case c.NonIdempotent && kind.Response().Run != errkind.NotRun:
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

// otherServerMayAnswer reports whether another backend server may answer after an error of this
// kind. The table in errkind is different: it informs callers which errors are worth a later
// retry. A limit of the customer's contract, for example, is the same at all servers.
func otherServerMayAnswer(kind errkind.Kind) bool {
	switch kind {
	case errkind.Overloaded, errkind.Shed, errkind.Draining, errkind.Unreachable, errkind.DeadlineNotRun,
		errkind.NoBackend, errkind.Barred, errkind.BackendFailed, errkind.BackendEnded:
		return true
	}
	return false
}
