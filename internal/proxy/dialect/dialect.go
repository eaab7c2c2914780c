// Package dialect names the header fields that daemons exchange with callers and backend
// servers. A platform with header names of its own defines a Dialect.
package dialect

import (
	"net/http"
	"strconv"
	"time"

	"github.com/crocuscross/crocuscross/internal/proxy/body"
)

// Dialect holds the names of header fields, in canonical form. An empty name means that the
// field is not used.
type Dialect struct {
	// Customer carries the name of the call's customer.
	Customer string
	// RequestID carries the ID that the caller gave the call. Backend servers return it, so
	// that a response to another call is detected.
	RequestID string
	// Remaining carries the time left for the call, in whole milliseconds. A backend server
	// passes it on with the calls that it makes in turn.
	Remaining string
	// Attempt carries the attempt number of the call, which nested calls inherit.
	Attempt string
	// Signature is set on each response that comes from a backend server itself.
	Signature string
	// ExpectedServer carries the ID of the backend server that a call is meant for. Another one
	// at the same address refuses the call with status 421 (Misdirected Request).
	ExpectedServer string
	// ServerID carries the ID of the backend server that sent the response.
	ServerID string
	// NotRun is set on the responses of a backend server that refused a call without running
	// it.
	NotRun string
	// CallerService carries the service of the backend server on the host that the call came
	// from. The daemon of that host sets it; a value that the caller sends is ignored.
	CallerService string
	// CustomerName carries the customer or account of the call to the backend server. The daemon that
	// identified the caller sets it; a value that the caller sends is removed.
	CustomerName string
	// RateLimit carries the requests per second that the backend server accepts from all hosts
	// together. It is on each of the server's responses while the limit applies.
	RateLimit string
	// Leaving is "1" on each response of a backend server that is about to exit.
	Leaving string
	// FractionalRetryAfter is whether callers accept fractions of a second in Retry-After. HTTP
	// itself allows whole seconds only.
	FractionalRetryAfter bool
}

// Default returns the names that apply without a platform's Dialect.
func Default() Dialect {
	return Dialect{
		Customer:     body.HeaderCustomer,
		CustomerName: body.HeaderCustomer,
		Remaining:    body.HeaderRemaining,
		Attempt:      body.HeaderAttempt,
	}
}

// Get returns the value of a header field, or "" if the dialect has no name for the field.
func Get(h http.Header, name string) string {
	if name == "" {
		return ""
	}
	return h.Get(name)
}

// Set sets a header field unless the dialect has no name for the field.
func Set(h http.Header, name, value string) {
	if name != "" {
		h.Set(name, value)
	}
}

// Replace sets a header field to a value, or removes it if the value is empty. It does nothing if the
// dialect has no name for the field.
func Replace(h http.Header, name, value string) {
	if name == "" {
		return
	}
	if value == "" {
		h.Del(name)
		return
	}
	h.Set(name, value)
}

// RetryAfter formats the value of a Retry-After header. Whole seconds are rounded up, since a
// caller that returns too early is refused again.
func (d Dialect) RetryAfter(after time.Duration) string {
	if d.FractionalRetryAfter {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10)
}

// IsRejection reports whether a response means that the backend server refused the call without
// running it. A dialect without a field for that never reports a rejection.
func (d Dialect) IsRejection(status int, h http.Header) bool {
	if d.ExpectedServer != "" && status == http.StatusMisdirectedRequest {
		return true
	}
	return d.NotRun != "" && h.Get(d.NotRun) != ""
}
