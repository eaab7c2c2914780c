// Command demo shows the whole path as separate processes on loopback: the
// platform log's stand-in, the association's daemons in four availability
// zones, a backend server beside each. It publishes contracts, sends requests,
// revises a contract and watches it take effect, and ends by itself. The exit
// status is 0 only if every step did what it should.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/bench/procs"
	"github.com/crocuscross/crocuscross/internal/operator"
)

const (
	// limit bounds the whole demo.
	limit = 55 * time.Second
	// stepLimit bounds the wait for one thing to come true.
	stepLimit = 20 * time.Second

	logAddress  = "127.10.0.1:7300"
	operators   = "127.10.1.1:7401"
	callers     = "127.10.1.1:8080"
	daemonFiles = "examples/association/daemons/*.jsonc"
	slots       = "10"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo: failed:", err)
		os.Exit(1)
	}
	fmt.Println("demo: every step did what it should")
}

func run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "crocuscross-demo-")
	if err != nil {
		return errors.Wrap(err, "make a folder for logs")
	}
	d := &demo{ctx: ctx, group: procs.NewGroup(dir)}
	defer d.group.KillAll()
	for _, step := range []struct {
		name string
		run  func() error
	}{
		{"start the platform log, daemons in four availability zones and their backend servers", d.start},
		{"publish services, routes and contracts", d.publish},
		{"serve requests across availability zones", d.serve},
		{"hold a customer to its contract", d.enforce},
		{"revise the contract and watch it take effect", d.revise},
		{"run a permit hold once, though it is sent three times", d.repeat},
		{"drain an availability zone without a failed request", d.drain},
	} {
		fmt.Printf("\n== %s\n", step.name)
		if err := step.run(); err != nil {
			return errors.Wrapf(err, "%s (logs in %s)", step.name, dir)
		}
	}
	d.group.KillAll()
	return errors.Wrap(os.RemoveAll(dir), "remove logs")
}

type demo struct {
	ctx     context.Context
	group   *procs.Group
	daemons int
}

// start runs all processes and waits until each daemon sees all others.
func (d *demo) start() error {
	if _, _, err := d.group.StartListening(d.ctx, "log", "bin/standin", "log", "--listen", logAddress); err != nil {
		return err
	}
	files, err := filepath.Glob(daemonFiles)
	if err != nil || len(files) == 0 {
		return errors.Newf("no settings files at %s", daemonFiles)
	}
	d.daemons = len(files)
	for _, file := range files {
		if err := d.startHost(file); err != nil {
			return err
		}
	}
	fmt.Printf("%d daemons and %d backend servers run\n", d.daemons, d.daemons)
	return d.eventually(func() error {
		s, err := operator.NewClient(operators).Status(d.ctx)
		if err != nil {
			return err
		}
		if len(s.Daemons) != d.daemons {
			return errors.Newf("%d of %d daemons are known", len(s.Daemons), d.daemons)
		}
		return d.show("status", "--daemon", operators)
	})
}

// startHost starts a daemon and the backend server beside it.
func (d *demo) startHost(file string) error {
	host := strings.TrimSuffix(filepath.Base(file), ".jsonc")
	if _, err := d.group.Start(host, "bin/crocuscross", "daemon", "--settings", file); err != nil {
		return err
	}
	s, err := loadHost(file)
	if err != nil {
		return err
	}
	_, _, err = d.group.StartListening(d.ctx, host+"-backend", "bin/standin", "backend",
		"--service", host[:len(host)-len("-01")], "--slots", slots, "--name", host,
		"--announce", "http://"+s.Listen.Backend, "--listen", "127.0.0.1:0")
	return err
}

func (d *demo) publish() error {
	for _, file := range []string{"services", "contracts"} {
		if err := d.show("contract", "publish", "examples/association/"+file+".jsonc",
			"--platform", "http://"+logAddress, "--daemon", operators, "--wait=10s"); err != nil {
			return err
		}
	}
	return d.eventually(d.routesInForce)
}

// routesInForce checks that no daemon waits for a backend server.
func (d *demo) routesInForce() error {
	s, err := operator.NewClient(operators).Status(d.ctx)
	if err != nil {
		return err
	}
	for _, daemon := range s.Daemons {
		if len(daemon.WithheldRoutes) > 0 {
			return errors.Newf("host %s withholds %v", daemon.Host, daemon.WithheldRoutes)
		}
	}
	return nil
}

