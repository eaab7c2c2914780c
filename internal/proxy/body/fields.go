package body

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/crocuscross/crocuscross/peerpb"
)

// Header names of the system's own.
const (
	// HeaderCustomer names the customer of a call.
	HeaderCustomer = "X-Customer"
	// HeaderRemaining is how long a call may still take, in milliseconds. A
	// backend server passes it on with the calls it makes itself.
	HeaderRemaining = "Crocuscross-Remaining-Ms"
	// HeaderAttempt is the number of the attempt over the whole depth.
	HeaderAttempt = "Crocuscross-Attempt"
	// HeaderIdempotencyKey carries a key that a daemon has issued.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// Fields returns a header as message fields, without those of one connection.
func Fields(h http.Header) []*peerpb.Field {
	named := connectionNamed(h)
	fields := make([]*peerpb.Field, 0, len(h))
	for name, values := range h {
		if hopHeaders[name] || named[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, &peerpb.Field{Name: name, Value: v})
		}
	}
	return fields
}

// SetFields adds message fields to a header.
func SetFields(h http.Header, fields []*peerpb.Field) {
	for _, f := range fields {
		name := textproto.CanonicalMIMEHeaderKey(f.GetName())
		if !hopHeaders[name] {
			h[name] = append(h[name], f.GetValue())
		}
	}
}

// connectionNamed returns the headers that Connection declares to be of one
// connection only.
func connectionNamed(h http.Header) map[string]bool {
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
