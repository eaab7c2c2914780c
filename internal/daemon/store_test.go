package daemon

import (
	"context"
	"fmt"
	"io"
	"maps"
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

// names are the header names that the platform uses.
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
	f := &storeFleet{testFleet: newEmptyFleet(t), store: s}
	f.adjustSettings = func(s *settings.Settings) {
		s.Platform.URL, s.Platform.Protocol = f.store.URL(), settings.ProtocolStore
		s.Requests.Customers = settings.CustomersOptional
		s.Membership.JoinTimeout = 0
		s.Backend.Expires = settings.Duration(time.Minute)
		s.Backend.Service = "service-of-" + s.Host
		s.Contacts = nil
	}
	for range n {
		f.start()
	}
	return f
}

// putDocument writes a document with a route of each kind and waits until it is in force.
func (f *storeFleet) putDocument(version int) {
	f.t.Helper()
	f.putDocumentWith(version, "", "")
}

// documentWith returns a document with a route of each kind and further fields and routes.
func documentWith(version int, fields, routes string) string {
	return fmt.Sprintf(`{"version":%d,"services":[{"name":"signs"}],"routes":[
		{"name":"get","virtual_host":"h.example","path_prefix":"/get/","kind":"CALL_KIND_IDEMPOTENT","timeout_ms":5000,"latency_objective_ms":600,"service":"signs","max_attempts":2},
		{"name":"put","virtual_host":"h.example","path_prefix":"/put/","kind":"CALL_KIND_UPLOAD","timeout_ms":60000,"service":"signs","max_attempts":2}%s]%s}`, version, routes, fields)
}

