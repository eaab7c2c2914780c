// Package trial runs a small deployment of real processes on loopback for a
// measurement: the platform log's stand-in, and on each host a daemon with a
// backend server beside it.
package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/bench/procs"
	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/httplog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/operator"
	"github.com/crocuscross/crocuscross/peerpb"
)

// Customer has a contract that does not bind in a measurement.
const Customer = "trial"

// Region of all hosts.
const Region = "region"

const (
	// startLimit bounds the time until all daemons serve.
	startLimit = 60 * time.Second
	pollEvery  = 50 * time.Millisecond

	portCallers   = 8080
	portPeers     = 7400
	portOperators = 7401
	portBackend   = 7402
	portServer    = 7500
)

// Host is one host of the deployment.
type Host struct {
	Name             string
	AvailabilityZone string
	IP               string
	// Advertised is the IP that the other daemons are told.
	Advertised string
	// Service of the backend server, empty if there is none.
	Service         string
	Daemon, Backend *procs.Process
	settings        string
}

// Trial is a running deployment.
type Trial struct {
	Group  *procs.Group
	Hosts  []*Host
	LogURL string
	Dir    string
	opts   Options
	// published numbers the publishes of Publish.
	published atomic.Uint64
}

// Start runs the processes and waits until every daemon has the first
// configuration in force.
func Start(ctx context.Context, o Options) (*Trial, error) {
	dir, err := os.MkdirTemp("", "crocuscross-trial-")
	if err != nil {
		return nil, errors.Wrap(err, "make a folder")
	}
	t := &Trial{Group: procs.NewGroup(dir), Dir: dir, opts: o.withDefaults()}
	if err := t.start(ctx); err != nil {
		t.Group.KillAll()
		return nil, errors.Wrapf(err, "start trial, logs in %s", dir)
	}
	return t, nil
}

// Close ends all processes and removes their logs.
func (t *Trial) Close() {
	t.Group.KillAll()
	_ = os.RemoveAll(t.Dir)
}

