// The case of a store that turns away the daemons that read it and serves all others.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/crocuscross/crocuscross/platform/storetest"
	"github.com/crocuscross/crocuscross/review/lab"
)

const (
	caseDir    = "review/5"
	oldService = "sign-feed"
	newService = "site-ops"
	route      = "signs.example"

	hosts = 12
	zones = 2

	warmUp       = 8 * time.Second
	readerWindow = 3 * time.Second
	turnedAway   = 9 * time.Second
	publishAfter = 800 * time.Millisecond
	configApply  = 2 * time.Second
	maxStretch   = 5 * time.Second
	interval     = 50 * time.Millisecond
	deadline     = time.Second

	// maxShare is the largest share of the machines that the store turns away.
	maxShare = 0.35
)

func main() {
	services := make([]string, hosts)
	for i := range services {
		services[i] = oldService
		if i/zones%2 == 1 {
			services[i] = newService
		}
	}
	r := &reads{last: map[string]time.Time{}, away: map[string]context.Context{}, turn: map[string]context.CancelFunc{}}
	lab.Main(caseDir, lab.Options{Services: services, Zones: zones, WrapStore: r.wrap},
		func(ctx context.Context, l *lab.Lab) (bool, error) { return run(ctx, l, r) })
}

// reads records when each host last read the operator's topic.
type reads struct {
	mu   sync.Mutex
	last map[string]time.Time
	// away ends when the store begins to turn a host away, which turn does.
	away map[string]context.Context
	turn map[string]context.CancelFunc
}

func (r *reads) wrap(_ *lab.Lab, store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if addr, ok := q.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr); ok && q.URL.Query().Get("topic") == "keyed.op" {
			r.mu.Lock()
			r.last[addr.IP.String()] = time.Now()
			r.mu.Unlock()
		}
		r.serve(w, q, store)
	})
}

// serve serves a call, unless the store turns its host away meanwhile. It then breaks the connection.
func (r *reads) serve(w http.ResponseWriter, q *http.Request, store http.Handler) {
	ctx, cancel := context.WithCancel(q.Context())
	defer cancel()
	ip := ""
	if addr, ok := q.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr); ok {
		ip = addr.IP.String()
	}
	r.mu.Lock()
	away := r.away[ip]
	r.mu.Unlock()
	if away != nil {
		defer context.AfterFunc(away, cancel)()
	}
	answer := httptest.NewRecorder()
	store.ServeHTTP(answer, q.WithContext(ctx))
	if away != nil && away.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// prepare makes it possible to turn hosts away.
func (r *reads) prepare(l *lab.Lab) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range l.Hosts {
		r.away[h.StoreIP()], r.turn[h.StoreIP()] = context.WithCancel(context.Background())
	}
}

// readers returns the hosts that have read lately.
func (r *reads) readers(l *lab.Lab) []*lab.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*lab.Host
	for _, h := range l.Hosts {
		if time.Since(r.last[h.StoreIP()]) < readerWindow {
			list = append(list, h)
		}
	}
	return list
}

func document(version uint64, service string) *lab.Document {
	d := lab.NewDocument(version, oldService, newService)
	d.Routes = []lab.Route{{
		Name: "signs", VirtualHost: route, PathPrefix: "/", Kind: lab.Idempotent, TimeoutMs: 1000, ObjectiveMs: 400, Service: service, MaxAttempts: 2,
	}}
	return d
}

func run(ctx context.Context, l *lab.Lab, r *reads) (bool, error) {
	if err := l.Publish(document(1, oldService)); err != nil {
		return false, err
	}
	r.prepare(l)
	service := map[string]string{}
	for i, h := range l.Hosts {
		s, err := l.StartServer(ctx, h, fmt.Sprintf("i-%d", i+1), 10*time.Millisecond)
		if err != nil {
			return false, err
		}
		service[s.ID] = h.Service
	}
	if err := l.Start(ctx); err != nil {
		return false, err
	}
	if err := lab.Sleep(ctx, warmUp); err != nil {
		return false, err
	}
	away := map[*lab.Host]bool{}
	if lab.Trouble() {
		readers := r.readers(l)
		if float64(len(readers)) > maxShare*hosts {
			return false, fmt.Errorf("%d hosts read the store, more than may be turned away", len(readers))
		}
		for _, h := range readers {
			away[h] = true
			l.Store.SetHostFault(h.StoreIP(), storetest.Unavailable)
			r.turn[h.StoreIP()]()
			l.Logf("the store turns %s away", h.Name)
		}
	}
	begun := time.Now()
	_ = lab.Sleep(ctx, publishAfter)
	if err := l.Publish(document(2, newService)); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	var wg sync.WaitGroup
	trafficCtx, stop := context.WithCancel(ctx)
	defer stop()
	results := &results{}
	for _, h := range l.Hosts {
		if !away[h] {
			wg.Go(func() { traffic(trafficCtx, l, h, results, service) })
		}
	}
	_ = lab.Sleep(ctx, time.Until(begun.Add(turnedAway)))
	for h := range away {
		l.Store.SetHostFault(h.StoreIP(), storetest.None)
		r.prepare(l)
		l.Logf("the store serves %s again", h.Name)
	}
	_ = lab.Sleep(ctx, 3*time.Second)
	stop()
	wg.Wait()
	late, latest := results.ranOn(oldService, acknowledged.Add(configApply+maxStretch))
	l.Logf("%d requests sent later than %v after the acknowledgement ran on the old service", late, configApply+maxStretch)
	if !latest.IsZero() {
		l.Logf("the latest that ran there was sent %.3f s after it", latest.Sub(acknowledged).Seconds())
	}
	return late > 0, nil
}

// results records which service answered each request.
type results struct {
	mu   sync.Mutex
	list []result
}

type result struct {
	sent    time.Time
	service string
}

// ranOn counts the requests sent after a time that a service answered, and returns when the latest was sent.
func (r *results) ranOn(service string, after time.Time) (n int, latest time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.list {
		if x.service == service && x.sent.After(latest) {
			latest = x.sent
		}
		if x.service == service && x.sent.After(after) {
			n++
		}
	}
	return n, latest
}

func traffic(ctx context.Context, l *lab.Lab, h *lab.Host, results *results, service map[string]string) {
	client := lab.NewClient()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; lab.Sleep(ctx, interval) == nil; n++ {
		wg.Go(func() {
			q := lab.Request{ID: fmt.Sprintf("%s-%d", h.Name, n), Method: http.MethodGet, VirtualHost: route, Path: "/level-2", Deadline: deadline}
			a := lab.Do(context.WithoutCancel(ctx), client, h, q)
			l.Logf("request %s sent %.3f: status %d, by %q of %s, error %v", q.ID, l.Since(a.Sent), a.Status, a.Signature, service[a.Signature], a.Err)
			results.mu.Lock()
			defer results.mu.Unlock()
			results.list = append(results.list, result{a.Sent, service[a.Signature]})
		})
	}
}
