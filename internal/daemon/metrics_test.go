package daemon

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/settings"
)

// The separate listener for metrics serves nothing else: requests such as a drain are for operators
// only.
func TestDaemon_ServesMetricsOnSeparateListener(t *testing.T) {
	f := newStoreFleet(t, 0)
	change := f.adjustSettings
	f.adjustSettings = func(s *settings.Settings) {
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
