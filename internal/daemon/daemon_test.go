package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/answer"
	"github.com/crocuscross/crocuscross/internal/controller/announce"
	"github.com/crocuscross/crocuscross/internal/proxy/body"
	"github.com/crocuscross/crocuscross/internal/proxy/outbound"
	"github.com/crocuscross/crocuscross/internal/settings"
	"github.com/crocuscross/crocuscross/internal/standin/logserver"
)

// waitLimit bounds the waits for conditions that must become true. No result depends on its value.
const waitLimit = 20 * time.Second

// testGracePeriod is long enough for a few daemons to know of a drain.
const testGracePeriod = 300 * time.Millisecond

// testFleet is a few daemons in one process with a platform log. The daemons are spread over four
// availability zones.
type testFleet struct {
	t         *testing.T
	log       *memlog.Service
	logURL    string
	daemons   []*testDaemon
	published int
	// dial opens the sessions that carry calls.
	dial dialFunc
	// adjustSettings changes the settings of each daemon before it is built; it may be nil.
	adjustSettings func(*settings.Settings)
}

type testDaemon struct {
	*Daemon
	ctx  context.Context
	stop context.CancelFunc
	done chan error
}

func newFleet(t *testing.T, n int) *testFleet {
	t.Helper()
	f := newEmptyFleet(t)
	srv := httptest.NewServer(logserver.New(f.log))
	t.Cleanup(srv.Close)
	f.logURL = srv.URL
	for range n {
		f.start()
	}
	f.waitJoined()
	return f
}

func newEmptyFleet(t *testing.T) *testFleet {
	return &testFleet{t: t, log: memlog.New(memlog.DefaultOptions()), dial: dialFrom(netip.MustParseAddr("127.0.0.1"))}
}

// waitJoined waits until all daemons know each other and have the empty configuration in force.
// Quota owners then no longer change: while they do, a customer gets a fiftieth of its rate for a
// few seconds (see package quota).
func (f *testFleet) waitJoined() {
	f.t.Helper()
	f.eventually("every daemon knows all others", func() bool {
		for _, d := range f.daemons {
			v := d.board.Members.Load()
			if v == nil || len(v.Live()) != len(f.daemons) || d.board.Snapshot.Load() == nil {
				return false
			}
		}
		return true
	})
}

// start adds a daemon that joins through the first one and runs it.
func (f *testFleet) start() *testDaemon {
	f.t.Helper()
	d := f.build()
	f.run(d)
	return d
}

// build adds a daemon whose listeners are bound. The daemon does not run yet.
func (f *testFleet) build() *testDaemon {
	f.t.Helper()
	s := settings.Default()
	s.Host = fmt.Sprintf("host-%d", len(f.daemons))
	s.AvailabilityZone = fmt.Sprintf("zone-%d", len(f.daemons)%4)
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0", Backend: "127.0.0.1:0"}
	s.Platform.URL = f.logURL
	s.Log.Level = "error"
	s.Requests.CallerKeys = settings.On
	if len(f.daemons) > 0 {
		s.Contacts = []string{f.daemons[0].ln.peers.Addr().String()}
	}
	if f.adjustSettings != nil {
		f.adjustSettings(&s)
	}
	ctx, stop := context.WithCancel(context.Background())
	ln, err := listen(s.Listen)
	must.NoError(f.t, err)
	d, err := newDaemon(ctx, &s, ln, f.dial)
	must.NoError(f.t, err)
	d.lifecycle.GracePeriod = testGracePeriod
	td := &testDaemon{Daemon: d, ctx: ctx, stop: stop, done: make(chan error, 1)}
	f.daemons = append(f.daemons, td)
	return td
}

func (f *testFleet) run(d *testDaemon) {
	go func() { d.done <- d.Run(d.ctx) }()
	f.t.Cleanup(func() {
		d.stop()
		must.NoError(f.t, <-d.done)
	})
}

// stopAll stops all daemons and removes them from the fleet.
func (f *testFleet) stopAll() {
	f.t.Helper()
	for _, d := range f.daemons {
		d.stop()
	}
	for _, d := range f.daemons {
		err := <-d.done
		d.done <- err
	}
	f.daemons = nil
}

