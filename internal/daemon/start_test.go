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

// storeCalls forwards one daemon's calls to the store and counts them.
type storeCalls struct {
	proxy http.Handler

	mu sync.Mutex
	// newest counts the requests for the newest records by topic. Only the first page of each
	// counts.
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

// newestCalls returns the number of requests for topics whose name contains part, and for all
// others.
func (c *storeCalls) newestCalls(part string) (matching, others int) {
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

// countStoreCalls counts the calls to the store of the daemons that are started from now on.
func (f *storeFleet) countStoreCalls() *storeCalls {
	f.t.Helper()
	store, err := url.Parse(f.store.URL())
	must.NoError(f.t, err)
	calls := &storeCalls{proxy: httputil.NewSingleHostReverseProxy(store), newest: map[string]int{}}
	srv := httptest.NewServer(calls)
	f.t.Cleanup(srv.Close)
	change := f.adjustSettings
	f.adjustSettings = func(s *settings.Settings) {
		change(s)
		s.Platform.URL = srv.URL
	}
	return calls
}

// A host starts while others are running, as hundreds do during maintenance of the fleet. Each call
// to the store has a cost, and the document would arrive over a slow link, although other daemons
// have it. Guards against a start that reads the contacts twice and the newest document: each round
// of joins must read the contacts once, and nothing may read the document.
func TestStore_StartBesideLiveDaemonsReadsContactsOnce(t *testing.T) {
	f := newStoreFleet(t, 5)
	f.putDocument(3)
	f.waitJoined()
	calls := f.countStoreCalls()
	change := f.adjustSettings
	f.adjustSettings = func(s *settings.Settings) {
		change(s)
		s.Membership.JoinTimeout = settings.Duration(waitLimit)
	}
	d := f.start()
	f.eventually("the document came from a daemon", func() bool {
		snap := d.board.Snapshot.Load()
		return snap != nil && snap.Document() != nil
	})
	// A second round of joins after the daemon's own.
	must.NoError(t, d.joinFleet(t.Context()))
	contacts, others := calls.newestCalls("contacts")
	must.LessEq(t, 2, contacts)
	must.Zero(t, others)
}
