package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/quarantine"
)

// deadlyPath is the path of requests that end the server which begins to run them.
const deadlyPath = "/get/deadly"

// allowedAfter is how many times a request may reach a server after it has ended three.
const allowedAfter = 3

// crashServer is a backend server that ends under requests of deadlyPath, and that starts
// again at its address with another id.
type crashServer struct {
	f      *storeFleet
	beside *testDaemon
	number int
	addr   string
	// arrivals counts the deadly requests of all servers of a test.
	arrivals *atomic.Int64

	mu     sync.Mutex
	starts int
	http   *http.Server
	ended  bool
}

// newCrashServers starts a server beside each daemon.
func newCrashServers(f *storeFleet) ([]*crashServer, *atomic.Int64) {
	var servers []*crashServer
	arrivals := new(atomic.Int64)
	for i, d := range f.daemons {
		s := &crashServer{f: f, beside: d, number: i, addr: "127.0.0.1:0", arrivals: arrivals}
		s.start()
		servers = append(servers, s)
	}
	f.knowAll(servers)
	return servers, arrivals
}

func (s *crashServer) id() string { return fmt.Sprintf("i-%d-%d", s.number, s.starts) }

// start starts the server, for the first time or after a crash, and announces it.
func (s *crashServer) start() {
	s.f.t.Helper()
	var ln net.Listener
	s.f.eventually("the address is free", func() (ok bool) {
		var err error
		ln, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.addr)
		return err == nil
	})
	s.mu.Lock()
	s.addr, s.ended = ln.Addr().String(), false
	s.starts++
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	srv := s.http
	s.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
	s.f.t.Cleanup(func() { _ = srv.Close() })
	body := fmt.Sprintf(`{"service":"signs","address":%q,"availability_zone":"z","version":"v1","slots":4,"state":"ready","warm_up_ms":0,"sequence":1}`, s.addr)
	must.Eq(s.f.t, http.StatusOK, s.f.backendCall(s.beside, http.MethodPut, "/v1/backend-servers/"+s.id(), body))
}

func (s *crashServer) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == deadlyPath {
		s.arrivals.Add(1)
		s.crash()
		return
	}
	w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
	w.Header().Set(names.Signature, "signed")
}

// crash closes the listener and all connections, as the end of a process does.
func (s *crashServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	_ = s.http.Close()
}

func (s *crashServer) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// restart starts the servers that have ended, and waits until all daemons know the new
// lives.
func (f *storeFleet) restart(servers []*crashServer) {
	f.t.Helper()
	for _, s := range servers {
		if s.hasEnded() {
			s.start()
		}
	}
	f.knowAll(servers)
}

// knowAll waits until all daemons know of the servers, in the lives in which these are.
func (f *storeFleet) knowAll(servers []*crashServer) {
	f.t.Helper()
	f.eventually("all servers are known", func() bool {
		for _, d := range f.daemons {
			set := d.board.Backends.Load().ForService("signs")
			if len(set) != len(servers) {
				return false
			}
			for _, b := range set {
				if b.Instance != f.ownLife(b.Host, servers) {
					return false
				}
			}
		}
		return true
	})
}

// ownLife returns the life of its server that a host tells of, 0 while it does not tell of
// the server that runs.
func (f *storeFleet) ownLife(host string, servers []*crashServer) uint32 {
	for _, s := range servers {
		d := s.beside
		if d.settings.Host != host || d.board.Local.Load().ID != s.id() {
			continue
		}
		if a := d.membership.View().Self.Announcements; len(a) == 1 {
			return a[0].Instance
		}
	}
	return 0
}

