package announce

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
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
