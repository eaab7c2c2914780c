package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/settings"
	"github.com/crocuscross/crocuscross/platform"
	"github.com/crocuscross/crocuscross/platform/storetest"
)

// The platform's names that these tests speak.
var names = platform.Dialect()

// storeFleet is a few daemons on a platform with a metadata store.
type storeFleet struct {
	*testFleet
	store *storetest.Server
}

func newStoreFleet(t *testing.T, n int) *storeFleet {
	t.Helper()
	s := storetest.New()
	t.Cleanup(s.Close)
	f := &storeFleet{testFleet: emptyFleet(t), store: s}
	f.change = func(s *settings.Settings) {
		s.Platform.URL, s.Platform.Protocol = f.store.URL(), settings.ProtocolStore
		s.Requests.Customers = settings.CustomersOptional
		s.Membership.JoinPatience = 0
		s.Backend.Expires = settings.Duration(time.Minute)
		s.Backend.Service = "service-of-" + s.Host
		s.Contacts = nil
	}
	for range n {
		f.start()
	}
	return f
}

// document puts a document with a route of each kind in force.
func (f *storeFleet) document(version int) {
	f.t.Helper()
	f.store.PutConfig(fmt.Sprintf(`{"version":%d,"services":[{"name":"signs"}],"routes":[
		{"name":"get","virtual_host":"h.example","path_prefix":"/get/","kind":"CALL_KIND_IDEMPOTENT","timeout_ms":5000,"latency_objective_ms":600,"service":"signs","max_attempts":2},
		{"name":"put","virtual_host":"h.example","path_prefix":"/put/","kind":"CALL_KIND_UPLOAD","timeout_ms":60000,"service":"signs","max_attempts":2}]}`, version))
	f.eventually("the document is in force", func() bool {
		for _, d := range f.daemons {
			snap := d.board.Snapshot.Load()
			if snap == nil || snap.Document() == nil || snap.Document().Version != uint64(version) {
				return false
			}
		}
		return true
	})
}

// server is a backend server with an id.
type server struct {
	*httptest.Server
	id string

	mu   sync.Mutex
	seen []*http.Request
	body string
}