// publish appends a record with the changes and returns its offset.
func (f *testFleet) publish(changes ...*configpb.Change) uint64 {
	f.t.Helper()
	f.published++
	data, err := fold.EncodeRecord(&configpb.Bundle{
		PublishId: fmt.Sprintf("p%d", f.published), Author: "test", Changes: changes,
	})
	must.NoError(f.t, err)
	offset, err := f.log.Stream(eventlog.StreamConfig).Append(f.t.Context(), data)
	must.NoError(f.t, err)
	return offset
}

// eventually waits until ok returns true and fails the test after waitLimit.
func (f *testFleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitLimit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// waitConverged waits until all daemons have the offset in force and know the given number of
// backend servers.
func (f *testFleet) waitConverged(offset uint64, servers int) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("offset %d with %d backend servers is in force", offset, servers), func() bool {
		for _, d := range f.daemons {
			snap := d.board.Snapshot.Load()
			if snap == nil || snap.Offset < offset || len(snap.Withheld) > 0 || d.board.Backends.Load().Len() != servers {
				return false
			}
		}
		return true
	})
}

// announceBackend starts a backend server and announces it to a daemon until the test ends.
func (f *testFleet) announceBackend(d *testDaemon, service string, h http.Handler) {
	f.t.Helper()
	srv := httptest.NewServer(h)
	f.t.Cleanup(srv.Close)
	a, err := json.Marshal(announce.Announcement{Service: service, URL: srv.URL, Slots: 10})
	must.NoError(f.t, err)
	renew := func() {
		req, err := http.NewRequest(http.MethodPut, "http://"+d.ln.backend.Addr().String()+announce.Path, strings.NewReader(string(a)))
		must.NoError(f.t, err)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
	}
	renew()
	t := time.NewTicker(announce.TTL / 5)
	done := make(chan struct{})
	f.t.Cleanup(func() { t.Stop(); close(done) })
	go func() {
		for {
			select {
			case <-t.C:
				renew()
			case <-done:
				return
			}
		}
	}()
}

// call sends one request to a daemon, as the customer garage unless the header names another one.
func (f *testFleet) call(d *testDaemon, method, path, payload string, header http.Header) *http.Response {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+d.ln.callers.Addr().String()+path, strings.NewReader(payload))
	must.NoError(f.t, err)
	req.Header = header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	if req.Header.Get(body.HeaderCustomer) == "" {
		req.Header.Set(body.HeaderCustomer, "garage")
	}
	resp, err := http.DefaultClient.Do(req)
	must.NoError(f.t, err)
	f.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func readAll(t *testing.T, r io.Reader) string {
	t.Helper()
	b, err := io.ReadAll(r)
	must.NoError(t, err)
	return string(b)
}

func service(name string) *configpb.Change {
	return &configpb.Change{Resource: &configpb.Resource{Kind: &configpb.Resource_Service{Service: &configpb.Service{Name: name}}}}
}

func route(name, prefix, svc string) *configpb.Change {
	return &configpb.Change{Resource: &configpb.Resource{Kind: &configpb.Resource_Route{
		Route: &configpb.Route{Name: name, PathPrefix: prefix, Service: svc},
	}}}
}

func contract(c *configpb.Contract, replaces uint64) *configpb.Change {
	return &configpb.Change{
		Resource: &configpb.Resource{Kind: &configpb.Resource_Contract{Contract: c}}, Replaces: replaces,
	}
}

func garageContract() *configpb.Contract {
	return &configpb.Contract{Customer: "garage", RatePerSecond: 1000, Burst: 1000, MaxWaitMs: 10_000}
}

// newFleetWithBackend returns a fleet of n daemons with one service, whose only backend server is
// on the host of the last daemon.
func newFleetWithBackend(t *testing.T, n int, h http.Handler) *testFleet {
	t.Helper()
	f := newFleet(t, n)
	f.announceBackend(f.daemons[n-1], "sign-feed", h)
	offset := f.publish(service("sign-feed"), route("signs", "/signs", "sign-feed"), contract(garageContract(), 0))
	f.waitConverged(offset, 1)
	return f
}

