// The case of an account whose limit is granted a second time by a daemon that is restarted while it
// is cut off from the other daemons.
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
	caseDir = "review/6"
	service = "status-gate"
	route   = "status.example"
	account = "farm"
	key     = "key-of-farm"

	rate, burst = 40, 20

	window  = 5 * time.Second
	overage = 0.1
	slack   = 20

	hosts    = 6
	interval = 20 * time.Millisecond

	warmUp       = 12 * time.Second
	cutFor       = 12 * time.Second
	restartAfter = 500 * time.Millisecond
)

func main() {
	services := make([]string, hosts)
	for i := range services {
		services[i] = service
	}
	lab.Main(caseDir, lab.Options{Services: services, Zones: 3, Quota: true, Partitions: true}, run)
}

func run(ctx context.Context, l *lab.Lab) (bool, error) {
	d := lab.NewDocument(1, service)
	d.Routes = []lab.Route{{
		Name: "status", VirtualHost: route, PathPrefix: "/", Kind: lab.Idempotent, TimeoutMs: 1000, ObjectiveMs: 400, Service: service, MaxAttempts: 2,
	}}
	d.Accounts = []lab.Account{{Name: account, Keys: []string{key}, Rate: rate, Burst: burst}}
	if err := l.Publish(d); err != nil {
		return false, err
	}
	var servers []*lab.Server
	for i, h := range l.Hosts {
		s, err := l.StartServer(ctx, h, fmt.Sprintf("i-%d", i+1), 10*time.Millisecond)
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
	sent := &sendings{byID: map[string]time.Time{}}
	for _, h := range l.Hosts {
		wg.Go(func() { traffic(trafficCtx, l, h, sent) })
	}
	if err := lab.Sleep(ctx, warmUp); err != nil {
		return false, err
	}
	if lab.Trouble() {
		if err := cutAndRestart(ctx, l); err != nil {
			return false, err
		}
	} else if err := lab.Sleep(ctx, cutFor); err != nil {
		return false, err
	}
	_ = lab.Sleep(ctx, 3*time.Second)
	stop()
	wg.Wait()
	return judge(l, servers, sent), nil
}

// cutAndRestart cuts one host off from all others and restarts its daemon.
func cutAndRestart(ctx context.Context, l *lab.Lab) error {
	cut := l.Hosts[0]
	var others []string
	for _, h := range l.Hosts[1:] {
		others = append(others, h.Name)
	}
	l.Network.Cut([]string{cut.Name}, others)
	end := time.Now().Add(cutFor)
	l.Logf("%s is cut off from all other hosts", cut.Name)
	l.KillDaemon(cut)
	if err := lab.Sleep(ctx, restartAfter); err != nil {
		return err
	}
	if err := l.StartDaemon(cut, false); err != nil {
		return err
	}
	if err := lab.Sleep(ctx, time.Until(end)); err != nil {
		return err
	}
	l.Network.Heal()
	l.Logf("%s is no longer cut off", cut.Name)
	return nil
}

// judge reports whether more requests of the account than allowed were sent and arrived in some window.
func judge(l *lab.Lab, servers []*lab.Server, sent *sendings) bool {
	var runs []lab.Run
	for _, s := range servers {
		runs = append(runs, s.Runs()...)
	}
	for _, r := range runs {
		l.Logf("%s ran %s of %s at %.3f", r.Server, r.ID, r.Tenant, l.Since(r.At))
	}
	allowed := (rate*window.Seconds()+burst)*(1+overage) + slack
	most, from := 0, time.Time{}
	for _, first := range runs {
		start := sent.at(first.ID)
		n := 0
		for _, r := range runs {
			if r.Tenant == account && !sent.at(r.ID).Before(start) && !r.At.After(start.Add(window)) {
				n++
			}
		}
		if n > most {
			most, from = n, start
		}
	}
	l.Logf("at most %d requests of %s were sent and ran in %v, from %.3f on; the rule allows %.0f", most, account, window, l.Since(from), allowed)
	return float64(most) > allowed
}

// traffic sends requests of the account through the daemon of a host.
func traffic(ctx context.Context, l *lab.Lab, h *lab.Host, sent *sendings) {
	client := lab.NewClient()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; lab.Sleep(ctx, interval) == nil; n++ {
		wg.Go(func() {
			q := lab.Request{ID: fmt.Sprintf("%s-%d", h.Name, n), Method: http.MethodGet, VirtualHost: route, Path: "/queue", Key: key, Deadline: time.Second}
			sent.add(q.ID)
			a := lab.Do(context.WithoutCancel(ctx), client, h, q)
			l.Logf("request %s sent %.3f: status %d, by %q, error %v", q.ID, l.Since(a.Sent), a.Status, a.Signature, a.Err)
		})
	}
}

// sendings has when each request was sent.
type sendings struct {
	mu   sync.Mutex
	byID map[string]time.Time
}

func (s *sendings) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[id] = time.Now()
}

func (s *sendings) at(id string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}
