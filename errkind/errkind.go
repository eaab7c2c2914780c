// Package errkind defines the closed set of error kinds and maps each kind to the response that
// the caller receives. Every rejection or failure that leaves a process carries exactly one of
// these kinds.
package errkind

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind identifies why a call ended without a response from the backend server. Its value is the
// name that callers see.
type Kind string

// All error kinds.
const (
	// None is the kind of a nil error.
	None Kind = ""

	BadRequest       Kind = "bad_request"
	TooLarge         Kind = "too_large"
	Unauthenticated  Kind = "unauthenticated"
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

// Run states whether the backend server executed the call.
type Run string

// The values of Run.
const (
	// NotRun guarantees that the call has not been executed and never will be.
	NotRun Run = "no"
	// RunUnknown guarantees nothing: the call may have been executed.
	RunUnknown Run = "unknown"
)

// Response describes what a caller receives for an error kind.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Run states whether the call was executed.
	Run Run
	// Retry reports whether the same call may succeed if it is sent again. If it is set, an
	// idempotent call is safe to resend.
	Retry bool
	// RetryAfter is the minimum delay before a retry, unless the error sets its own. Zero omits
	// the Retry-After header.
	RetryAfter time.Duration
}

// statusClientClosedRequest is the conventional status (from nginx) for a caller that
// disconnected. It appears only in logs and metrics.
const statusClientClosedRequest = 499

// shortRetryAfter applies to conditions that clear within moments, such as a backend server that
// is announcing itself or a daemon that is starting. Callers that accept only whole seconds
// receive one second.
const shortRetryAfter = 200 * time.Millisecond

// shedRetryAfter applies when a backend server rejects a call although its gate had a free slot.
// The next attempt goes to another server, so the time it takes to get there is enough of a
// delay.
const shedRetryAfter = 50 * time.Millisecond

// quarantinedRetryAfter is the fallback for the remaining time of a quarantine, which the error
// itself normally carries.
const quarantinedRetryAfter = time.Minute

// responses maps each kind to its response.
var responses = map[Kind]Response{
	BadRequest:       {http.StatusBadRequest, NotRun, false, 0},
	TooLarge:         {http.StatusRequestEntityTooLarge, NotRun, false, 0},
	Unauthenticated:  {http.StatusUnauthorized, NotRun, false, 0},
	UnknownCustomer:  {http.StatusForbidden, NotRun, false, 0},
	NoRoute:          {http.StatusNotFound, NotRun, false, 0},
	RateLimited:      {http.StatusTooManyRequests, NotRun, true, time.Second},
	ConcurrencyLimit: {http.StatusTooManyRequests, NotRun, true, time.Second},
	NotReady:         {http.StatusServiceUnavailable, NotRun, true, shortRetryAfter},
	NoBackend:        {http.StatusServiceUnavailable, NotRun, true, shortRetryAfter},
	Overloaded:       {http.StatusServiceUnavailable, NotRun, true, time.Second},
	Shed:             {http.StatusServiceUnavailable, NotRun, true, shedRetryAfter},
	Draining:         {http.StatusServiceUnavailable, NotRun, true, shortRetryAfter},
	Unreachable:      {http.StatusServiceUnavailable, NotRun, true, shortRetryAfter},
	DeadlineNotRun:   {http.StatusServiceUnavailable, NotRun, true, shortRetryAfter},
	Barred:           {http.StatusServiceUnavailable, NotRun, true, shortRetryAfter},
	KeyUnknown:       {http.StatusBadRequest, NotRun, false, 0},
	KeyMismatch:      {http.StatusUnprocessableEntity, NotRun, false, 0},
	KeyInProgress:    {http.StatusConflict, RunUnknown, true, time.Second},
	KeyUnresolved:    {http.StatusServiceUnavailable, RunUnknown, true, time.Second},
	Deadline:         {http.StatusGatewayTimeout, RunUnknown, true, 0},
	OutcomeUnknown:   {http.StatusBadGateway, RunUnknown, false, 0},
	BackendFailed:    {http.StatusBadGateway, RunUnknown, true, 0},
	BackendEnded:     {http.StatusBadGateway, RunUnknown, true, 0},
	Quarantined:      {http.StatusServiceUnavailable, NotRun, true, quarantinedRetryAfter},
	Canceled:         {statusClientClosedRequest, RunUnknown, false, 0},
	Internal:         {http.StatusInternalServerError, RunUnknown, false, 0},
}

// Kinds returns all kinds, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for k := range responses {
		kinds = append(kinds, k)
	}
	return kinds
}

// Response returns the response for the kind. An unknown kind yields Internal's response.
func (k Kind) Response() Response {
	a, ok := responses[k]
	if !ok {
		return responses[Internal]
	}
	return a
}

// Known reports whether the kind is defined in this package. A newer daemon may send a kind that
// an older one does not know.
func (k Kind) Known() bool {
	_, ok := responses[k]
	return ok
}

// Error is an error with a kind.
type Error struct {
	Kind Kind
	// RetryAfter overrides the kind's default when it is greater than zero.
	RetryAfter time.Duration
	// runUnknown overrides the NotRun of the kind's response with RunUnknown.
	runUnknown bool
	cause      error
}

// New returns an error of kind k with a human-readable message.
func New(k Kind, text string) *Error {
	return &Error{Kind: k, cause: errors.NewWithDepth(1, text)}
}

// Newf is like New but formats the message.
func Newf(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, cause: errors.NewWithDepthf(1, format, args...)}
}

// Wrap wraps err with kind k and prefixes its message with text.
func Wrap(k Kind, err error, text string) *Error {
	return &Error{Kind: k, cause: errors.WrapWithDepth(1, err, text)}
}

// WithRetryAfter returns a copy of the error whose minimum delay before a retry is d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithRunUnknown returns a copy of err that no longer guarantees that the call has not run, or
// err itself if it is not an Error. It is for the rejection of a request whose idempotency key
// was already used by an earlier request: this request was rejected, but the earlier one may have
// run.
func WithRunUnknown(err error) error {
	var e *Error
	if !errors.As(err, &e) {
		return err
	}
	c := *e
	c.runUnknown = true
	return &c
}

// RunOf returns whether the call that failed with err was executed.
func RunOf(err error) Run {
	var e *Error
	if errors.As(err, &e) && e.runUnknown {
		return RunUnknown
	}
	return Of(err).Response().Run
}

// Error returns the message without the kind.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Of returns the kind of err: None for nil, Internal if the chain contains no Error.
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

// RetryAfterOf returns the minimum delay before a retry: the error's own value or, if it has
// none, the default of its kind.
func RetryAfterOf(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) && e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return Of(err).Response().RetryAfter
}