func TestDaemon_ForwardsCallToAnotherHost(t *testing.T) {
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Echo", r.Method+" "+r.URL.RequestURI())
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write(b)
	})
	f := newFleetWithBackend(t, 4, echo)
	for _, size := range []int{0, 1, 40 << 10, 300 << 10} {
		payload := strings.Repeat("x", size)
		resp := f.call(f.daemons[0], http.MethodPut, "/signs/7?full=1", payload, nil)
		must.Eq(t, http.StatusAccepted, resp.StatusCode)
		must.Eq(t, "PUT /signs/7?full=1", resp.Header.Get("X-Echo"))
		must.Eq(t, "host-3", resp.Header.Get(outbound.HeaderServedBy))
		must.Eq(t, payload, readAll(t, resp.Body))
	}
}

func TestDaemon_ForwardsResponsesWithoutBody(t *testing.T) {
	f := newFleetWithBackend(t, 2, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "7")
		if r.Method == http.MethodDelete {
			w.Header().Del("Content-Length")
			w.WriteHeader(http.StatusNoContent)
		}
	}))
	head := f.call(f.daemons[0], http.MethodHead, "/signs/1", "", nil)
	must.Eq(t, http.StatusOK, head.StatusCode)
	must.Eq(t, 7, head.ContentLength)
	must.Eq(t, http.StatusNoContent, f.call(f.daemons[0], http.MethodDelete, "/signs/1", "", nil).StatusCode)
}

func TestDaemon_RejectionsNameTheirErrorKind(t *testing.T) {
	f := newFleetWithBackend(t, 2, http.NotFoundHandler())
	for name, tc := range map[string]struct {
		path, customer, kind string
		status               int
	}{
		"unknown customer": {"/signs/1", "nobody", "unknown_customer", http.StatusForbidden},
		"no route":         {"/other", "garage", "no_route", http.StatusNotFound},
		"backend's own":    {"/signs/1", "garage", "", http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			resp := f.call(f.daemons[0], http.MethodGet, tc.path, "", http.Header{body.HeaderCustomer: {tc.customer}})
			must.Eq(t, tc.status, resp.StatusCode)
			must.Eq(t, tc.kind, resp.Header.Get(answer.HeaderError))
		})
	}
}

// Requests above the contract's rate are rejected with Retry-After, and a revision that raises the
// rate takes effect.
func TestDaemon_ContractLimitsRateUntilRevised(t *testing.T) {
	f := newFleet(t, 2)
	f.announceBackend(f.daemons[1], "sign-feed", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {}))
	small := garageContract()
	small.RatePerSecond, small.Burst = 0.5, 1
	first := f.publish(service("sign-feed"), route("signs", "/signs", "sign-feed"), contract(small, 0))
	f.waitConverged(first, 1)
	refused := 0
	for range 20 {
		resp := f.call(f.daemons[0], http.MethodGet, "/signs/1", "", nil)
		if resp.StatusCode == http.StatusTooManyRequests {
			refused++
			must.NotEq(t, "", resp.Header.Get("Retry-After"))
		}
	}
	must.Positive(t, refused)
	second := f.publish(contract(garageContract(), first))
	f.waitConverged(second, 1)
	f.eventually("the raised rate is usable", func() bool {
		return f.call(f.daemons[0], http.MethodGet, "/signs/1", "", nil).StatusCode == http.StatusOK
	})
}

// Guards against requests that keep running on the backend server after their caller has canceled
// them, which the cancel chunk between the daemons and the check for it prevent.
func TestDaemon_CancellationReachesTheBackendServer(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	f := newFleetWithBackend(t, 2, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	}))
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.daemons[0].ln.callers.Addr().String()+"/signs/1", nil)
	must.NoError(t, err)
	req.Header.Set(body.HeaderCustomer, "garage")
	done := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(req)
		done <- err
	}()
	<-started
	cancel()
	must.Error(t, <-done)
	select {
	case <-ended:
	case <-time.After(waitLimit):
		t.Fatal("the request was not canceled at the backend server")
	}
}

