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

// crashPath is the path of requests that crash each server that begins to run them.
const crashPath = "/get/deadly"

// maxArrivalsAfterCrashes is how many times a request may still reach a server after it has crashed
// three servers.
const maxArrivalsAfterCrashes = 3

// crashServer is a backend server that crashes when it receives a request for crashPath. After a
// restart it has the same address and another ID.
type crashServer struct {
	f      *storeFleet
	daemon *testDaemon
	number int
	addr   string
	// arrivals counts the requests for crashPath at all servers of a test.
	arrivals *atomic.Int64

	mu      sync.Mutex
	starts  int
	http    *http.Server
	crashed bool
}

// newCrashServers starts a server on the host of each daemon.
func newCrashServers(f *storeFleet) ([]*crashServer, *atomic.Int64) {
	var servers []*crashServer
	arrivals := new(atomic.Int64)
	for i, d := range f.daemons {
		s := &crashServer{f: f, daemon: d, number: i, addr: "127.0.0.1:0", arrivals: arrivals}
		s.start()
		servers = append(servers, s)
	}
	f.waitServersKnown(servers)
	return servers, arrivals
}

func (s *crashServer) id() string { return fmt.Sprintf("i-%d-%d", s.number, s.starts) }

// start starts the server, initially or after a crash, and announces it.
func (s *crashServer) start() {
	s.f.t.Helper()
	var ln net.Listener
	s.f.eventually("the address is free", func() (ok bool) {
		var err error
		ln, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.addr)
		return err == nil
	})
	s.mu.Lock()
	s.addr, s.crashed = ln.Addr().String(), false
	s.starts++
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	srv := s.http
	s.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
	s.f.t.Cleanup(func() { _ = srv.Close() })
	body := fmt.Sprintf(`{"service":"signs","address":%q,"availability_zone":"z","version":"v1","slots":4,"state":"ready","warm_up_ms":0,"sequence":1}`, s.addr)
	must.Eq(s.f.t, http.StatusOK, s.f.backendCall(s.daemon, http.MethodPut, "/v1/backend-servers/"+s.id(), body))
}

func (s *crashServer) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == crashPath {
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
	s.crashed = true
	_ = s.http.Close()
}

func (s *crashServer) hasCrashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

// restartCrashed restarts the servers that have crashed, and waits until all daemons know their new
// instances.
func (f *storeFleet) restartCrashed(servers []*crashServer) {
	f.t.Helper()
	for _, s := range servers {
		if s.hasCrashed() {
			s.start()
		}
	}
	f.waitServersKnown(servers)
}

// waitServersKnown waits until all daemons know the current instances of the servers.
func (f *storeFleet) waitServersKnown(servers []*crashServer) {
	f.t.Helper()
	f.eventually("all servers are known", func() bool {
		for _, d := range f.daemons {
			set := d.board.Backends.Load().ForService("signs")
			if len(set) != len(servers) {
				return false
			}
			for _, b := range set {
				if b.Instance != f.currentInstance(b.Host, servers) {
					return false
				}
			}
		}
		return true
	})
}

// currentInstance returns the instance of the running server that the daemon on the host announces,
// 0 while it announces another one.
func (f *storeFleet) currentInstance(host string, servers []*crashServer) uint32 {
	for _, s := range servers {
		d := s.daemon
		if d.settings.Host != host || d.board.Local.Load().ID != s.id() {
			continue
		}
		if a := d.membership.View().Self.Announcements; len(a) == 1 {
			return a[0].Instance
		}
	}
	return 0
}