// putDocumentWith writes documentWith and waits until it is in force.
func (f *storeFleet) putDocumentWith(version int, fields, routes string) {
	f.t.Helper()
	f.store.PutConfig(documentWith(version, fields, routes))
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

// server is a backend server with an ID.
type server struct {
	*httptest.Server
	id string

	mu       sync.Mutex
	received []*http.Request
	body     string
}

func newServer(t *testing.T, id string) *server {
	s := &server{id: id}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.received, s.body = append(s.received, r), string(b)
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

func (s *server) lastRequest() (*http.Request, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[len(s.received)-1], s.body
}

// announce announces a server to a daemon and returns the HTTP status.
func (f *storeFleet) announce(d *testDaemon, s *server, state string, sequence int) int {
	f.t.Helper()
	return f.announceAs(d, s, "v1", state, sequence)
}

// announceAs is like announce, for a server of the given version.
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

// call sends a request to a daemon and returns the response and its body.
func (f *storeFleet) call(d *testDaemon, method, path, payload string) (*http.Response, string) {
	f.t.Helper()
	header := make(http.Header)
	header.Set(names.Remaining, "3000")
	header.Set(names.CallerService, "a lie")
	return f.send(d, method, path, payload, header)
}

// send sends a request with additional header fields to a daemon and returns the response and its
// body.
func (f *storeFleet) send(d *testDaemon, method, path, payload string, header http.Header) (*http.Response, string) {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+d.ln.callers.Addr().String()+path, strings.NewReader(payload))
	must.NoError(f.t, err)
	req.Host = "h.example"
	maps.Copy(req.Header, header)
	req.Header.Set(names.RequestID, "id-1")
	resp, err := http.DefaultClient.Do(req)
	must.NoError(f.t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	must.NoError(f.t, err)
	return resp, string(b)
}

// waitServerKnown waits until a daemon knows a backend server.
func (f *storeFleet) waitServerKnown(d *testDaemon) {
	f.t.Helper()
	f.eventually("the server is known", func() bool {
		b := d.board.Backends.Load()
		return b != nil && len(b.ForService("signs")) == 1
	})
}

// waitServed waits until calls through a daemon reach a server.
func (f *storeFleet) waitServed(d *testDaemon, s *server) {
	f.t.Helper()
	f.eventually("calls reach "+s.id, func() bool {
		resp, body := f.call(d, http.MethodGet, "/get/x", "")
		return resp.StatusCode == http.StatusOK && body == "from "+s.id
	})
}

// On a platform with a metadata store, two daemons find each other through the store, a document
// comes into force, a backend server announces itself to one daemon, and a caller of the other one
// reaches it.
func TestStore_EndToEnd(t *testing.T) {
	f := newStoreFleet(t, 2)
	early, _ := f.call(f.daemons[0], http.MethodGet, "/get/x", "")
	must.Eq(t, http.StatusServiceUnavailable, early.StatusCode, must.Sprint("a daemon without a document must not report that a route does not exist"))
	must.StrContains(t, early.Header.Get("Retry-After"), "0.")
	f.putDocument(3)
	s := newServer(t, "i-1")
	must.Eq(t, http.StatusOK, f.announce(f.daemons[1], s, "ready", 1))
	f.waitServed(f.daemons[0], s)
	payload := strings.Repeat("x", 100<<10)
	resp, body := f.call(f.daemons[0], http.MethodPost, "/put/a%2Fb?c=%20", payload)
	must.Eq(t, "from i-1", body)
	must.Eq(t, "signed", resp.Header.Get(names.Signature))
	must.Eq(t, "id-1", resp.Header.Get(names.RequestID))
	received, got := s.lastRequest()
	must.Eq(t, payload, got)
	must.Eq(t, "/put/a%2Fb?c=%20", received.RequestURI)
	must.Eq(t, "h.example", received.Host)
	must.Eq(t, "service-of-host-0", received.Header.Get(names.CallerService))
	must.Eq(t, "i-1", received.Header.Get(names.ExpectedServer))
	var remaining int
	_, err := fmt.Sscan(received.Header.Get(names.Remaining), &remaining)
	must.NoError(t, err)
	must.Between(t, 1, remaining, 3000)
	resp, _ = f.call(f.daemons[0], http.MethodGet, "/none/", "")
	must.Eq(t, http.StatusNotFound, resp.StatusCode)
}

// A backend server announces that it is leaving. Once this is acknowledged, its daemon sends it no
// calls, whatever the other daemons know, and callers get the error that the call has not run. A
// late announcement that the server is ready changes nothing.
func TestStore_LeavingServerReceivesNoCalls(t *testing.T) {
	for _, how := range []string{"draining", "gone"} {
		t.Run(how, func(t *testing.T) {
			f := newStoreFleet(t, 2)
			f.putDocument(3)
			s := newServer(t, "i-1")
			f.announce(f.daemons[1], s, "ready", 5)
			f.waitServed(f.daemons[0], s)
			if how == "draining" {
				must.Eq(t, http.StatusOK, f.announce(f.daemons[1], s, "draining", 6))
			} else {
				must.Eq(t, http.StatusOK, f.backendCall(f.daemons[1], http.MethodDelete, "/v1/backend-servers/i-1", ""))
			}
			must.Eq(t, http.StatusOK, f.announce(f.daemons[1], s, "ready", 4))
			s.mu.Lock()
			before := len(s.received)
			s.mu.Unlock()
			for _, d := range f.daemons {
				resp, _ := f.call(d, http.MethodPost, "/put/x", "")
				must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
			}
			must.Len(t, before, s.received)
		})
	}
}

// A server crashes and another one starts at its address. Until the new server announces itself, it
// rejects calls meant for the first one without running them. Afterwards, a late announcement of
// the first server must not make it known again.
func TestStore_ReusedServerAddress(t *testing.T) {
	f := newStoreFleet(t, 1)
	f.putDocument(3)
	s := newServer(t, "i-1")
	f.announce(f.daemons[0], s, "ready", 1)
	f.waitServed(f.daemons[0], s)
	s.id = "i-2"
	resp, _ := f.call(f.daemons[0], http.MethodPost, "/put/x", "")
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	f.announce(f.daemons[0], s, "ready", 1)
	f.waitServed(f.daemons[0], s)
	s.id = "i-1"
	f.announce(f.daemons[0], s, "ready", 9)
	s.id = "i-2"
	f.waitServed(f.daemons[0], s)
}

// Invalid announcements are rejected, including those with an address on another host.
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

// A daemon that starts while the store is unavailable gets the document from another daemon.
func TestStore_StartWhileStoreIsUnavailable(t *testing.T) {
	f := newStoreFleet(t, 2)
	f.putDocument(3)
	f.store.SetFault(storetest.Unavailable)
	contact := f.daemons[0].ln.peers.Addr().String()
	change := f.adjustSettings
	f.adjustSettings = func(s *settings.Settings) {
		change(s)
		s.Contacts = []string{contact}
	}
	d := f.start()
	f.eventually("the document came from a daemon", func() bool {
		snap := d.board.Snapshot.Load()
		return snap != nil && snap.Document() != nil
	})
}

// The store drops old records while daemons have an older document in force.
func TestStore_Compaction(t *testing.T) {
	f := newStoreFleet(t, 2)
	f.putDocument(3)
	f.store.PutConfig("no document")
	f.store.CompactConfig(2)
	f.putDocument(7)
	f.store.CompactConfig(3)
	f.putDocument(9)
}

// A daemon starts on a new host while the store is unavailable, so it can't find the other daemons
// and they do not know it. Guards against a daemon that takes its empty list of contacts for the
// whole fleet, stops joining, and rejects callers for lack of a backend server even after the store
// is available again.
func TestStore_JoinsWhenTheStoreReturns(t *testing.T) {
	f := newStoreFleet(t, 1)
	f.putDocument(3)
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

// All slots of a backend server are in use. A caller with a large body disconnects while its call
// waits for a slot. The gate has not requested the body yet, so only the end of the stream informs
// it. Guards against a call that remains in the queue and runs for a caller that has left, up to a
// second later.
func TestStore_LargeCallLeavesTheQueueWithItsCaller(t *testing.T) {
	f := newStoreFleet(t, 2)
	f.putDocument(3)
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
	f.waitServerKnown(f.daemons[0])
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

// Bodies to a host with a link of 5 Mbit/s are sent in parts. They must reach the backend server
// unchanged, whether or not their length is a multiple of the part size, with several parts in
// transit.
func TestStore_BodiesSentInParts(t *testing.T) {
	f := newStoreFleet(t, 0)
	change := f.adjustSettings
	f.adjustSettings = func(s *settings.Settings) {
		change(s)
		s.LinkMbps = 5
	}
	f.start()
	f.start()
	f.putDocument(3)
	s := newServer(t, "i-1")
	f.announce(f.daemons[1], s, "ready", 1)
	f.waitServed(f.daemons[0], s)
	for _, n := range []int{17 << 10, 100_000, 300_001} {
		payload := strings.Repeat("x", n-1) + "y"
		_, body := f.call(f.daemons[0], http.MethodPost, "/put/x", payload)
		must.Eq(t, "from i-1", body)
		_, got := s.lastRequest()
		must.True(t, payload == got)
	}
	// The caller has its response before the gate frees the slot.
	f.eventually("no call holds a slot or room", func() bool { return f.daemons[1].inbound.InFlight() == 0 })
}
