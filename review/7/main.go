// The case of a target that has left and whose daemon is killed right after the acknowledgement.
package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/crocuscross/crocuscross/review/lab"
)

const (
	caseDir = "review/7"
	service = "sign-feed"
	route   = "signs.example"

	drain   = 2 * time.Second
	contact = 3 * time.Second

	killAfter    = 100 * time.Millisecond
	restartAfter = 300 * time.Millisecond
	lateBy       = 2500 * time.Millisecond
	staysFor     = 7500 * time.Millisecond
	endsAfter    = 2 * time.Second
	interval     = 25 * time.Millisecond
	work         = 150 * time.Millisecond
	deadline     = 2 * time.Second
	slack        = 250 * time.Millisecond
)

func main() {
	lab.Main(caseDir, lab.Options{Services: []string{service, service, service, service}, Zones: 2}, run)
}

func run(ctx context.Context, l *lab.Lab) (bool, error) {
	d := lab.NewDocument(1, service)
	d.Routes = []lab.Route{{
		Name: "hold", VirtualHost: route, PathPrefix: "/", Kind: lab.NonIdempotent, TimeoutMs: 3000, ObjectiveMs: 600, Service: service, MaxAttempts: 2,
	}}
	if err := l.Publish(d); err != nil {
		return false, err
	}
	var servers []*lab.Server
	for i, h := range l.Hosts {
		s, err := l.StartServer(ctx, h, fmt.Sprintf("i-%d", i+1), work)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := l.Start(ctx); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	trafficCtx, stop := context.WithCancel(ctx)
	defer stop()
	results := &answers{byID: map[string]lab.Answer{}}
	for _, h := range l.Hosts[1:] {
		wg.Go(func() { traffic(trafficCtx, l, h, results) })
	}
	if err := lab.Sleep(ctx, 8*time.Second); err != nil {
		return false, err
	}

	leaving, host := servers[0], l.Hosts[0]
	before := len(leaving.Runs())
	l.Logf("%s has run %d requests", leaving.ID, before)
	leaving.StopHeartbeats()
	late := leaving.Heartbeat()
	sentLate := time.Now()
	l.Logf("%s sends a heartbeat that arrives late: %s", leaving.ID, late)
	if err := lab.Sleep(ctx, 200*time.Millisecond); err != nil {
		return false, err
	}
	leaving.SetLeaving()
	status, err := leaving.Withdraw(ctx)
	acknowledged := time.Now()
	l.Logf("%s sends DELETE: answer %d, error %v", leaving.ID, status, err)
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("DELETE was not acknowledged: status %d, error %v", status, err)
	}
	restarted := acknowledged
	if lab.Trouble() {
		_ = lab.Sleep(ctx, killAfter)
		l.KillDaemon(host)
		_ = lab.Sleep(ctx, restartAfter)
		if err := l.StartDaemon(host, false); err != nil {
			return false, err
		}
		restarted = time.Now()
	}
	_ = lab.Sleep(ctx, time.Until(sentLate.Add(lateBy)))
	status, err = leaving.Send(ctx, late)
	l.Logf("the late heartbeat of %s arrives: answer %d, error %v", leaving.ID, status, err)
	_ = lab.Sleep(ctx, time.Until(acknowledged.Add(staysFor)))
	leaving.Exit()
	_ = lab.Sleep(ctx, endsAfter)
	stop()
	wg.Wait()

	bindsFrom := acknowledged.Add(drain + slack)
	if t := restarted.Add(contact + slack); t.After(bindsFrom) {
		bindsFrom = t
	}
	l.Logf("the rule binds from %.3f on", l.Since(bindsFrom))
	count, lost := 0, 0
	for _, r := range leaving.Runs()[before:] {
		a := results.get(r.ID)
		l.Logf("%s ran %s at %.3f, its client got status %d", r.Server, r.ID, l.Since(r.At), a.Status)
		if r.At.After(bindsFrom) {
			count++
			if a.Status != http.StatusOK {
				lost++
			}
		}
	}
	l.Logf("%s ran %d requests later than drain after its acknowledged leaving, in touch; %d of them were lost", leaving.ID, count, lost)
	return count > 0, nil
}

// traffic sends permit holds through the daemon of a host.
func traffic(ctx context.Context, l *lab.Lab, h *lab.Host, results *answers) {
	client := lab.NewClient()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; lab.Sleep(ctx, interval) == nil; n++ {
		wg.Go(func() {
			q := lab.Request{ID: fmt.Sprintf("%s-%d", h.Name, n), Method: http.MethodPost, VirtualHost: route, Path: "/holds", Body: []byte("space"), Deadline: deadline}
			a := lab.Do(context.WithoutCancel(ctx), client, h, q)
			results.add(q.ID, a)
			l.Logf("request %s sent %.3f: status %d, by %q, error %v", q.ID, l.Since(a.Sent), a.Status, a.Signature, a.Err)
		})
	}
}

// answers has what the clients got.
type answers struct {
	mu   sync.Mutex
	byID map[string]lab.Answer
}

func (r *answers) add(id string, a lab.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = a
}

func (r *answers) get(id string) lab.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}
