package backendserver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/controller/announce"
	"github.com/crocuscross/crocuscross/internal/standin/payload"
)

func fastOptions() Options {
	opts := DefaultOptions("sign-feed")
	opts.ServiceTime.Mean = 0
	opts.Linger = 0
	return opts
}

func start(t *testing.T, opts Options) (*Server, string) {
	s := New(opts)
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return s, srv.URL
}

func request(t *testing.T, method, url, id, body string) *http.Request {
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	must.NoError(t, err)
	r.Header.Set(payload.HeaderRequestID, id)
	r.Header.Set(headerIdempotencyKey, "key-"+id)
	r.Header.Set(payload.HeaderTry, "3")
	return r
}

func do(t *testing.T, r *http.Request) (int, []byte) {
	resp, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp.StatusCode, body
}

// doAsync sends the status when it comes, 0 where there is no whole answer.
func doAsync(r *http.Request) <-chan int {
	status := make(chan int, 1)
	go func() {
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			status <- 0
			return
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			status <- 0
			return
		}
		status <- resp.StatusCode
	}()
	return status
}

func command(t *testing.T, url string) {
	status, text := do(t, request(t, http.MethodPost, url, "", ""))
	must.Eq(t, http.StatusOK, status, must.Sprint(string(text)))
}

// waitFor spins until the server has come to a state that only the passing of
// a request can bring about.
func waitFor(cond func() bool) {
	for !cond() {
		runtime.Gosched()
	}
}

func TestAnswersAndRecords(t *testing.T) {
	var lines bytes.Buffer
	opts := fastOptions()
	opts.Record = &lines
	s, url := start(t, opts)
	status, body := do(t, request(t, http.MethodPost, url+"/holds/7", "a", "hello"))
	must.Eq(t, http.StatusOK, status)
	var echo Echo
	must.NoError(t, json.Unmarshal(body, &echo))
	must.Eq(t, Echo{
		Server: "sign-feed", Service: "sign-feed", Execution: 1, Method: "POST", Path: "/holds/7", RequestID: "a",
		BodyBytes: 5, BodySHA256: "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824",
	}, echo)
	_, body = do(t, request(t, http.MethodGet, url+"/x?size=100000&sleep=1ms", "b", ""))
	must.NoError(t, payload.Verify(bytes.NewReader(body), "b", 100000))
	status, _ = do(t, request(t, http.MethodGet, url+"/x?sleep=forever", "c", ""))
	must.Eq(t, http.StatusBadRequest, status)

	waitFor(func() bool { return s.Stats().InUse == 0 })
	got := s.Executions(0).Executions
	must.Len(t, 2, got)
	must.Eq(t, "a", got[0].RequestID)
	must.Eq(t, "key-a", got[0].IdempotencyKey)
	must.Eq(t, 3, got[0].Try)
	must.Eq(t, Completed, got[0].Outcome)
	must.Len(t, 1, s.Executions(1).Executions)
	must.Eq(t, 4, strings.Count(lines.String(), "\n"))
	must.NotEq(t, got[0].Boot, New(opts).rec.boot)
}

// The caller goes away while its request runs, or before its body is whole.
// Both must be in the record: the proofs may not take them for not run.
func TestRecordsWhatWasCutShort(t *testing.T) {
	var lines bytes.Buffer
	opts := fastOptions()
	opts.Record = &lines
	s, url := start(t, opts)
	command(t, url+"/admin/stall?on=true")
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer cancel()
		waitFor(func() bool { return s.Stats().InUse == 1 && s.Stats().Executions == 1 })
	}()
	_, err := http.DefaultClient.Do(request(t, http.MethodGet, url+"/a", "a", "").WithContext(ctx))
	must.ErrorIs(t, err, context.Canceled)

	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	must.NoError(t, err)
	_, err = io.WriteString(conn, "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhel")
	must.NoError(t, err)
	waitFor(func() bool { return s.Stats().Executions == 2 })
	must.NoError(t, conn.Close())

	waitFor(func() bool { return s.Stats().InUse == 0 })
	got := s.Executions(0).Executions
	must.Eq(t, Canceled, got[0].Outcome)
	must.Eq(t, BodyCut, got[1].Outcome)
	first, _, _ := strings.Cut(lines.String(), "\n")
	must.StrNotContains(t, first, "outcome")
}

// A server that sheds answers 503 and has not run the request; one that lies
// says that it is well while it hangs, and idle while it is busy.
func TestMisbehavesOnCommand(t *testing.T) {
	s, url := start(t, fastOptions())
	command(t, url+"/admin/shed?share=1")
	status, _ := do(t, request(t, http.MethodGet, url+"/a", "a", ""))
	must.Eq(t, http.StatusServiceUnavailable, status)
	must.Eq(t, 0, s.Stats().Executions)
	must.Eq(t, 1, s.Stats().Shed)
	command(t, url+"/admin/shed?share=0")

	command(t, url+"/admin/stall?on=true")
	status, _ = do(t, request(t, http.MethodGet, url+"/health", "", ""))
	must.Eq(t, http.StatusServiceUnavailable, status)
	command(t, url+"/admin/claim-health?claim=ok")
	status, _ = do(t, request(t, http.MethodGet, url+"/health", "", ""))
	must.Eq(t, http.StatusOK, status)
	command(t, url+"/admin/claim-load?in_use=9")
	_, body := do(t, request(t, http.MethodGet, url+"/load", "", ""))
	must.EqJSON(t, `{"in_use":9,"slots":10}`, string(body))

	status, _ = do(t, request(t, http.MethodPost, url+"/admin/shed?share=2", "", ""))
	must.Eq(t, http.StatusBadRequest, status)
}

