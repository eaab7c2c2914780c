package daemon

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/settings"
)

// The platform's bound on the requests to a server that states a rate limit, from the hosts that
// have passed on such a response.
const (
	limitWindow      = 4 * time.Second
	limitFactor      = 1.5
	limitExtra       = 5
	limitNoticeDelay = 500 * time.Millisecond
)

// noticeServer is a backend server that states a rate limit and that it leaves. It takes some time
// for each request, so that many can be in progress.
type noticeServer struct {
	*server
	// limit is the stated requests per second, 0 for none.
	limit   atomic.Int64
	leaving atomic.Bool

	mu       sync.Mutex
	arrivals []time.Time
	// noticedAt is when the first response with a limit ended.
	noticedAt time.Time
}

func newNoticeServer(t *testing.T, id string) *noticeServer {
	s := &noticeServer{server: &server{id: id}}
	s.Server = httptest.NewServer(http.HandlerFunc(s.handle))
	t.Cleanup(s.Close)
	return s
}

func (s *noticeServer) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	s.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
	w.Header().Set(names.Signature, "signed")
	if limit := s.limit.Load(); limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatInt(limit, 10))
	}
	if s.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	_, _ = io.WriteString(w, "from "+s.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noticedAt.IsZero() && s.limit.Load() > 0 {
		s.noticedAt = time.Now()
	}
}

// received returns the arrivals after the server's first response with a limit has had time to
// reach every host.
func (s *noticeServer) received() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []time.Time
	for _, at := range s.arrivals {
		if !s.noticedAt.IsZero() && at.Sub(s.noticedAt) >= limitNoticeDelay {
			list = append(list, at)
		}
	}
	return list
}

// mustKeepLimit fails the test if the server received too many requests in some window.
func (s *noticeServer) mustKeepLimit(t *testing.T) {
	t.Helper()
	allowed := int(limitFactor*float64(s.limit.Load())*limitWindow.Seconds()) + limitExtra
	list := s.received()
	for i := range list {
		n := 0
		for _, at := range list[i:] {
			if at.Sub(list[i]) < limitWindow {
				n++
			}
		}
		must.LessEq(t, allowed, n, must.Sprintf("requests in %s to a server with a limit of %d a second", limitWindow, s.limit.Load()))
	}
}

// press sends requests from n callers of each daemon until the server has received more than a window may
// contain, or longer than a window has passed.
func (f *storeFleet) press(s *noticeServer, n int, daemons ...*testDaemon) {
	f.t.Helper()
	enough := int(limitFactor*float64(s.limit.Load())*limitWindow.Seconds()) + limitExtra
	end := time.Now().Add(limitWindow + limitWindow/4)
	var wg sync.WaitGroup
	for _, d := range daemons {
		for range n {
			wg.Go(func() {
				for time.Now().Before(end) && len(s.received()) <= enough {
					f.tryCall(d)
				}
			})
		}
	}
	wg.Wait()
}

// tryCall sends a request whose outcome does not matter.
func (f *storeFleet) tryCall(d *testDaemon) {
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+d.ln.callers.Addr().String()+"/get/x", strings.NewReader(""))
	if err != nil {
		f.t.Error(err)
		return
	}
	req.Host = "h.example"
	req.Header.Set(names.Remaining, "1000")
	req.Header.Set(names.RequestID, "id-1")
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// restart stops a daemon and starts another one on its host.
func (f *storeFleet) restart(d *testDaemon) *testDaemon {
	f.t.Helper()
	d.stop()
	err := <-d.done
	d.done <- err
	adjust := f.adjustSettings
	defer func() { f.adjustSettings = adjust }()
	f.adjustSettings = func(s *settings.Settings) {
		adjust(s)
		s.Host, s.AvailabilityZone = d.settings.Host, d.settings.AvailabilityZone
	}
	return f.start()
}

// A server states a rate limit. Guards against hosts that together send it more than that.
func TestStore_ServerRateLimitHoldsForAllHostsTogether(t *testing.T) {
	f := newStoreFleet(t, 3)
	f.putDocument(3)
	s := newNoticeServer(t, "i-1")
	s.limit.Store(3)
	f.announce(f.daemons[1], s.server, "ready", 1)
	for _, d := range f.daemons {
		f.waitServerKnown(d)
	}
	f.press(s, 4, f.daemons...)
	s.mustKeepLimit(t)
}

// Guards against a limit that is forgotten when the daemon beside the server restarts.
func TestStore_ServerRateLimitOutlivesRestartOfItsDaemon(t *testing.T) {
	f := newStoreFleet(t, 2)
	f.putDocument(3)
	s := newNoticeServer(t, "i-1")
	f.announce(f.daemons[1], s.server, "ready", 1)
	f.waitServed(f.daemons[0], s.server)
	s.limit.Store(1)
	f.waitServed(f.daemons[0], s.server)
	d := f.restart(f.daemons[1])
	f.waitServerless(f.daemons[0])
	f.announceWithSlots(d, s.server, 40)
	f.waitServerKnown(f.daemons[0])
	f.press(s, 30, f.daemons[0])
	s.mustKeepLimit(t)
}

// waitServerless waits until a daemon knows no backend server.
func (f *storeFleet) waitServerless(d *testDaemon) {
	f.t.Helper()
	f.eventually("no server is known", func() bool {
		b := d.board.Backends.Load()
		return b == nil || len(b.ForService("signs")) == 0
	})
}

// announceWithSlots announces a ready server that runs many calls at once.
func (f *storeFleet) announceWithSlots(d *testDaemon, s *server, slots int) {
	f.t.Helper()
	body := `{"service":"signs","address":"` + strings.TrimPrefix(s.URL, "http://") + `","availability_zone":"z","version":"v1","slots":` +
		strconv.Itoa(slots) + `,"state":"ready","warm_up_ms":0,"sequence":2}`
	must.Eq(f.t, http.StatusOK, f.backendCall(d, http.MethodPut, "/v1/backend-servers/"+s.id, body))
}

// A server states in its responses that it leaves, and announces that it is ready all the same.
// Guards against requests from hosts that have passed on such a response, also after a restart of
// the daemon beside the server.
func TestStore_ServerThatStatesItsLeavingReceivesNoCalls(t *testing.T) {
	f := newStoreFleet(t, 2)
	f.putDocument(3)
	s := newNoticeServer(t, "i-1")
	f.announce(f.daemons[1], s.server, "ready", 1)
	f.waitServed(f.daemons[0], s.server)
	s.leaving.Store(true)
	resp, _ := f.call(f.daemons[0], http.MethodGet, "/get/x", "")
	must.Eq(t, "1", resp.Header.Get("Server-Leaving"))
	before := s.count()
	must.Eq(t, http.StatusOK, f.announce(f.daemons[1], s.server, "ready", 2))
	for range 3 {
		resp, _ = f.call(f.daemons[0], http.MethodPost, "/put/x", "")
		must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	}
	d := f.restart(f.daemons[1])
	f.waitServerless(f.daemons[0])
	must.Eq(t, http.StatusOK, f.announce(d, s.server, "ready", 3))
	f.waitServerKnown(f.daemons[0])
	for range 3 {
		resp, _ = f.call(f.daemons[0], http.MethodPost, "/put/x", "")
		must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	}
	must.Eq(t, before, s.count())
}

func (s *noticeServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.arrivals)
}
