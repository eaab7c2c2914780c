package inbound

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/proxy/backendconn"
)

// A backend server sheds calls with short responses that are not forwarded. If a response is
// closed unread, its connection is lost, and the next call needs a new one that occupies a slot
// for a moment. A response that is too long to be read does lose its connection.
func TestDiscardResponse_KeepsConnection(t *testing.T) {
	for name, test := range map[string]struct {
		body        string
		connections int64
	}{
		"empty": {"", 1},
		"short": {"full", 1},
		"long":  {strings.Repeat("x", maxDiscardedBytes+1), 3},
	} {
		t.Run(name, func(t *testing.T) {
			var connections atomic.Int64
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = w.Write([]byte(test.body))
			}))
			s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					connections.Add(1)
				}
			}
			s.Start()
			defer s.Close()
			client := backendconn.New(backendconn.Options{Address: strings.TrimPrefix(s.URL, "http://")})
			defer client.Close()
			for range 3 {
				resp, err := client.Do(t.Context(), &backendconn.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
				must.NoError(t, err)
				discardResponse(resp)
			}
			must.Eq(t, test.connections, connections.Load())
		})
	}
}
