package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/answer"
	"github.com/crocuscross/crocuscross/internal/standin/backendserver"
	"github.com/crocuscross/crocuscross/internal/standin/payload"
)

func options(targets ...string) Options {
	opts := DefaultOptions()
	opts.Targets = targets
	opts.Customer = "garage"
	opts.Duration = time.Minute
	opts.RepeatDelay = time.Microsecond
	return opts
}

// once sends one call to a handler and returns its record.
func once(t *testing.T, opts Options, h http.HandlerFunc) Call {
	t.Helper()
	if h != nil {
		srv := httptest.NewServer(h)
		defer srv.Close()
		opts.Targets = []string{srv.URL}
	}
	var lines bytes.Buffer
	opts.Record = &lines
	opts.Count, opts.Concurrency = 1, 1
	_, err := Run(t.Context(), opts)
	must.NoError(t, err)
	var c Call
	must.NoError(t, json.Unmarshal(lines.Bytes(), &c))
	return c
}

func backend() *backendserver.Server {
	opts := backendserver.DefaultOptions("sign-feed")
	opts.ServiceTime.Mean = 0
	return backendserver.New(opts)
}

func refuse(kind errkind.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { answer.Write(w, errkind.New(kind, "no")) }
}

func post(opts Options) Options {
	opts.Mix = []Shape{{Weight: 1, Method: http.MethodPost, Path: "/holds"}}
	opts.BodyBytes = 3000
	return opts
}

// One daemon refuses all. Whatever turns other calls take meanwhile, a repeat
// goes to another daemon.
func TestRepeatsGoElsewhere(t *testing.T) {
	bad, good := httptest.NewServer(refuse(errkind.Barred)), httptest.NewServer(backend())
	defer bad.Close()
	defer good.Close()
	opts := options(bad.URL, good.URL)
	opts.Count, opts.Concurrency, opts.Repeats = 100, 10, 1
	s, err := Run(t.Context(), opts)
	must.NoError(t, err)
	must.Eq(t, 100, s.Count(OK))
}

// Both loops end by their count, every answer verifies against a backend server
// that runs each call once.
func TestLoops(t *testing.T) {
	for name, rate := range map[string]float64{"closed": 0, "open": 10_000} {
		t.Run(name, func(t *testing.T) {
			b := backend()
			srv := httptest.NewServer(b)
			defer srv.Close()
			opts := options(srv.URL)
			opts.Count, opts.Rate, opts.Poisson, opts.Concurrency = 60, rate, true, 100
			opts.Mix = []Shape{
				{Weight: 2, Method: http.MethodGet, Path: "/a?x=1"},
				{Weight: 1, Method: http.MethodPut, Path: "/b"},
				{Weight: 1, Method: http.MethodPost, Path: "/c"},
			}
			opts.BodyBytes = 5000
			s, err := Run(t.Context(), opts)
			must.NoError(t, err)
			must.Eq(t, 60, s.Count(OK))
			must.Eq(t, 60, s.Tries)
			must.Eq(t, 60, b.Stats().Executions)
			opts.AnswerBytes = 70_000
			s, err = Run(t.Context(), opts)
			must.NoError(t, err)
			must.Eq(t, 60, s.Count(OK))
			must.NoError(t, s.WriteTable(io.Discard))
		})
	}
}

// Answers that look whole but are another call's, changed or cut off must be
// told from good ones, with an echo and with a payload.
func TestWrongAnswers(t *testing.T) {
	b := backend()
	for name, h := range map[string]http.HandlerFunc{
		"another request's": func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set(payload.HeaderRequestID, "other")
			b.ServeHTTP(w, r)
		},
		"another path's": func(w http.ResponseWriter, r *http.Request) {
			r.URL.Path = "/other"
			b.ServeHTTP(w, r)
		},
		"another body's": func(w http.ResponseWriter, r *http.Request) {
			r.Body = io.NopCloser(io.LimitReader(r.Body, 2000))
			b.ServeHTTP(w, r)
		},
		"no answer": func(w http.ResponseWriter, _ *http.Request) {},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, Wrong, once(t, post(options()), h).Verdict) })
	}
	opts := options()
	opts.AnswerBytes = 5000
	c := once(t, opts, func(w http.ResponseWriter, r *http.Request) {
		r.URL.RawQuery = "size=4000"
		b.ServeHTTP(w, r)
	})
	must.Eq(t, Wrong, c.Verdict)
}

