package daemon

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/settings"
)

// A scraper reaches the metrics on a listener of their own, and from there nothing else:
// a drain is for operators.
func TestDaemon_MetricsHaveAListener(t *testing.T) {
	f := newStoreFleet(t, 0)
	change := f.change
	f.change = func(s *settings.Settings) {
		change(s)
		s.Listen.Metrics = "127.0.0.1:0"
	}
	f.start()
	url := "http://" + f.daemons[0].ln.metrics.Addr().String()
	get := func(path string) (int, string) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url+path, nil)
		must.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		defer resp.Body.Close()
		return resp.StatusCode, readAll(t, resp.Body)
	}
	status, text := get("/metrics")
	must.Eq(t, http.StatusOK, status)
	must.StrContains(t, text, "crocuscross_config_offset")
	status, _ = get("/readyz")
	must.Eq(t, http.StatusNotFound, status)
}