func (t *Trial) start(ctx context.Context) error {
	_, addr, err := t.Group.StartListening(ctx, "log", t.opts.Standin, "log", "--listen", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.LogURL = "http://" + addr
	if err := t.startHosts(ctx); err != nil {
		return err
	}
	offset, err := t.Publish(ctx, t.firstChanges()...)
	if err != nil {
		return err
	}
	return t.WaitInForce(ctx, offset, t.opts.Hosts)
}

func (t *Trial) startHosts(ctx context.Context) error {
	for i := range t.opts.Hosts {
		t.Hosts = append(t.Hosts, t.newHost(i))
	}
	if t.opts.Prepare != nil {
		if err := t.opts.Prepare(t.Hosts); err != nil {
			return err
		}
	}
	for _, h := range t.Hosts {
		if err := t.StartDaemon(h); err != nil {
			return err
		}
		if h.Service == "" {
			continue
		}
		if err := t.StartBackend(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

func (t *Trial) newHost(i int) *Host {
	return &Host{
		Name:             fmt.Sprintf("host-%03d", i),
		AvailabilityZone: fmt.Sprintf("zone-%d", i%t.opts.Zones),
		IP:               address(t.opts.Subnet, i),
		Advertised:       address(t.opts.AdvertiseSubnet, i),
		Service:          t.opts.ServiceOf(i),
	}
}

func address(subnet string, i int) string { return fmt.Sprintf("%s.%d.%d", subnet, i/250, i%250+1) }

// StartDaemon starts a host's daemon, also again after it has ended.
func (t *Trial) StartDaemon(h *Host) error {
	h.settings = filepath.Join(t.Dir, h.Name+".jsonc")
	b, err := json.MarshalIndent(t.settingsOf(h), "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(h.settings, b, 0o600); err != nil {
		return err
	}
	h.Daemon, err = t.Group.Start(h.Name+"-daemon", t.opts.Daemon, "daemon", "--settings", h.settings)
	return err
}

// StartBackend starts the backend server beside a host's daemon.
func (t *Trial) StartBackend(ctx context.Context, h *Host) error {
	args := []string{
		"backend", "--service", h.Service, "--name", h.Name,
		"--slots", fmt.Sprint(t.opts.Slots), "--service-time", t.opts.ServiceTime.String(),
		"--announce", "http://" + h.addr(portBackend), "--listen", h.addr(portServer),
	}
	if t.opts.Record {
		args = append(args, "--record", t.RecordFile(h))
	}
	var err error
	h.Backend, _, err = t.Group.StartListening(ctx, h.Name+"-backend", t.opts.Standin, args...)
	return err
}

// RecordFile is where a host's backend server writes its executions.
func (t *Trial) RecordFile(h *Host) string { return filepath.Join(t.Dir, h.Name+"-executions.jsonl") }

func (h *Host) addr(port int) string { return fmt.Sprintf("%s:%d", h.IP, port) }

// Peers is where the host's daemon listens for the others.
func (h *Host) Peers() string { return h.addr(portPeers) }

// Advertise is what the others are told in place of Peers.
func (h *Host) Advertise() string { return fmt.Sprintf("%s:%d", h.Advertised, portPeers) }

// Operators is the address of the host's operator listener.
func (h *Host) Operators() string { return h.addr(portOperators) }

// CallerURL is where the host's daemon takes callers' requests.
func (h *Host) CallerURL() string { return "http://" + h.addr(portCallers) }

// BackendURL is where the host's backend server listens.
func (h *Host) BackendURL() string { return "http://" + h.addr(portServer) }

// CallerURLs returns the caller listeners of all hosts.
func (t *Trial) CallerURLs() []string {
	urls := make([]string, 0, len(t.Hosts))
	for _, h := range t.Hosts {
		urls = append(urls, h.CallerURL())
	}
	return urls
}

// BackendURLs returns the backend servers of all hosts.
func (t *Trial) BackendURLs() []string {
	urls := make([]string, 0, len(t.Hosts))
	for _, h := range t.Hosts {
		urls = append(urls, h.BackendURL())
	}
	return urls
}

// firstChanges are one service, one route, one contract, unless the options name
// others.
func (t *Trial) firstChanges() []*configpb.Change {
	if t.opts.Changes != nil {
		return t.opts.Changes
	}
	c := t.opts.Contract
	if c == nil {
		c = &configpb.Contract{Customer: Customer, RatePerSecond: 1e6, Burst: 1e6, MaxWaitMs: 5000}
	}
	return []*configpb.Change{
		{Resource: &configpb.Resource{Kind: &configpb.Resource_Service{Service: &configpb.Service{Name: t.opts.Service}}}},
		{Resource: &configpb.Resource{Kind: &configpb.Resource_Route{
			Route: &configpb.Route{Name: "all", PathPrefix: "/", Service: t.opts.Service},
		}}},
		{Resource: &configpb.Resource{Kind: &configpb.Resource_Contract{Contract: c}}},
	}
}

// Publish appends a bundle of changes and returns its offset.
func (t *Trial) Publish(ctx context.Context, changes ...*configpb.Change) (uint64, error) {
	data, err := fold.EncodeRecord(&configpb.Bundle{
		PublishId: fmt.Sprintf("trial-%d", t.published.Add(1)), Author: "trial", Changes: changes,
	})
	if err != nil {
		return 0, err
	}
	return t.Config().Append(ctx, data)
}

// Config is the configuration stream of the platform log's stand-in.
func (t *Trial) Config() eventlog.Log {
	return httplog.New(httplog.DefaultOptions(t.LogURL)).Stream(eventlog.StreamConfig)
}

// WaitInForce waits until n daemons have an offset in force, with no route
// withheld.
func (t *Trial) WaitInForce(ctx context.Context, offset uint64, n int) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for {
		got := 0
		for _, h := range t.Hosts {
			if !h.Daemon.Running() {
				// Another deployment may hold its addresses and answer for it.
				return errors.Newf("the daemon of %s has ended", h.Name)
			}
			if s, err := t.Status(ctx, h); err == nil && s.GetOffset() >= offset && len(s.GetWithheldRoutes()) == 0 {
				got++
			}
		}
		if got >= n {
			return nil
		}
		select {
		case <-time.After(pollEvery):
		case <-ctx.Done():
			return errors.Newf("offset %d is in force on %d daemons instead of %d", offset, got, n)
		}
	}
}

// Status returns a daemon's own status.
func (t *Trial) Status(ctx context.Context, h *Host) (*peerpb.StatusAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return operator.NewClient(h.Operators()).Self(ctx)
}