// Guards against a request that crashes every backend server that runs it, and that its caller
// repeats at another daemon after each failure. Without a record of the requests in progress when a
// server ended, each daemon treats a repeat as a new request, to which no limit within a call or a
// daemon applies, and sends it to a healthy server: 20 repeats ended 20 servers, and requests of
// other callers were rejected while these were down. The gates can recognize the request: its
// identity, and no other one, is in progress at the end of every server.
func TestStore_RequestThatEndsItsServersIsStopped(t *testing.T) {
	f := newStoreFleet(t, 6)
	f.putDocument(3)
	servers, arrivals := newCrashServers(f)
	const crashesUntilQuarantine, repeats = 3, 20
	for i := range repeats {
		_, _ = f.call(f.daemons[i%len(f.daemons)], http.MethodGet, crashPath, "")
		f.restartCrashed(servers)
	}
	must.LessEq(t, crashesUntilQuarantine+maxArrivalsAfterCrashes, arrivals.Load())
	for _, d := range f.daemons {
		resp, _ := f.call(d, http.MethodGet, "/get/other", "")
		must.Eq(t, http.StatusOK, resp.StatusCode, must.Sprint("other requests are served"))
	}
}

// Guards against losing a quarantine when all daemons lose power. They restart with nothing but the
// contents of the platform's store while the caller still sends the request. Without the verdict in
// the store, the request would crash three more servers after each power loss.
func TestStore_QuarantineOutlivesAllDaemons(t *testing.T) {
	f := newStoreFleet(t, 4)
	f.putDocument(3)
	servers, arrivals := newCrashServers(f)
	verdict := f.quarantineEverywhere(servers, arrivals)
	f.waitStored(verdict)
	f.stopAll()
	for range 3 {
		f.start()
	}
	f.putDocument(5)
	_, after := newCrashServers(f)
	f.eventually("all daemons have read the store", func() bool {
		return !slices.ContainsFunc(f.daemons, func(d *testDaemon) bool { return d.quarantine.QuarantinedFor(verdict.Identity) == 0 })
	})
	for _, d := range f.daemons {
		resp, _ := f.call(d, http.MethodGet, crashPath, "")
		must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
		must.NotEq(t, "", resp.Header.Get("Retry-After"))
		resp, _ = f.call(d, http.MethodGet, "/get/other", "")
		must.Eq(t, http.StatusOK, resp.StatusCode)
	}
	must.Eq(t, 0, after.Load())
}

// quarantineEverywhere sends calls until all daemons have quarantined the request that crashes
// servers, and returns its verdict.
func (f *storeFleet) quarantineEverywhere(servers []*crashServer, arrivals *atomic.Int64) quarantine.Verdict {
	f.t.Helper()
	f.eventually("all daemons have quarantined the request", func() bool {
		if arrivals.Load() < 3 {
			_, _ = f.call(f.daemons[0], http.MethodGet, crashPath, "")
			f.restartCrashed(servers)
		}
		return !slices.ContainsFunc(f.daemons, func(d *testDaemon) bool { return len(d.quarantine.Verdicts()) == 0 })
	})
	return f.daemons[0].quarantine.Verdicts()[0]
}

// waitStored waits until a verdict is in the store.
func (f *storeFleet) waitStored(verdict quarantine.Verdict) {
	f.t.Helper()
	f.eventually("the verdict is in the store", func() bool {
		values, err := f.daemons[0].adapter.Contacts.List(f.t.Context())
		return err == nil && slices.ContainsFunc(values, func(b []byte) bool {
			v, ok := quarantine.DecodeEntry(b)
			return ok && v.Identity == verdict.Identity
		})
	})
}

// Guards against verdicts and addresses that remain missing after the store has lost its latest
// records.
func TestStore_EntriesSurviveRestore(t *testing.T) {
	f := newStoreFleet(t, 4)
	older := f.store.Backup()
	f.putDocument(3)
	servers, arrivals := newCrashServers(f)
	verdict := f.quarantineEverywhere(servers, arrivals)
	f.waitStored(verdict)
	f.store.Restore(older)
	f.putDocument(5)
	f.waitStored(verdict)
	d := f.start()
	f.eventually("a new daemon finds the others", func() bool {
		view := d.board.Members.Load()
		return view != nil && len(view.Live()) == 5
	})
}
