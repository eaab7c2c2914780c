// Package retry decides whether a daemon sends a call again. Calls are nested
// up to 15 deep, so what bounds the load is not one layer's rule but that only
// the layer nearest to a failure sends again: a backend server's own answer,
// whatever its status, is passed on, since the daemons below it have done what
// could be done. See Allowed.
package retry

import (
	"time"

	"github.com/crocuscross/crocuscross/errkind"
)

// MaxAttempts bounds the attempts of one call, the first included.
const MaxAttempts = 3

// Reason tells why a call is not sent again.
type Reason string

// The reasons.
const (
	ReasonNone       Reason = ""
	ReasonAnswered   Reason = "answered"
	ReasonFinal      Reason = "final"
	ReasonMayHaveRun Reason = "may_have_run"
	ReasonRetried    Reason = "retried_above"
	ReasonAttempts   Reason = "attempts"
	ReasonTime       Reason = "time"
	ReasonBudget     Reason = "budget"
)

// Decision is whether to send a call again.
type Decision struct {
	Retry bool
	// Reason is set where Retry is false.
	Reason Reason
	// Free retries take nothing from the budget: the attempt before cost no
	// backend server any work.
	Free bool
}

// Call is what the rule looks at.
type Call struct {
	// Inherited is the attempt number that the call arrived with, from 1; above
	// 1 a layer above is already sending again.
	Inherited int
	// Attempts is how many this daemon has made, the failed one included.
	Attempts int
	// NonIdempotent calls are sent again only if they have not run.
	NonIdempotent bool
	// Remaining is the time left, Expected what an attempt usually takes.
	Remaining, Expected time.Duration
}

// Allowed decides after an attempt ended with kind; errkind.None is a backend
// server's own answer.
func Allowed(kind errkind.Kind, c Call) Decision {
	if kind == errkind.None {
		return Decision{Reason: ReasonAnswered}
	}
	answer := kind.Answer()
	switch {
	case !answer.Retry:
		return Decision{Reason: ReasonFinal}
	case c.NonIdempotent && answer.Run != errkind.NotRun:
		return Decision{Reason: ReasonMayHaveRun}
	case c.Inherited > 1 && answer.Run != errkind.NotRun:
		return Decision{Reason: ReasonRetried}
	case c.Attempts >= MaxAttempts:
		return Decision{Reason: ReasonAttempts}
	case c.Remaining <= c.Expected:
		return Decision{Reason: ReasonTime}
	}
	return Decision{Retry: true, Free: kind == errkind.Draining}
}