// A caller's lookup ends each backend server that begins to run it, and comes again after
// each failure, at another daemon each time. Every daemon took a repeat for a new request
// and sent it to a server that was whole: 20 repeats ended 20 servers, and other callers were
// refused while these were away. Nothing was remembered of what a server ended under, so no
// bound within a call or a daemon counted what came back. The lines of the gates told it:
// the same identity was in progress at the end of every server, and no other one was.
func TestStore_RequestThatEndsItsServersIsStopped(t *testing.T) {
	f := newStoreFleet(t, 6)
	f.document(3)
	servers, arrivals := newCrashServers(f)
	const crashesUntilKnown, repeats = 3, 20
	for i := range repeats {
		_, _ = f.call(f.daemons[i%len(f.daemons)], http.MethodGet, deadlyPath, "")
		f.restart(servers)
	}
	must.LessEq(t, crashesUntilKnown+allowedAfter, arrivals.Load())
	for _, d := range f.daemons {
		resp, _ := f.call(d, http.MethodGet, "/get/other", "")
		must.Eq(t, http.StatusOK, resp.StatusCode, must.Sprint("other requests are served"))
	}
}

// A request is kept from the servers when all daemons lose power. They start anew, with
// nothing but what the platform's store holds, and its caller still sends it: without the
// verdict in the store it would end three servers more, as after each such loss.
func TestStore_QuarantineOutlivesAllDaemons(t *testing.T) {
	f := newStoreFleet(t, 4)
	f.document(3)
	servers, arrivals := newCrashServers(f)
	verdict := f.quarantineAtAll(servers, arrivals)
	f.stored(verdict)
	f.stopAll()
	for range 3 {
		f.start()
	}
	f.document(5)
	_, after := newCrashServers(f)
	f.eventually("all have read the store", func() bool {
		return !slices.ContainsFunc(f.daemons, func(d *testDaemon) bool { return d.quarantine.QuarantinedFor(verdict.Identity) == 0 })
	})
	for _, d := range f.daemons {
		resp, _ := f.call(d, http.MethodGet, deadlyPath, "")
		must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
		must.NotEq(t, "", resp.Header.Get("Retry-After"))
		resp, _ = f.call(d, http.MethodGet, "/get/other", "")
		must.Eq(t, http.StatusOK, resp.StatusCode)
	}
	must.Eq(t, 0, after.Load())
}

// quarantineAtAll calls until the request that ends its servers is kept away by all daemons,
// and returns the verdict on it.
func (f *storeFleet) quarantineAtAll(servers []*crashServer, arrivals *atomic.Int64) quarantine.Verdict {
	f.t.Helper()
	f.eventually("the request is kept away by all", func() bool {
		if arrivals.Load() < 3 {
			_, _ = f.call(f.daemons[0], http.MethodGet, deadlyPath, "")
			f.restart(servers)
		}
		return !slices.ContainsFunc(f.daemons, func(d *testDaemon) bool { return len(d.quarantine.Verdicts()) == 0 })
	})
	return f.daemons[0].quarantine.Verdicts()[0]
}

// stored returns once a verdict is in the store.
func (f *storeFleet) stored(verdict quarantine.Verdict) {
	f.t.Helper()
	f.eventually("the verdict is in the store", func() bool {
		values, err := f.daemons[0].adapter.Contacts.List(f.t.Context())
		return err == nil && slices.ContainsFunc(values, func(b []byte) bool {
			v, ok := quarantine.DecodeEntry(b)
			return ok && v.Identity == verdict.Identity
		})
	})
}

// Guards against verdicts and addresses that are missing from the store after it lost its end.
func TestStore_EntriesOutliveARestore(t *testing.T) {
	f := newStoreFleet(t, 4)
	older := f.store.Backup()
	f.document(3)
	servers, arrivals := newCrashServers(f)
	verdict := f.quarantineAtAll(servers, arrivals)
	f.stored(verdict)
	f.store.Restore(older)
	f.document(5)
	f.stored(verdict)
	d := f.start()
	f.eventually("a new daemon finds the others", func() bool {
		view := d.board.Members.Load()
		return view != nil && len(view.Live()) == 5
	})
}
