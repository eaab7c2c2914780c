package dialect

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestRetryAfter(t *testing.T) {
	must.Eq(t, "2", Default().RetryAfter(1200*time.Millisecond))
	must.Eq(t, "1.200", Dialect{FractionalRetryAfter: true}.RetryAfter(1200*time.Millisecond))
}

// Rejections are recognized only by a dialect that names a field for them. With the default
// names, status 503 or 421 is an ordinary response.
func TestIsRejection(t *testing.T) {
	d := Dialect{NotRun: "Not-Run", ExpectedServer: "Expected"}
	refusal := http.Header{"Not-Run": {"1"}}
	must.True(t, d.IsRejection(http.StatusServiceUnavailable, refusal))
	must.True(t, d.IsRejection(http.StatusMisdirectedRequest, http.Header{}))
	must.False(t, d.IsRejection(http.StatusServiceUnavailable, http.Header{}))
	must.False(t, Default().IsRejection(http.StatusServiceUnavailable, refusal))
	must.False(t, Default().IsRejection(http.StatusMisdirectedRequest, http.Header{}))
}
