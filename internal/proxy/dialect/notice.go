package dialect

import (
	"math"
	"strconv"

	"github.com/cockroachdb/errors"
)

// ServerNotice is what a backend server states about itself in a response.
type ServerNotice struct {
	// Limited is whether the server states a rate limit, and RateLimit that limit in requests per
	// second from all hosts together.
	Limited   bool
	RateLimit float64
	// Leaving is whether the server is about to exit and accepts no new requests.
	Leaving bool
}

// leavingValue is the value of the Leaving header of a server that is about to exit.
const leavingValue = "1"

// Notice returns the notice in a response. get returns the value of a header field, or "" if the
// response does not have it. An invalid rate limit is returned as an error, with Limited unset.
func (d Dialect) Notice(get func(name string) string) (ServerNotice, error) {
	var n ServerNotice
	n.Leaving = d.Leaving != "" && get(d.Leaving) == leavingValue
	if d.RateLimit == "" {
		return n, nil
	}
	value := get(d.RateLimit)
	if value == "" {
		return n, nil
	}
	limit, err := parseRateLimit(value)
	if err != nil {
		return n, errors.Wrapf(err, "header %s", d.RateLimit)
	}
	n.Limited, n.RateLimit = true, limit
	return n, nil
}

// parseRateLimit parses a number of requests per second.
func parseRateLimit(value string) (float64, error) {
	limit, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return 0, errors.Newf("rate limit must be a decimal number of requests per second, got %q", value)
	}
	return limit, nil
}
