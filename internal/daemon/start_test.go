package daemon

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/settings"
	"github.com/crocuscross/crocuscross/platform/storetest"
)

// storeCalls passes one daemon's calls on to the store and counts them.
type storeCalls struct {
	proxy http.Handler

	mu sync.Mutex
	// newest counts the questions about the newest records, by topic, the first page of each.
	newest map[string]int
}

func (c *storeCalls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == storetest.PathNewest && r.URL.Query().Get("after") == "" {
		c.mu.Lock()
		c.newest[r.URL.Query().Get("topic")]++
		c.mu.Unlock()
	}
	c.proxy.ServeHTTP(w, r)
}

// of returns how many questions were about a topic, and about all others.
func (c *storeCalls) of(part string) (matching, others int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for topic, n := range c.newest {
		if strings.Contains(topic, part) {
			matching += n
		} else {
			others += n
		}
	}
	return matching, others
}

// A host starts beside living ones, as hundreds do on a day of work on the fleet. It asked
// the store for contacts twice and for the newest document, though its neighbours have all
// of that: each call has a price, and the document comes over a narrow link. Each round of
// joins asks for contacts once, and nothing asks for the document.
func TestStore_StartBesideNeighboursAsksOnce(t *testing.T) {
	f := newStoreFleet(t, 5)
	f.document(3)
	f.joined()
	store, err := url.Parse(f.store.URL())
	must.NoError(t, err)
	calls := &storeCalls{proxy: httputil.NewSingleHostReverseProxy(store), newest: map[string]int{}}
	srv := httptest.NewServer(calls)
	t.Cleanup(srv.Close)
	change := f.change
	f.change = func(s *settings.Settings) {
		change(s)
		s.Platform.URL = srv.URL
		s.Membership.JoinPatience = settings.Duration(waitLimit)
	}
	d := f.start()
	f.eventually("the document came from a daemon", func() bool {
		snap := d.board.Snapshot.Load()
		return snap != nil && snap.Document() != nil
	})
	// A second round beside the daemon's own.
	must.NoError(t, d.joinFleet(t.Context()))
	contacts, others := calls.of("contacts")
	must.LessEq(t, 2, contacts)
	must.Zero(t, others)
}
