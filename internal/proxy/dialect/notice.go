package dialect

import (
	"math"
	"net/http"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
)

// ServerNotice is what a backend server states about itself in a response.
type ServerNotice struct {
	// Limited is whether the server states a rate limit, and RateLimit that limit in requests per
	// second from all hosts together. Of several limits in one response, the lowest counts.
	Limited   bool
	RateLimit float64
	// Leaving is whether the server is about to exit and accepts no new requests.
	Leaving bool
}

// leavingValue is the value of the Leaving header of a server that is about to exit.
const leavingValue = "1"

// Notice returns the notice in the header of a response. An invalid rate limit is returned as an
// error beside the valid parts of the notice.
func (d Dialect) Notice(h http.Header) (ServerNotice, error) {
	var n ServerNotice
	n.Leaving = d.Leaving != "" && slices.Contains(h.Values(d.Leaving), leavingValue)
	if d.RateLimit == "" {
		return n, nil
	}
	var invalid error
	for _, value := range h.Values(d.RateLimit) {
		limit, err := parseRateLimit(value)
		if err != nil {
			invalid = errors.Wrapf(err, "header %s", d.RateLimit)
			continue
		}
		if !n.Limited || limit < n.RateLimit {
			n.Limited, n.RateLimit = true, limit
		}
	}
	return n, invalid
}

// parseRateLimit parses a number of requests per second.
func parseRateLimit(value string) (float64, error) {
	limit, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return 0, errors.Newf("rate limit must be a decimal number of requests per second, got %q", value)
	}
	return limit, nil
}
