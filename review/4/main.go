// The case of a rollout whose outcome a daemon that no longer decides on it overwrites.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/review/lab"
)

const (
	caseDir = "review/4"
	service = "status-gate"
	route   = "status.example"

	hosts      = 6
	oldVersion = "v1"
	newVersion = "v2"

	orderSeconds = 16
	warmUp       = 5 * time.Second
	termAfter    = 6 * time.Second
	restartAfter = 500 * time.Millisecond
	grace        = 6 * time.Second
	drainDelay   = 3 * time.Second
	// faultAfterEnd is the time from the order's deadline to the final fault.
	faultAfterEnd = 1500 * time.Millisecond
	downFor       = time.Second
	recovery      = 15 * time.Second
	measuredFor   = 4 * time.Second

	interval     = 40 * time.Millisecond
	pollInterval = 20 * time.Millisecond
	deadline     = time.Second
)

const (
	succeeded  = "succeeded"
	rolledBack = "rolled_back"
)

func main() {
	services := make([]string, hosts)
	for i := range services {
		services[i] = service
	}
	lab.Main(caseDir, lab.Options{
		Services: services, Zones: 3, Bounds: map[string]any{"exposure_share": 0.1, "exposure_slack": 50},
	}, run)
}

func run(ctx context.Context, l *lab.Lab) (bool, error) {
	d := lab.NewDocument(1, service)
	d.Routes = []lab.Route{{
		Name: "status", VirtualHost: route, PathPrefix: "/", Kind: lab.Idempotent, TimeoutMs: 1000, ObjectiveMs: 400, Service: service, MaxAttempts: 2,
	}}
	if err := l.Publish(d); err != nil {
		return false, err
	}
	o := &operator{lab: l}
	for i := 0; i < hosts; i += 2 {
		if err := o.startServer(ctx, i, oldVersion); err != nil {
			return false, err
		}
	}
	if err := l.Start(ctx); err != nil {
		return false, err
	}
	decider := firstDecider(l)
	var wg sync.WaitGroup
	trafficCtx, stop := context.WithCancel(ctx)
	defer stop()
	served := &ledger{}
	for _, h := range l.Hosts {
		if h != decider {
			wg.Go(func() { traffic(trafficCtx, l, h, served) })
		}
	}
	if err := lab.Sleep(ctx, warmUp); err != nil {
		return false, err
	}

	for i := 1; i < hosts; i += 2 {
		if err := o.startServer(ctx, i, newVersion); err != nil {
			return false, err
		}
	}
	ordered := time.Now()
	l.Store.PutRollout(service, newVersion, orderSeconds)
	l.Logf("operator: orders the rollout of %s to %s within %d s", service, newVersion, orderSeconds)
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	wg.Go(func() { o.watch(watchCtx) })
	if lab.Trouble() {
		if err := restart(ctx, l, decider); err != nil {
			return false, err
		}
	}
	end := ordered.Add(orderSeconds * time.Second)
	_ = lab.Sleep(ctx, time.Until(end.Add(faultAfterEnd)))
	back, err := finalFault(ctx, l)
	if err != nil {
		return false, err
	}
	_ = lab.Sleep(ctx, time.Until(back.Add(recovery+measuredFor)))
	stopWatch()
	stop()
	wg.Wait()
	l.Logf("operator: the states of the rollout were %v", o.history)
	before := served.share(end.Add(-measuredFor), end)
	after := served.share(back.Add(recovery), back.Add(recovery+measuredFor))
	l.Logf("served before the final fault: %.3f, later than %v after the machines were back: %.3f", before, recovery, after)
	return before >= 0.25 && after < 0.25, nil
}

// finalFault kills all daemons at once and starts them again. It returns when they are back.
func finalFault(ctx context.Context, l *lab.Lab) (time.Time, error) {
	l.Logf("final fault: all daemons are killed")
	for _, h := range l.Hosts {
		_ = h.Daemon().Signal(syscall.SIGKILL)
	}
	if err := lab.Sleep(ctx, downFor); err != nil {
		return time.Time{}, err
	}
	for _, h := range l.Hosts {
		if err := l.StartDaemon(h, false); err != nil {
			return time.Time{}, err
		}
	}
	return time.Now(), nil
}

