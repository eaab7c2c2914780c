package daemon

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/answer"
	"github.com/crocuscross/crocuscross/internal/proxy/body"
	"github.com/crocuscross/crocuscross/internal/proxy/outbound"
)

// countingHandler answers each request with its number.
func countingHandler(runs *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "hold %d", runs.Add(1))
	})
}

// issueKey returns a header with an idempotency key issued by a daemon.
func (f *testFleet) issueKey(d *testDaemon) http.Header {
	f.t.Helper()
	resp := f.call(d, http.MethodPost, outbound.KeysPath, "", nil)
	must.Eq(f.t, http.StatusOK, resp.StatusCode)
	return http.Header{body.HeaderIdempotencyKey: {resp.Header.Get(body.HeaderIdempotencyKey)}}
}

// A caller repeats a request under the same key through other hosts, as after a lost response. It
// gets the first response again, and the request runs once.
func TestKeyed_RepeatedHoldRunsOnce(t *testing.T) {
	var runs atomic.Int64
	f := newFleetWithBackend(t, 3, countingHandler(&runs))
	for name, key := range map[string]http.Header{
		"issued": f.issueKey(f.daemons[0]),
		"own":    {body.HeaderIdempotencyKey: {"4e1243bd-22c6-6e76"}},
	} {
		first := ""
		for i, d := range f.daemons {
			resp := f.call(d, http.MethodPost, "/signs/hold", "space 12", key)
			must.Eq(t, http.StatusOK, resp.StatusCode, must.Sprint(name, resp.Header))
			got := readAll(t, resp.Body)
			if i == 0 {
				first = got
			}
			must.Eq(t, first, got)
		}
		other := f.call(f.daemons[1], http.MethodPost, "/signs/hold", "space 13", key)
		must.Eq(t, "key_mismatch", other.Header.Get(answer.HeaderError))
	}
	must.Eq(t, 2, runs.Load())
}

// A request has run, and its repeat is rejected because the customer exceeds its rate. The
// rejection must not report "not run", since the request did run.
func TestKeyed_RejectedRepeatReportsUnknown(t *testing.T) {
	var runs atomic.Int64
	f := newFleet(t, 2)
	f.announceBackend(f.daemons[1], "sign-feed", countingHandler(&runs))
	c := garageContract()
	c.RatePerSecond, c.Burst = 1, 1
	f.waitConverged(f.publish(service("sign-feed"), route("signs", "/signs", "sign-feed"), contract(c, 0)), 1)
	key := f.issueKey(f.daemons[0])
	f.eventually("the hold has run", func() bool {
		return f.call(f.daemons[0], http.MethodPost, "/signs/hold", "space 12", key).StatusCode == http.StatusOK
	})
	f.eventually("a repeat is refused", func() bool {
		resp := f.call(f.daemons[0], http.MethodPost, "/signs/hold", "space 12", key)
		if resp.StatusCode == http.StatusOK {
			return false
		}
		must.Eq(t, "rate_limited", resp.Header.Get(answer.HeaderError))
		must.Eq(t, "unknown", resp.Header.Get(answer.HeaderRun))
		return true
	})
	must.Eq(t, 1, runs.Load())
}

// The daemon that issued a key has stopped. A request under the key reports an unknown outcome,
// never that it was not run, and does not run.
func TestKeyed_StoppedHolderReportsUnknown(t *testing.T) {
	var runs atomic.Int64
	f := newFleetWithBackend(t, 3, countingHandler(&runs))
	key := f.issueKey(f.daemons[1])
	leaving := f.daemons[1]
	leaving.stop()
	err := <-leaving.done
	leaving.done <- err
	must.NoError(t, err)
	f.daemons = []*testDaemon{f.daemons[0], f.daemons[2]}
	f.eventually("the holder is known to be gone", func() bool {
		resp := f.call(f.daemons[0], http.MethodPost, "/signs/hold", "space 12", key)
		must.Eq(t, "unknown", resp.Header.Get(answer.HeaderRun))
		return resp.Header.Get(answer.HeaderError) == "outcome_unknown"
	})
	must.Eq(t, 0, runs.Load())
}

// A backend server runs a request and closes its keep-alive connection before the response. Package
// net/http would retry such a request itself, as it has no body and carries an Idempotency-Key, and
// the request would run twice.
func TestKeyed_TransportDoesNotRetry(t *testing.T) {
	var runs atomic.Int64
	f := newFleetWithBackend(t, 2, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			return
		}
		runs.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		must.NoError(t, err)
		_ = conn.Close()
	}))
	// Leaves a keep-alive connection to the backend server open.
	must.Eq(t, http.StatusOK, f.call(f.daemons[0], http.MethodGet, "/signs/1", "", nil).StatusCode)
	resp := f.call(f.daemons[0], http.MethodPost, "/signs/hold", "", f.issueKey(f.daemons[0]))
	must.Eq(t, "unknown", resp.Header.Get(answer.HeaderRun))
	must.Eq(t, 1, runs.Load())
}