// A caller waits no longer than its contract allows. Its error response reports the outcome as
// unknown because the call had started.
func TestDaemon_ContractLimitsWait(t *testing.T) {
	f := newFleet(t, 2)
	f.announceBackend(f.daemons[1], "sign-feed", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// Package net/http detects the end of the connection only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	c := garageContract()
	c.MaxWaitMs = 200
	offset := f.publish(service("sign-feed"), route("signs", "/signs", "sign-feed"), contract(c, 0))
	f.waitConverged(offset, 1)
	resp := f.call(f.daemons[0], http.MethodPost, "/signs/1", "hold", nil)
	must.Eq(t, http.StatusGatewayTimeout, resp.StatusCode)
	must.Eq(t, "deadline_exceeded", resp.Header.Get(answer.HeaderError))
	must.Eq(t, "unknown", resp.Header.Get(answer.HeaderRun))
}

// No call fails while the host that serves it is stopped: the other daemons know of the drain
// first, and the calls in flight complete.
func TestDaemon_GracefulShutdownFailsNoCall(t *testing.T) {
	slow := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
	})
	f := newFleet(t, 3)
	f.announceBackend(f.daemons[1], "sign-feed", slow)
	f.announceBackend(f.daemons[2], "sign-feed", slow)
	offset := f.publish(service("sign-feed"), route("signs", "/signs", "sign-feed"), contract(garageContract(), 0))
	f.waitConverged(offset, 2)
	leaving := f.daemons[2]
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	failures := make(chan string, 1000)
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stopped:
					return
				default:
				}
				resp := f.call(f.daemons[0], http.MethodPost, "/signs/1", "x", nil)
				if resp.StatusCode != http.StatusOK {
					failures <- resp.Header.Get(answer.HeaderError)
				}
			}
		})
	}
	leaving.stop()
	err := <-leaving.done
	leaving.done <- err
	close(stopped)
	wg.Wait()
	must.NoError(t, err)
	must.Eq(t, 0, len(failures))
}

// Input that is not HTTP is counted and affects only its own connection.
func TestDaemon_MalformedInputIsCounted(t *testing.T) {
	f := newFleet(t, 1)
	d := f.daemons[0]
	for _, ln := range []net.Listener{d.ln.callers, d.ln.operators, d.ln.backend} {
		conn, err := net.Dial("tcp", ln.Addr().String())
		must.NoError(t, err)
		_, err = conn.Write([]byte("\x16\x03\x01 not http\r\n\r\n"))
		must.NoError(t, err)
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
	f.eventually("all three are counted", func() bool { return countRejectedInput(t, d) == 3 })
}

// countRejectedInput returns the sum of the daemon's counters of rejected input.
func countRejectedInput(t *testing.T, d *testDaemon) int {
	t.Helper()
	families, err := d.registry.Gather()
	must.NoError(t, err)
	n := 0
	for _, fam := range families {
		if fam.GetName() != "crocuscross_rejected_input_total" {
			continue
		}
		for _, m := range fam.GetMetric() {
			n += int(m.GetCounter().GetValue())
		}
	}
	return n
}

// All daemons of a fleet start at the same moment with each other as contacts. The first joins
// return empty tables because nobody is a member yet. Guards against daemons that know only a part
// of the fleet until the next heal interval, half a minute later.
func TestDaemon_FleetThatStartsAtOnceJoinsCompletely(t *testing.T) {
	f := newFleet(t, 0)
	const size = 8
	var addrs []string
	for range size {
		addrs = append(addrs, f.build().ln.peers.Addr().String())
	}
	for _, d := range f.daemons {
		d.settings.Contacts = addrs
		f.run(d)
	}
	f.waitJoined()
}

// The first calls of a new customer arrive together at one host and find the contract's burst, less
// the part that the other hosts hold. Guards against a quota owner whose pool for a new customer
// starts empty and fills only from the first claim on: all ten calls got 429.
func TestDaemon_NewCustomerGetsItsBurst(t *testing.T) {
	f := newFleet(t, 4)
	f.announceBackend(f.daemons[3], "sign-feed", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	f.waitConverged(f.publish(service("sign-feed"), route("signs", "/signs", "sign-feed")), 1)
	c := garageContract()
	c.RatePerSecond, c.Burst = 5, 10
	f.waitConverged(f.publish(contract(c, 0)), 1)
	answered := 0
	for range 10 {
		if f.call(f.daemons[0], http.MethodGet, "/signs/1", "", nil).StatusCode == http.StatusOK {
			answered++
		}
	}
	must.GreaterEq(t, 8, answered)
}
