package announce

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/blackboard"
)

// A daemon restarts while the backend server on its host keeps running. It must query the
// server's ID and add it before the next announcement, unless the server is shutting down. A
// later announcement takes precedence.
func TestDiscoverer_FindsRunningServer(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			queried := make(chan struct{}, discoverAttempts)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				must.Eq(t, "/health", r.URL.Path)
				w.Header().Set("Id", "i-1")
				w.WriteHeader(status)
				queried <- struct{}{}
			}))
			defer s.Close()
			c := &Controller{
				Board: &blackboard.Board{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now,
				Address: strings.TrimPrefix(s.URL, "http://"), ServerTTL: time.Minute,
			}
			known := make(chan struct{})
			path := ""
			d := &Discoverer{
				Controller: c, Service: "signs", ServerIDHeader: "Id",
				HealthPath:        func() (string, bool) { return path, path != "" },
				HealthPathChanged: func() <-chan struct{} { path = "/health"; return known },
			}
			close(known)
			_, found := c.Board.Local.Watch()
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error)
			go func() { ended <- d.Run(ctx) }()
			if status == http.StatusOK {
				<-found
				local := c.Board.Local.Load()
				must.Eq(t, "i-1", local.ID)
				must.Eq(t, "signs", local.Service)
				next := c.applyServerAnnouncement(local, "i-1", ServerAnnouncement{Service: "signs", Address: c.Address, Slots: 3, State: stateDraining, Sequence: new(uint64(1))})
				must.True(t, next.Draining)
			} else {
				for range discoverAttempts {
					<-queried
				}
				must.Nil(t, c.Board.Local.Load())
			}
			cancel()
			must.NoError(t, <-ended)
		})
	}
}

// Guards against a daemon that runs out of memory, or waits, since a server in trouble answers its health check
// with bytes without end.
func TestDiscoverer_EndlessResponse(t *testing.T) {
	const maxHeap = 8 << 20
	for name, parts := range map[string][2]string{
		"header fields": {"HTTP/1.1 200 OK\r\nId: i-1\r\n", "A: b\r\n"},
		"header field":  {"HTTP/1.1 200 OK\r\nId: ", "x"},
		"interim":       {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"no response":   {"", "x"},
		"body":          {"HTTP/1.1 503 Oops\r\nId: i-1\r\n\r\n", "x"},
		"trailer":       {"HTTP/1.1 503 Oops\r\nId: i-1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			block := []byte(strings.Repeat(parts[1], 1+(32<<10)/len(parts[1])))
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				nc, _, err := http.NewResponseController(w).Hijack()
				must.NoError(t, err)
				defer nc.Close()
				_, err = io.WriteString(nc, parts[0])
				for err == nil {
					_, err = nc.Write(block)
				}
			}))
			defer s.Close()
			d := &Discoverer{Controller: &Controller{Address: strings.TrimPrefix(s.URL, "http://")}, ServerIDHeader: "Id"}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			begun := time.Now()
			_, err := d.QueryID(t.Context(), "/health")
			runtime.ReadMemStats(&after)
			must.Error(t, err)
			must.Less(t, 10*time.Second, time.Since(begun))
			must.LessEq(t, maxHeap, after.TotalAlloc-before.TotalAlloc)
		})
	}
}

// Guards against taking bytes of a server in trouble for the answer of a healthy one.
func TestDiscoverer_InvalidHead(t *testing.T) {
	for _, head := range []string{"000 Oops\r\nId: i-1", "200 OK\r\nId: i-1\r\nX Y: 1", "200 OK\r\nId: i-1\r\nContent-Length : 2", "200 OK\r\nId : i-1"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			nc, _, err := http.NewResponseController(w).Hijack()
			must.NoError(t, err)
			defer nc.Close()
			_, _ = io.WriteString(nc, "HTTP/1.1 "+head+"\r\n\r\nok")
		}))
		defer s.Close()
		d := &Discoverer{Controller: &Controller{Address: strings.TrimPrefix(s.URL, "http://")}, ServerIDHeader: "Id"}
		_, err := d.QueryID(t.Context(), "/health")
		must.Error(t, err, must.Sprint(head))
	}
}