// serve sends lookups to one host and looks at who answered.
func (d *demo) serve() error {
	served := map[string]int{}
	for range 40 {
		r, err := d.request("GET", "/signs/7", "harbor-garage", "")
		if err != nil {
			return err
		}
		if r.status != 200 {
			return errors.Newf("status %d: %s", r.status, r.body)
		}
		served[r.servedBy]++
		time.Sleep(10 * time.Millisecond)
	}
	fmt.Printf("40 lookups sent to host sign-feed-01 were served by %d hosts: %v\n", len(served), served)
	r, err := d.request("POST", "/uploads/camera-3", "harbor-garage", strings.Repeat("count;", 200_000))
	if err != nil || r.status != 200 {
		return errors.Newf("upload: status %d, %v: %s", r.status, err, r.body)
	}
	fmt.Printf("an upload of 1.2 MB to service site-ops was answered by host %s in another service\n", r.servedBy)
	if len(served) < 2 {
		return errors.New("one host served all")
	}
	return nil
}

// enforce sends more than a contract allows.
func (d *demo) enforce() error {
	accepted, refused, retryAfter, err := d.burst(60)
	if err != nil {
		return err
	}
	fmt.Printf("60 requests at once for elm-street-garage (5/s, burst 10): %d answered, %d refused with 429, Retry-After %s s\n",
		accepted, refused, retryAfter)
	if refused == 0 || accepted == 0 || retryAfter == "" {
		return errors.New("the contract does not bind as it should")
	}
	return nil
}

// burst sends n requests for the small garage one after the other.
func (d *demo) burst(n int) (accepted, refused int, retryAfter string, err error) {
	for range n {
		r, err := d.request("GET", "/signs/7", "elm-street-garage", "")
		if err != nil {
			return 0, 0, "", err
		}
		switch r.status {
		case 200:
			accepted++
		case 429:
			refused++
			retryAfter = r.retryAfter
		default:
			return 0, 0, "", errors.Newf("status %d: %s", r.status, r.body)
		}
	}
	return accepted, refused, retryAfter, nil
}

func (d *demo) revise() error {
	if err := d.show("contract", "publish", "examples/association/revision.jsonc",
		"--platform", "http://"+logAddress, "--daemon", operators, "--wait=10s"); err != nil {
		return err
	}
	return d.show("contract", "history", "--platform", "http://"+logAddress, "elm-street-garage")
}

// repeat sends one hold through three hosts under one idempotency key.
func (d *demo) repeat() error {
	key, err := d.key("harbor-garage")
	if err != nil {
		return err
	}
	var first string
	for i, host := range []string{"127.10.1.1:8080", "127.10.2.1:8080", "127.10.3.1:8080"} {
		r, err := d.requestAt(host, "POST", "/holds/space-12", "harbor-garage", "car 7", key)
		if err != nil {
			return err
		}
		if r.status != 200 {
			return errors.Newf("status %d: %s", r.status, r.body)
		}
		if i == 0 {
			first = r.body
		}
		if r.body != first {
			return errors.Newf("a repeat got another answer: %s instead of %s", r.body, first)
		}
	}
	fmt.Println("all three got the first answer:", strings.TrimSpace(first))
	return nil
}

// drain stops a whole availability zone while lookups go on.
func (d *demo) drain() error {
	if err := d.show("drain", "zone", "providence", "--daemon", operators); err != nil {
		return err
	}
	for range 60 {
		r, err := d.request("GET", "/signs/7", "union-station-garage", "")
		if err != nil {
			return err
		}
		if r.status != 200 {
			return errors.Newf("a request failed during the drain: status %d: %s", r.status, r.body)
		}
		time.Sleep(50 * time.Millisecond)
	}
	fmt.Println("60 lookups during the drain: all answered")
	return nil
}

// show runs the operators' command line and prints what it prints.
func (d *demo) show(args ...string) error {
	fmt.Printf("$ crocuscross %s\n", strings.Join(args, " "))
	cmd := exec.CommandContext(d.ctx, "bin/crocuscross", args...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return errors.Wrapf(cmd.Run(), "crocuscross %s", args[0])
}

// eventually repeats a check until it passes.
func (d *demo) eventually(check func() error) error {
	end := time.Now().Add(stepLimit)
	for {
		err := check()
		if err == nil || time.Now().After(end) {
			return err
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-d.ctx.Done():
			return errors.CombineErrors(d.ctx.Err(), err)
		}
	}
}
