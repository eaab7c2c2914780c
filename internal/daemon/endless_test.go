package daemon

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a caller that gets bytes without end, or waits for its deadline, since a server in trouble
// sends such bytes in place of a response. The call may have run, so that it is not reported as not run.
func TestStore_EndlessResponseIsNotForwarded(t *testing.T) {
	for name, parts := range map[string][2]string{
		"head": {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"body": {"HTTP/1.1 500 Oops\r\n" + names.RequestID + ": id-1\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStoreFleet(t, 2)
			f.putDocument(3)
			block := []byte(strings.Repeat(parts[1], 32<<10))
			s := &server{id: "i-1"}
			s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				nc, _, err := http.NewResponseController(w).Hijack()
				must.NoError(t, err)
				defer nc.Close()
				_, err = io.WriteString(nc, parts[0])
				for err == nil {
					_, err = nc.Write(block)
				}
			}))
			t.Cleanup(s.Close)
			f.announce(f.daemons[1], s, "ready", 1)
			f.waitServerKnown(f.daemons[0])
			for _, path := range []string{"/put/x", "/get/x"} {
				begun := time.Now()
				method := http.MethodGet
				if path == "/put/x" {
					method = http.MethodPost
				}
				resp, _ := f.call(f.daemons[0], method, path, "")
				must.Eq(t, http.StatusBadGateway, resp.StatusCode)
				must.Less(t, 2500*time.Millisecond, time.Since(begun))
			}
		})
	}
}
