package body

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/crocuscross/crocuscross/peerpb"
)

// Names of the headers that the project defines.
const (
	// HeaderCustomer names the customer of a request.
	HeaderCustomer = "X-Customer"
	// HeaderRemaining is the time that the request may still take, in milliseconds. A backend
	// server copies it to the requests that it makes while it processes this one.
	HeaderRemaining = "Crocuscross-Remaining-Ms"
	// HeaderAttempt is the number of the attempt, counted over all nested calls of the request.
	HeaderAttempt = "Crocuscross-Attempt"
	// HeaderIdempotencyKey carries an idempotency key that was issued by a daemon.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// Fields converts a header to message fields, without the hop-by-hop headers and those that the
// Connection header names.
func Fields(h http.Header) []*peerpb.Field {
	named := connectionHeaders(h)
	fields := make([]*peerpb.Field, 0, len(h))
	for name, values := range h {
		if hopByHopHeaders[name] || named[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, &peerpb.Field{Name: name, Value: []byte(v)})
		}
	}
	return fields
}

// Forwards reports whether a header contains the field of a name, in canonical form, and Fields keeps it.
func Forwards(h http.Header, name string) bool {
	return h.Get(name) != "" && !hopByHopHeaders[name] && !connectionHeaders(h)[name]
}

// SetFields adds message fields to a header, without the hop-by-hop headers.
func SetFields(h http.Header, fields []*peerpb.Field) {
	for _, f := range fields {
		name := textproto.CanonicalMIMEHeaderKey(f.GetName())
		if !hopByHopHeaders[name] {
			h[name] = append(h[name], string(f.GetValue()))
		}
	}
}

// connectionHeaders returns the names of the headers that the Connection header declares to
// apply to a single connection.
func connectionHeaders(h http.Header) map[string]bool {
	var named map[string]bool
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if named == nil {
				named = map[string]bool{}
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
