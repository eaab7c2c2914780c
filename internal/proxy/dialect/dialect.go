// Package dialect names the header fields that the daemons exchange with callers
// and backend servers. A platform that has names of its own brings its Dialect.
package dialect

import (
	"net/http"
	"strconv"
	"time"

	"github.com/crocuscross/crocuscross/internal/proxy/body"
)

// Dialect holds the names of header fields, in canonical form. Where a name is
// empty there is no such field.
type Dialect struct {
	// Customer names the customer of a call.
	Customer string
	// RequestID is the caller's own name for a call. Backend servers send it back,
	// so that an answer to another call is told from the one that is due.
	RequestID string
	// Remaining is how long a call may still take, in whole milliseconds. A
	// backend server passes it on with the calls it makes itself.
	Remaining string
	// Attempt is the number of the attempt over the whole depth of a call.
	Attempt string
	// Signature is on each answer that a backend server itself has given.
	Signature string
	// ExpectedServer carries the id of the backend server that a call is meant
	// for; another one at its address refuses the call with 421.
	ExpectedServer string
	// ServerID is the id of the backend server that gave an answer.
	ServerID string
	// NotRun is on answers of a backend server that turned a call away unrun.
	NotRun string
	// CallerService is the service of the backend server on the host where a call
	// began. Only the daemon there knows it; what a caller says does not count.
	CallerService string
	// FractionalRetryAfter is whether callers take a Retry-After with a fraction
	// of a second. In HTTP it is a whole number.
	FractionalRetryAfter bool
}

// Default returns the project's own names.
func Default() Dialect {
	return Dialect{
		Customer:  body.HeaderCustomer,
		Remaining: body.HeaderRemaining,
		Attempt:   body.HeaderAttempt,
	}
}

// Get returns the value of a field that the dialect may lack.
func Get(h http.Header, name string) string {
	if name == "" {
		return ""
	}
	return h.Get(name)
}

// Set sets a field that the dialect may lack.
func Set(h http.Header, name, value string) {
	if name != "" {
		h.Set(name, value)
	}
}

// RetryAfter writes a Retry-After field's value. Whole seconds are rounded up: a
// caller that comes back too early is refused again.
func (d Dialect) RetryAfter(after time.Duration) string {
	if d.FractionalRetryAfter {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10)
}

// IsRejection reports whether a backend server's answer says that it has not run
// the call. Without a field for that no answer says so.
func (d Dialect) IsRejection(status int, h http.Header) bool {
	if d.ExpectedServer != "" && status == http.StatusMisdirectedRequest {
		return true
	}
	return d.NotRun != "" && h.Get(d.NotRun) != ""
}
