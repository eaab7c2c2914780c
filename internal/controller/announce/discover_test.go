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

// A daemon restarts while the backend server beside it runs on. It asks the server who
// it is and has it in place before the next announcement, unless the server leaves;
// what the server announces later counts more.
func TestDiscover(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			asked := make(chan struct{}, discoverTries)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				must.Eq(t, "/health", r.URL.Path)
				w.Header().Set("Id", "i-1")
				w.WriteHeader(status)
				asked <- struct{}{}
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
				next := c.registered(local, "i-1", ServerAnnouncement{Service: "signs", Address: c.Address, Slots: 3, State: stateDraining, Sequence: new(uint64(1))})
				must.True(t, next.Draining)
			} else {
				for range discoverTries {
					<-asked
				}
				must.Nil(t, c.Board.Local.Load())
			}
			cancel()
			must.NoError(t, <-ended)
		})
	}
}
