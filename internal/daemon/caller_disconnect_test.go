package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/proxy/body"
)

// Guards against running requests whose callers disconnected before the requests were handled.
func TestDaemon_DoesNotRunRequestOfDisconnectedCaller(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			var runs atomic.Int64
			f := newFleetWithBackend(t, 2, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			left := httptest.NewRequestWithContext(ctx, method, "/signs/1", nil)
			left.Header.Set(body.HeaderCustomer, "garage")
			f.daemons[0].outbound.ServeHTTP(httptest.NewRecorder(), left)
			must.Eq(t, 0, runs.Load())
			must.Eq(t, http.StatusOK, f.call(f.daemons[0], method, "/signs/2", "", nil).StatusCode)
			must.Eq(t, 1, runs.Load())
		})
	}
}
