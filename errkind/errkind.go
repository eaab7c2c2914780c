// Package errkind is the closed list of error kinds and the table from a kind
// to what the caller is answered. Every refusal and failure that leaves a
// process carries exactly one kind of this list.
package errkind

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind names one way in which a call can end without the backend server's
// answer. Its value is the name that callers see.
type Kind string

// The closed list.
const (
	None Kind = ""

	BadRequest       Kind = "bad_request"
	TooLarge         Kind = "too_large"
	UnknownCustomer  Kind = "unknown_customer"
	NoRoute          Kind = "no_route"
	RateLimited      Kind = "rate_limited"
	ConcurrencyLimit Kind = "concurrency_limited"
	NotReady         Kind = "not_ready"
	NoBackend        Kind = "no_backend"
	Overloaded       Kind = "overloaded"
	Shed             Kind = "shed"
	Draining         Kind = "draining"
	Unreachable      Kind = "unreachable"
	DeadlineNotRun   Kind = "deadline_not_run"
	Barred           Kind = "barred"
	KeyUnknown       Kind = "key_unknown"
	KeyMismatch      Kind = "key_mismatch"
	KeyInProgress    Kind = "key_in_progress"
	KeyUnresolved    Kind = "key_unresolved"
	Deadline         Kind = "deadline_exceeded"
	OutcomeUnknown   Kind = "outcome_unknown"
	BackendFailed    Kind = "backend_failed"
	BackendEnded     Kind = "backend_ended"
	Quarantined      Kind = "quarantined"
	Canceled         Kind = "canceled"
	Internal         Kind = "internal"
)

// Run says whether the backend server ran the call.
type Run string

// NotRun is a promise: the call has not run and never will. RunUnknown makes
// no promise.
const (
	NotRun     Run = "no"
	RunUnknown Run = "unknown"
)

// Response is what a caller gets for a kind.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Run tells whether the call ran.
	Run Run
	// Retry is whether the same call may succeed if it is sent again, and is
	// safe to be sent again for an idempotent call.
	Retry bool
	// RetryAfter is when to come back at the earliest, unless the error itself
	// knows better. Zero leaves the header out.
	RetryAfter time.Duration
}

// statusCanceled is the customary status for a caller that went away; it is
// seen in logs and metrics only.
const statusCanceled = 499

// shortWait suits what is mended within moments: a backend server that announces
// itself, a daemon that starts. Callers that take whole seconds only are told one.
const shortWait = 200 * time.Millisecond

// shedWait suits a backend server that turns away calls though its gate had a slot
// for them: the next try goes elsewhere, and has waited long enough by its way.
const shedWait = 50 * time.Millisecond

// quarantinedWait stands for the rest of a quarantine, which the error itself tells.
const quarantinedWait = time.Minute

var table = map[Kind]Response{
	BadRequest:       {http.StatusBadRequest, NotRun, false, 0},
	TooLarge:         {http.StatusRequestEntityTooLarge, NotRun, false, 0},
	UnknownCustomer:  {http.StatusForbidden, NotRun, false, 0},
	NoRoute:          {http.StatusNotFound, NotRun, false, 0},
	RateLimited:      {http.StatusTooManyRequests, NotRun, true, time.Second},
	ConcurrencyLimit: {http.StatusTooManyRequests, NotRun, true, time.Second},
	NotReady:         {http.StatusServiceUnavailable, NotRun, true, shortWait},
	NoBackend:        {http.StatusServiceUnavailable, NotRun, true, shortWait},
	Overloaded:       {http.StatusServiceUnavailable, NotRun, true, time.Second},
	Shed:             {http.StatusServiceUnavailable, NotRun, true, shedWait},
	Draining:         {http.StatusServiceUnavailable, NotRun, true, shortWait},
	Unreachable:      {http.StatusServiceUnavailable, NotRun, true, shortWait},
	DeadlineNotRun:   {http.StatusServiceUnavailable, NotRun, true, shortWait},
	Barred:           {http.StatusServiceUnavailable, NotRun, true, shortWait},
	KeyUnknown:       {http.StatusBadRequest, NotRun, false, 0},
	KeyMismatch:      {http.StatusUnprocessableEntity, NotRun, false, 0},
	KeyInProgress:    {http.StatusConflict, RunUnknown, true, time.Second},
	KeyUnresolved:    {http.StatusServiceUnavailable, RunUnknown, true, time.Second},
	Deadline:         {http.StatusGatewayTimeout, RunUnknown, true, 0},
	OutcomeUnknown:   {http.StatusBadGateway, RunUnknown, false, 0},
	BackendFailed:    {http.StatusBadGateway, RunUnknown, true, 0},
	BackendEnded:     {http.StatusBadGateway, RunUnknown, true, 0},
	Quarantined:      {http.StatusServiceUnavailable, NotRun, true, quarantinedWait},
	Canceled:         {statusCanceled, RunUnknown, false, 0},
	Internal:         {http.StatusInternalServerError, RunUnknown, false, 0},
}

// Kinds returns the whole list in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(table))
	for k := range table {
		kinds = append(kinds, k)
	}
	return kinds
}

// Response returns the kind's row of the table; a name that is not in the list
// is answered as Internal.
func (k Kind) Response() Response {
	a, ok := table[k]
	if !ok {
		return table[Internal]
	}
	return a
}

// Known reports whether the kind is in the list. A newer daemon may send a name
// that an older one does not know.
func (k Kind) Known() bool {
	_, ok := table[k]
	return ok
}

// Error is an error with its kind.
type Error struct {
	Kind Kind
	// RetryAfter overrides the table's value when above zero.
	RetryAfter time.Duration
	// doubt overrides a table's NotRun.
	doubt bool
	cause error
}

// New returns an error of a kind with a text for people.
func New(k Kind, text string) *Error {
	return &Error{Kind: k, cause: errors.NewWithDepth(1, text)}
}

// Newf is New with a format.
func Newf(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, cause: errors.NewWithDepthf(1, format, args...)}
}

// Wrap gives an error a kind; the error's text is kept.
func Wrap(k Kind, err error, text string) *Error {
	return &Error{Kind: k, cause: errors.WrapWithDepth(1, err, text)}
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithRunUnknown returns err with the promise taken back that the call has not run. It is
// for a refusal of this request under a key that an earlier request may have run
// under: the refusal is true, "not run" may not be.
func WithRunUnknown(err error) error {
	var e *Error
	if !errors.As(err, &e) {
		return err
	}
	c := *e
	c.doubt = true
	return &c
}

// RunOf returns whether the call that ended with err ran.
func RunOf(err error) Run {
	var e *Error
	if errors.As(err, &e) && e.doubt {
		return RunUnknown
	}
	return Of(err).Response().Run
}

// Error returns the text without the kind.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Of returns the kind of an error: None for nil, Internal where no Error is in
// the chain.
func Of(err error) Kind {
	if err == nil {
		return None
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// RetryAfterOf returns when the caller should come back: the error's own value
// or else the table's.
func RetryAfterOf(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) && e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return Of(err).Response().RetryAfter
}
