package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/proxy/body"
)

// A read deadline fired under the HTTP library's own read of a caller's kept-alive
// connection. The library cancels the connection's context and keeps the
// connection. A caller that waits got 499 "the caller went away" for every request
// on it, for minutes; now it is served, and told to connect anew.
func TestDaemon_RequestOnACanceledConnectionIsServed(t *testing.T) {
	f := setUp(t, 2, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	req := httptest.NewRequestWithContext(ctx, http.MethodGet, "/signs/1", nil)
	req.Header.Set(body.HeaderCustomer, "garage")
	w := httptest.NewRecorder()
	f.daemons[0].outbound.ServeHTTP(w, req)
	must.Eq(t, http.StatusOK, w.Code)
	must.Eq(t, "close", w.Header().Get("Connection"))
}