// firstDecider returns the host whose daemon decides on the rollout while all daemons run.
func firstDecider(l *lab.Lab) *lab.Host {
	var first *lab.Host
	for _, h := range l.Hosts {
		if first == nil || membership.Rendezvous(h.Name, service) > membership.Rendezvous(first.Name, service) {
			first = h
		}
	}
	return first
}

// restart stops the daemon of a host with SIGTERM and starts it again, as planned work does.
func restart(ctx context.Context, l *lab.Lab, h *lab.Host) error {
	if err := lab.Sleep(ctx, termAfter); err != nil {
		return err
	}
	l.Logf("%s: SIGTERM to the daemon", h.Name)
	if err := h.Daemon().Signal(syscall.SIGTERM); err != nil {
		return err
	}
	waitCtx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	_ = h.Daemon().Wait(waitCtx)
	if h.Daemon().Running() {
		l.KillDaemon(h)
	}
	l.Logf("%s: daemon has ended", h.Name)
	if err := lab.Sleep(ctx, restartAfter); err != nil {
		return err
	}
	if err := l.StartDaemon(h, false); err != nil {
		return err
	}
	return l.WaitReady(ctx, h)
}

// operator orders the rollout and acts on its status as the pages say.
type operator struct {
	lab     *lab.Lab
	old     []*lab.Server
	new     []*lab.Server
	history []string
}

func (o *operator) startServer(ctx context.Context, host int, version string) error {
	s, err := o.lab.StartServerVersion(ctx, o.lab.Hosts[host], fmt.Sprintf("i-%d", host+1), version, 20*time.Millisecond)
	if err != nil {
		return err
	}
	o.lab.Logf("%s of version %s starts on %s", s.ID, version, s.Host.Name)
	if version == oldVersion {
		o.old = append(o.old, s)
	} else {
		o.new = append(o.new, s)
	}
	return nil
}

// watch reads the status until ctx is done. At "succeeded" the old servers stop at once, at
// "rolled_back" the new ones drain some seconds later.
func (o *operator) watch(ctx context.Context) {
	for lab.Sleep(ctx, pollInterval) == nil {
		var status struct {
			State string `json:"state"`
		}
		text := o.lab.Store.RolloutStatus(service)
		if json.Unmarshal([]byte(text), &status) != nil || status.State == o.last() {
			continue
		}
		o.history = append(o.history, status.State)
		o.lab.Logf("operator: the status of the rollout is %s", text)
		switch status.State {
		case succeeded:
			for _, s := range o.old {
				s.Exit()
			}
		case rolledBack:
			if os.Getenv("KEEP_NEW") != "1" {
				go o.drainNew(ctx)
			}
		}
	}
}

func (o *operator) drainNew(ctx context.Context) {
	if lab.Sleep(ctx, drainDelay) != nil {
		return
	}
	for _, s := range o.new {
		s.SetLeaving()
		status, err := s.Send(ctx, s.Heartbeat())
		o.lab.Logf("%s reports that it drains: answer %d, error %v", s.ID, status, err)
	}
}

func (o *operator) last() string {
	if len(o.history) == 0 {
		return ""
	}
	return o.history[len(o.history)-1]
}

// traffic sends requests through the daemon of a host.
func traffic(ctx context.Context, l *lab.Lab, h *lab.Host, served *ledger) {
	client := lab.NewClient()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; lab.Sleep(ctx, interval) == nil; n++ {
		wg.Go(func() {
			q := lab.Request{ID: fmt.Sprintf("%s-%d", h.Name, n), Method: http.MethodGet, VirtualHost: route, Path: "/queue", Deadline: deadline}
			a := lab.Do(context.WithoutCancel(ctx), client, h, q)
			served.add(a)
			l.Logf("request %s sent %.3f: status %d, by %q, error %v", q.ID, l.Since(a.Sent), a.Status, a.Signature, a.Err)
		})
	}
}

// ledger records which requests were served.
type ledger struct {
	mu      sync.Mutex
	answers []lab.Answer
}

func (g *ledger) add(a lab.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers = append(g.answers, a)
}

// share returns the share of the requests sent in a time that were answered with success.
func (g *ledger) share(from, to time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	all, good := 0, 0
	for _, a := range g.answers {
		if a.Sent.Before(from) || a.Sent.After(to) {
			continue
		}
		all++
		if a.Status == http.StatusOK && a.Signature != "" {
			good++
		}
	}
	return float64(good) / float64(max(all, 1))
}