func TestVerdicts(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, ln.Close())
	must.Eq(t, NotSent, once(t, options("http://"+ln.Addr().String()), nil).Verdict)

	c := once(t, options(), refuse(errkind.RateLimited))
	must.Eq(t, Refused, c.Verdict)
	must.Eq(t, errkind.RateLimited, c.Kind)
	must.Eq(t, errkind.NotRun, c.Run)
	must.Eq(t, Unknown, once(t, options(), refuse(errkind.OutcomeUnknown)).Verdict)
	must.Eq(t, BackendError, once(t, options(), func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "shed", http.StatusServiceUnavailable)
	}).Verdict)
	must.Eq(t, Unknown, once(t, options(), func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}).Verdict)
	must.Eq(t, Unknown, once(t, options(), func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(payload.HeaderRequestID, r.Header.Get(payload.HeaderRequestID))
		w.Header().Set(payload.HeaderBodySHA256, "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855")
		w.Header().Set("Content-Length", "100")
	}).Verdict)
	opts := options()
	opts.Timeout = 100 * time.Millisecond
	must.Eq(t, Unknown, once(t, opts, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }).Verdict)
}

// daemon answers the tries of one call in turn and remembers them.
type daemon struct {
	mu      sync.Mutex
	tries   []*http.Request
	answers []http.HandlerFunc
}

func (d *daemon) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	i := len(d.tries)
	d.tries = append(d.tries, r)
	d.mu.Unlock()
	d.answers[i](w, r)
}

// A non-idempotent call breaks off. Without a key it must not be sent again;
// with one it is, under the same key and request id. Where the first try is
// certain not to have run, it may be sent again in any case.
func TestRepeats(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	opts := post(options())
	opts.Repeats = 3

	d := &daemon{answers: []http.HandlerFunc{abort}}
	c := once(t, opts, d.serve)
	must.Eq(t, 1, c.Tries)
	must.Eq(t, Unknown, c.Verdict)

	d = &daemon{answers: []http.HandlerFunc{refuse(errkind.Barred), backend().ServeHTTP}}
	c = once(t, opts, d.serve)
	must.Eq(t, 2, c.Tries)
	must.Eq(t, OK, c.Verdict)

	opts.Keys = KeysOwn
	d = &daemon{answers: []http.HandlerFunc{abort, backend().ServeHTTP}}
	c = once(t, opts, d.serve)
	must.Eq(t, 2, c.Tries)
	must.Eq(t, OK, c.Verdict)
	for _, name := range []string{headerKey, payload.HeaderRequestID} {
		must.NotEq(t, "", d.tries[0].Header.Get(name))
		must.Eq(t, d.tries[0].Header.Get(name), d.tries[1].Header.Get(name))
	}
}

const headerKey = "Idempotency-Key"

// The kept-alive connection breaks under a call without a body that has a key.
// The transport must not send it again by itself, unseen by the count of tries.
func TestTransportDoesNotRepeat(t *testing.T) {
	var requests atomic.Int32
	b := backend()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
		b.ServeHTTP(w, r)
	}))
	defer srv.Close()
	opts := post(options(srv.URL))
	opts.BodyBytes, opts.Keys, opts.Count, opts.Concurrency = 0, KeysOwn, 2, 1
	s, err := Run(t.Context(), opts)
	must.NoError(t, err)
	must.Eq(t, 1, s.Count(Unknown))
	must.Eq(t, 2, requests.Load())
}

// A daemon dies under a lookup on a kept-alive connection. The transport sends it
// again by itself and cannot connect; the lookup may have run all the same.
func TestBrokenConnectionIsNotUnsent(t *testing.T) {
	var srv *httptest.Server
	var requests atomic.Int32
	b := backend()
	srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 2 {
			_ = srv.Listener.Close()
			panic(http.ErrAbortHandler)
		}
		b.ServeHTTP(w, r)
	}))
	defer srv.Close()
	opts := options(srv.URL)
	opts.Count, opts.Concurrency = 2, 1
	s, err := Run(t.Context(), opts)
	must.NoError(t, err)
	must.Eq(t, 1, s.Count(OK))
	must.Eq(t, 1, s.Count(Unknown))
}

// The first try may have run, the second is refused as not run. The caller
// knows no more of the call than after the first.
func TestEarlierTryCounts(t *testing.T) {
	opts := options()
	opts.Repeats = 1
	d := &daemon{answers: []http.HandlerFunc{
		func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		refuse(errkind.Barred),
	}}
	c := once(t, opts, d.serve)
	must.Eq(t, 2, c.Tries)
	must.Eq(t, Unknown, c.Verdict)
	must.Eq(t, errkind.Barred, c.Kind)
}