func newServer(t *testing.T, id string) *server {
	s := &server{id: id}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.seen, s.body = append(s.seen, r), string(b)
		s.mu.Unlock()
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		if r.Header.Get(names.ExpectedServer) != s.id {
			w.Header().Set(names.ServerID, s.id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set(names.Signature, "signed")
		_, _ = io.WriteString(w, "from "+s.id)
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *server) last() (*http.Request, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[len(s.seen)-1], s.body
}

// announce tells a daemon of a server and returns the status.
func (f *storeFleet) announce(d *testDaemon, s *server, state string, sequence int) int {
	f.t.Helper()
	return f.announceAs(d, s, "v1", state, sequence)
}

// announceAs is announce for a server of a version.
func (f *storeFleet) announceAs(d *testDaemon, s *server, version, state string, sequence int) int {
	f.t.Helper()
	body := fmt.Sprintf(`{"service":"signs","address":%q,"availability_zone":"z","version":%q,"slots":4,"state":%q,"warm_up_ms":0,"sequence":%d}`,
		strings.TrimPrefix(s.URL, "http://"), version, state, sequence)
	return f.backendCall(d, http.MethodPut, "/v1/backend-servers/"+s.id, body)
}

func (f *storeFleet) backendCall(d *testDaemon, method, path, body string) int {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+d.ln.backend.Addr().String()+path, strings.NewReader(body))
	must.NoError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(f.t, err)
	must.NoError(f.t, resp.Body.Close())
	return resp.StatusCode
}

// call sends a request to a daemon and returns status and body.
func (f *storeFleet) call(d *testDaemon, method, path, payload string) (*http.Response, string) {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+d.ln.callers.Addr().String()+path, strings.NewReader(payload))
	must.NoError(f.t, err)
	req.Host = "h.example"
	req.Header.Set(names.RequestID, "id-1")
	req.Header.Set(names.Remaining, "3000")
	req.Header.Set(names.CallerService, "a lie")
	resp, err := http.DefaultClient.Do(req)
	must.NoError(f.t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	must.NoError(f.t, err)
	return resp, string(b)
}

// knowsServer waits until a daemon knows of a backend server.
func (f *storeFleet) knowsServer(d *testDaemon) {
	f.t.Helper()
	f.eventually("the server is known", func() bool {
		b := d.board.Backends.Load()
		return b != nil && len(b.ForService("signs")) == 1
	})
}

// serves waits until calls through a daemon reach a server.
func (f *storeFleet) serves(d *testDaemon, s *server) {
	f.t.Helper()
	f.eventually("calls reach "+s.id, func() bool {
		resp, body := f.call(d, http.MethodGet, "/get/x", "")
		return resp.StatusCode == http.StatusOK && body == "from "+s.id
	})
}

// The whole path on the platform: two daemons find each other by the store, a
// document comes into force, a backend server announces itself to one of them, and a
// caller of the other one reaches it.
func TestStore_WholePath(t *testing.T) {
	f := newStoreFleet(t, 2)
	early, _ := f.call(f.daemons[0], http.MethodGet, "/get/x", "")
	must.Eq(t, http.StatusServiceUnavailable, early.StatusCode, must.Sprint("a daemon without a document knows of no route and denies none"))
	must.StrContains(t, early.Header.Get("Retry-After"), "0.")
	f.document(3)
	s := newServer(t, "i-1")
	must.Eq(t, http.StatusOK, f.announce(f.daemons[1], s, "ready", 1))
	f.serves(f.daemons[0], s)
	payload := strings.Repeat("x", 100<<10)
	resp, body := f.call(f.daemons[0], http.MethodPost, "/put/a%2Fb?c=%20", payload)
	must.Eq(t, "from i-1", body)
	must.Eq(t, "signed", resp.Header.Get(names.Signature))
	must.Eq(t, "id-1", resp.Header.Get(names.RequestID))
	seen, got := s.last()
	must.Eq(t, payload, got)
	must.Eq(t, "/put/a%2Fb?c=%20", seen.RequestURI)
	must.Eq(t, "h.example", seen.Host)
	must.Eq(t, "service-of-host-0", seen.Header.Get(names.CallerService))
	must.Eq(t, "i-1", seen.Header.Get(names.ExpectedServer))
	var left int
	_, err := fmt.Sscan(seen.Header.Get(names.Remaining), &left)
	must.NoError(t, err)
	must.Between(t, 1, left, 3000)
	resp, _ = f.call(f.daemons[0], http.MethodGet, "/none/", "")
	must.Eq(t, http.StatusNotFound, resp.StatusCode)
}

// A backend server says that it leaves. From the acknowledgement on its daemon sends
// it nothing, whatever the other daemons know; callers are told that the call has not
// run. A late word that it is ready changes nothing.
func TestStore_LeavingServerGetsNothing(t *testing.T) {
	for _, how := range []string{"draining", "gone"} {
		t.Run(how, func(t *testing.T) {
			f := newStoreFleet(t, 2)
			f.document(3)
			s := newServer(t, "i-1")
			f.announce(f.daemons[1], s, "ready", 5)
			f.serves(f.daemons[0], s)
			if how == "draining" {
				must.Eq(t, http.StatusOK, f.announce(f.daemons[1], s, "draining", 6))
			} else {
				must.Eq(t, http.StatusOK, f.backendCall(f.daemons[1], http.MethodDelete, "/v1/backend-servers/i-1", ""))
			}
			must.Eq(t, http.StatusOK, f.announce(f.daemons[1], s, "ready", 4))
			s.mu.Lock()
			before := len(s.seen)
			s.mu.Unlock()
			for _, d := range f.daemons {
				resp, _ := f.call(d, http.MethodPost, "/put/x", "")
				must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
			}
			must.Len(t, before, s.seen)
		})
	}
}

// A server crashes and another one starts at its address. Until that one announces
// itself the calls meant for the first are refused by it unrun; afterwards a late
// announcement of the first must not bring it back.
func TestStore_AddressIsUsedAgain(t *testing.T) {
	f := newStoreFleet(t, 1)
	f.document(3)
	s := newServer(t, "i-1")
	f.announce(f.daemons[0], s, "ready", 1)
	f.serves(f.daemons[0], s)
	s.id = "i-2"
	resp, _ := f.call(f.daemons[0], http.MethodPost, "/put/x", "")
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	f.announce(f.daemons[0], s, "ready", 1)
	f.serves(f.daemons[0], s)
	s.id = "i-1"
	f.announce(f.daemons[0], s, "ready", 9)
	s.id = "i-2"
	f.serves(f.daemons[0], s)
}

// Announcements that make no sense are refused, those for another host's address too.
func TestStore_BadAnnouncements(t *testing.T) {
	f := newStoreFleet(t, 1)
	d := f.daemons[0]
	for _, body := range []string{
		"", "{", `{"service":"","address":"127.0.0.1:1","slots":1,"state":"ready"}`,
		`{"service":"s","address":"10.9.9.9:1","slots":1,"state":"ready"}`,
		`{"service":"s","address":"127.0.0.1:1","slots":0,"state":"ready"}`,
		`{"service":"s","address":"127.0.0.1:1","slots":1,"state":"odd"}`,
		`{"service":"s","address":"127.0.0.1:1","slots":1,"state":"ready","sequence":-1}`,
	} {
		must.Eq(t, http.StatusBadRequest, f.backendCall(d, http.MethodPut, "/v1/backend-servers/i-1", body), must.Sprint(body))
	}
	must.Nil(t, d.board.Local.Load())
}

// The store goes away. A daemon that starts then gets the document from another one.
func TestStore_StartWithTheStoreAway(t *testing.T) {
	f := newStoreFleet(t, 2)
	f.document(3)
	f.store.SetFault(storetest.Unavailable)
	contact := f.daemons[0].ln.peers.Addr().String()
	change := f.change
	f.change = func(s *settings.Settings) {
		change(s)
		s.Contacts = []string{contact}
	}
	d := f.start()
	f.eventually("the document came from a daemon", func() bool {
		snap := d.board.Snapshot.Load()
		return snap != nil && snap.Document() != nil
	})
}

// The store forgets its history while daemons hold an older document.
func TestStore_Compaction(t *testing.T) {
	f := newStoreFleet(t, 2)
	f.document(3)
	f.store.PutConfig("no document")
	f.store.CompactConfig(2)
	f.document(7)
	f.store.CompactConfig(3)
	f.document(9)
}

// A daemon starts on a new host while the store is away: it has nowhere to find the
// others, and nobody knows of it. Callers were refused for want of a backend server
// for as long as it ran, though the store came back: it had taken its empty list of
// contacts for the whole fleet twice, and never looked again.
func TestStore_JoinsWhenTheStoreReturns(t *testing.T) {
	f := newStoreFleet(t, 1)
	f.document(3)
	f.store.SetFault(storetest.Unavailable)
	d := f.start()
	f.eventually("the daemon has looked for the others a few times", func() bool {
		return f.store.Calls(storetest.PathNewest) >= 12
	})
	f.store.SetFault(storetest.None)
	f.eventually("both know each other", func() bool {
		return len(d.board.Members.Load().Live()) == 2 && len(f.daemons[0].board.Members.Load().Live()) == 2
	})
}

// The backend server is full. A caller with a large body goes away while its call
// waits for a slot; the body has not been asked for yet, so nothing but the end of the
// stream tells the gate. The call must leave the queue: else it would be run for
// nobody, up to a second later.
func TestStore_LargeCallLeavesTheQueueWithItsCaller(t *testing.T) {
	f := newStoreFleet(t, 2)
	f.document(3)
	began, release := make(chan struct{}, 8), make(chan struct{})
	s := &server{id: "i-1"}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-release
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.Header().Set(names.Signature, "signed")
	}))
	t.Cleanup(s.Close)
	f.announce(f.daemons[1], s, "ready", 1)
	f.knowsServer(f.daemons[0])
	send := func(ctx context.Context, payload string) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.daemons[0].ln.callers.Addr().String()+"/put/x", strings.NewReader(payload))
		must.NoError(t, err)
		req.Host = "h.example"
		req.Header.Set(names.RequestID, "r")
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() { send(t.Context(), "") })
	}
	for range 4 {
		<-began
	}
	ctx, leave := context.WithCancel(t.Context())
	all.Go(func() { send(ctx, strings.Repeat("x", 100<<10)) })
	f.eventually("the call waits", func() bool { return f.daemons[1].inbound.Load().Queued == 1 })
	leave()
	f.eventually("the call has left", func() bool { return f.daemons[1].inbound.Load().Queued == 0 })
	close(release)
	all.Wait()
	must.Eq(t, 0, len(began))
}

// A host with a link of 5 Mbit/s has bodies sent in parts. They reach the backend server
// as they were, the length in parts or not, several at once.
func TestStore_BodiesInParts(t *testing.T) {
	f := newStoreFleet(t, 0)
	change := f.change
	f.change = func(s *settings.Settings) {
		change(s)
		s.LinkMbps = 5
	}
	f.start()
	f.start()
	f.document(3)
	s := newServer(t, "i-1")
	f.announce(f.daemons[1], s, "ready", 1)
	f.serves(f.daemons[0], s)
	for _, n := range []int{17 << 10, 100_000, 300_001} {
		payload := strings.Repeat("x", n-1) + "y"
		_, body := f.call(f.daemons[0], http.MethodPost, "/put/x", payload)
		must.Eq(t, "from i-1", body)
		_, got := s.last()
		must.True(t, payload == got)
	}
	// The caller has its answer before the gate gives the slot back.
	f.eventually("no call holds a slot or room", func() bool { return f.daemons[1].inbound.InFlight() == 0 })
}