// More requests than slots wait, and the peak tells that the gate let too many
// through.
func TestSlots(t *testing.T) {
	opts := fastOptions()
	opts.Slots = 1
	s, url := start(t, opts)
	command(t, url+"/admin/stall?on=true")
	first := doAsync(request(t, http.MethodGet, url+"/a", "a", ""))
	second := doAsync(request(t, http.MethodGet, url+"/b", "b", ""))
	waitFor(func() bool { return s.Stats().Queued == 1 })
	must.Eq(t, 1, s.Stats().Executions)
	command(t, url+"/admin/stall?on=false")
	must.Eq(t, http.StatusOK, <-first)
	must.Eq(t, http.StatusOK, <-second)
	must.Eq(t, 1, s.Stats().PeakQueued)
}

func TestServiceTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBehavior(ServiceTime{time.Second, Fixed}, Cold{For: time.Minute, Factor: 10}, 1)
		must.Eq(t, 10*time.Second, b.duration())
		time.Sleep(time.Minute)
		must.Eq(t, time.Second, b.duration())
		must.NoError(t, b.setService(ServiceTime{time.Second, Exponential}))
		sum := time.Duration(0)
		for range 10_000 {
			sum += b.duration()
		}
		must.Between(t, 9_500*time.Second, sum, 10_500*time.Second)
	})
}

// daemon answers the announcer's requests with the daemon's own handler.
type daemon struct {
	board   *blackboard.Board
	handler http.Handler
}

func newDaemon() *daemon {
	board := &blackboard.Board{}
	c := &announce.Controller{Board: board, Logger: slog.New(slog.DiscardHandler), Now: time.Now}
	return &daemon{board: board, handler: c.Handler()}
}

func (d *daemon) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

func (d *daemon) local() blackboard.LocalBackend {
	if l := d.board.Local.Load(); l != nil {
		return *l
	}
	return blackboard.LocalBackend{}
}

// The daemon beside the server restarts and has forgotten it: within a renewal
// it must know it again. On leaving, and at the end, the daemon is told at
// once, and a successor's announcement is left alone.
func TestAnnounces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opts := fastOptions()
		opts.DaemonURL = "http://daemon/"
		a := newAnnouncer(opts)
		a.setURL("http://127.0.0.1:1")
		d := newDaemon()
		a.client.Transport = d
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			a.run(ctx)
		}()
		synctest.Wait()
		must.Eq(t, "sign-feed", d.local().Service)
		must.Eq(t, "http://127.0.0.1:1/health", d.local().HealthURL)

		d.board.Local.Store(&blackboard.LocalBackend{})
		time.Sleep(renewInterval)
		synctest.Wait()
		must.Eq(t, 10, d.local().Slots)
		a.setDraining(true)
		synctest.Wait()
		must.True(t, d.local().Draining)

		a.setLeft(true)
		synctest.Wait()
		must.Eq(t, "", d.local().Service)
		d.board.Local.Store(&blackboard.LocalBackend{Service: "successor"})
		time.Sleep(3 * renewInterval)
		must.Eq(t, "successor", d.local().Service)

		a.setLeft(false)
		synctest.Wait()
		must.Eq(t, "sign-feed", d.local().Service)
		stop()
		<-done
		must.Eq(t, "", d.local().Service)
	})
}

// The server is told to end while a request runs. It withdraws while it still
// takes requests, then closes its port, and the request in flight gets its
// whole answer.
func TestEndsGracefully(t *testing.T) {
	d := newDaemon()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	url := "http://" + ln.Addr().String()
	withdrawn := make(chan error, 1)
	beside := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			resp, err := http.Get(url + "/last")
			withdrawn <- err
			if err == nil {
				_ = resp.Body.Close()
			}
		}
		d.handler.ServeHTTP(w, r)
	}))
	defer beside.Close()
	opts := fastOptions()
	opts.DaemonURL = beside.URL
	s := New(opts)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, ln) }()
	waitFor(func() bool { return d.local().URL == url })

	upload, body := io.Pipe()
	r := request(t, http.MethodPost, url+"/a", "a", "")
	r.Body, r.ContentLength = upload, -1
	answered := doAsync(r)
	waitFor(func() bool { return s.Stats().Executions == 1 })
	stop()
	must.NoError(t, <-withdrawn)
	waitFor(func() bool {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	must.NoError(t, body.Close())
	must.Eq(t, http.StatusOK, <-answered)
	must.NoError(t, <-ended)
}