// Keys come from a daemon; where it issues none, the call is not sent.
func TestIssuedKeys(t *testing.T) {
	opts := post(options())
	opts.Keys = KeysIssued
	issue := func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(headerKey, "issued-1") }
	d := &daemon{answers: []http.HandlerFunc{issue, backend().ServeHTTP}}
	c := once(t, opts, d.serve)
	must.Eq(t, OK, c.Verdict)
	must.Eq(t, "issued-1", c.IdempotencyKey)
	must.Eq(t, "garage", d.tries[0].Header.Get("X-Customer"))
	must.Eq(t, "issued-1", d.tries[1].Header.Get(headerKey))

	d = &daemon{answers: []http.HandlerFunc{refuse(errkind.Draining)}}
	c = once(t, opts, d.serve)
	must.Eq(t, NotSent, c.Verdict)
	must.Eq(t, errkind.Draining, c.Kind)

	opts.Keys, opts.GivenKeys = KeysGiven, []string{"given-1"}
	must.Eq(t, "given-1", once(t, opts, backend().ServeHTTP).IdempotencyKey)

	opts.Keys, opts.Repeats = KeysIssued, 1
	d = &daemon{answers: []http.HandlerFunc{refuse(errkind.Draining), issue, backend().ServeHTTP}}
	must.Eq(t, OK, once(t, opts, d.serve).Verdict)
}

// A proof needs each try by itself: what it was promised, and the number under
// which a backend server would have run it.
func TestTriesAreRecorded(t *testing.T) {
	opts := post(options())
	opts.Keys, opts.Repeats, opts.Insist = KeysOwn, 2, true
	d := &daemon{answers: []http.HandlerFunc{
		refuse(errkind.OutcomeUnknown), refuse(errkind.Barred),
		func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Crocuscross-Config", "7")
			backend().ServeHTTP(w, r)
		},
	}}
	c := once(t, opts, d.serve)
	must.Eq(t, OK, c.Verdict)
	must.Len(t, 3, c.Log)
	for i, want := range []struct {
		verdict Verdict
		run     errkind.Run
		config  uint64
	}{{Unknown, errkind.RunUnknown, 0}, {Refused, errkind.NotRun, 0}, {OK, "", 7}} {
		got := c.Log[i]
		must.Eq(t, want.verdict, got.Verdict)
		must.Eq(t, want.run, got.Run)
		must.Eq(t, want.config, got.Config)
		must.Eq(t, strconv.Itoa(i+1), d.tries[i].Header.Get(payload.HeaderTry))
		must.False(t, got.Start.Before(c.Start) || got.End.Before(got.Start))
	}

	opts.Insist = false
	c = once(t, opts, refuse(errkind.OutcomeUnknown))
	must.Len(t, 1, c.Log)
}

// The system hangs. An open loop goes on counting calls as they fall due and
// does not slow down to the system's pace.
func TestOpenLoopDoesNotWait(t *testing.T) {
	var r *runner
	b := backend()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		for r.taken.Load() < 5 {
			runtime.Gosched()
		}
		b.ServeHTTP(w, req)
	}))
	defer srv.Close()
	opts := options(srv.URL)
	opts.Rate, opts.Count, opts.Concurrency = 1000, 5, 1
	r = newRunner(opts)
	s, err := r.run(t.Context())
	must.NoError(t, err)
	must.Eq(t, 5, s.Calls+s.Dropped)
	must.GreaterEq(t, 3, s.Dropped)
}

// Whoever stops a run gets the summary of what has been sent.
func TestEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var calls atomic.Int32
	b := backend()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 20 {
			cancel()
		}
		b.ServeHTTP(w, r)
	}))
	defer srv.Close()
	opts := options(srv.URL)
	opts.Count = MaxCount
	s, err := Run(ctx, opts)
	must.NoError(t, err)
	must.Positive(t, s.Calls)
}

func TestOptions(t *testing.T) {
	shape, err := ParseShape("9 get /signs/1?x=2")
	must.NoError(t, err)
	must.Eq(t, Shape{Weight: 9, Method: "GET", Path: "/signs/1?x=2"}, shape)
	for _, s := range []string{"", "GET", "GET signs", "0 GET /", "x GET /", "1 GET / more"} {
		_, err := ParseShape(s)
		must.Error(t, err, must.Sprint(s))
	}
	for name, change := range map[string]func(*Options){
		"targets": func(o *Options) { o.Targets = nil }, "count": func(o *Options) { o.Count = MaxCount + 1 },
		"duration": func(o *Options) { o.Duration = 2 * MaxDuration }, "concurrency": func(o *Options) { o.Concurrency = 0 },
		"keys": func(o *Options) { o.Keys = "?" }, "keys are given": func(o *Options) { o.Keys = KeysGiven }, "calls": func(o *Options) { o.Mix = nil },
		"timeout": func(o *Options) { o.Timeout = 0 }, "rate": func(o *Options) { o.Rate = -1 },
	} {
		opts := options("http://127.0.0.1:1")
		change(&opts)
		err := opts.Check()
		must.Error(t, err)
		must.True(t, strings.Contains(err.Error(), name), must.Sprint(err))
	}
}
