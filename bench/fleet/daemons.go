package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/bench/procs"
	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/httplog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/operator"
)

const (
	daemonProgram  = "bin/crocuscross"
	standinProgram = "bin/standin"
	// joinLimit bounds the time until all daemons know each other.
	joinLimit = 2 * time.Minute
	pollEvery = 200 * time.Millisecond
	// startPause spreads the starts, so that the machine is not busy with them
	// alone.
	startPause = 20 * time.Millisecond
	customer   = "garage"
)

// fleet is the daemons with the platform's log.
type fleet struct {
	opts   options
	group  *procs.Group
	dir    string
	logURL string
	log    eventlog.Log
	hosts  []*host
	// revision in force of the contract that the measurement revises.
	revision uint64
}

// host is one daemon.
type host struct {
	name, zone, ip string
	process        *procs.Process
	dead           bool
}

func (h *host) addr(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

func (h *host) operators() string { return h.addr(7401) }

// startFleet starts the log and all daemons.
func startFleet(ctx context.Context, o options) (*fleet, error) {
	dir, err := os.MkdirTemp("", "crocuscross-fleet-")
	if err != nil {
		return nil, errors.Wrap(err, "make a folder")
	}
	f := &fleet{opts: o, group: procs.NewGroup(dir), dir: dir}
	if err := f.start(ctx); err != nil {
		f.group.KillAll()
		return nil, errors.Wrapf(err, "start, logs in %s", dir)
	}
	return f, nil
}

// close kills all processes and removes their files.
func (f *fleet) close() {
	f.group.KillAll()
	_ = os.RemoveAll(f.dir)
}

func (f *fleet) start(ctx context.Context) error {
	_, addr, err := f.group.StartListening(ctx, "log", standinProgram, "log", "--listen", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.logURL = "http://" + addr
	f.log = httplog.New(httplog.DefaultOptions(f.logURL)).Stream(eventlog.StreamConfig)
	for i := range f.opts.Daemons {
		h := &host{
			name: fmt.Sprintf("host-%03d", i),
			zone: fmt.Sprintf("zone-%d", i%f.opts.Zones),
			ip:   fmt.Sprintf("127.30.%d.%d", i/250, i%250+1),
		}
		f.hosts = append(f.hosts, h)
		if err := f.startDaemon(h); err != nil {
			return err
		}
		if !pause(ctx, startPause) {
			return ctx.Err()
		}
	}
	return nil
}

func (f *fleet) startDaemon(h *host) error {
	file := filepath.Join(f.dir, h.name+".json")
	b, err := json.Marshal(f.settings(h))
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	h.process, err = f.group.Start(h.name, daemonProgram, "daemon", "--settings", file)
	return err
}

// settingsFile is what a daemon is told beyond the defaults.
type settingsFile struct {
	Host             string            `json:"host"`
	AvailabilityZone string            `json:"availability_zone"`
	Region           string            `json:"region"`
	Listen           map[string]string `json:"listen"`
	Contacts         []string          `json:"contacts"`
	Platform         map[string]string `json:"platform"`
	Spread           spreadSettings    `json:"spread"`
}

type spreadSettings struct {
	Mode           string `json:"mode"`
	Redundancy     string `json:"redundancy"`
	ReadersPerZone int    `json:"readers_per_zone"`
	FanOut         int    `json:"fan_out"`
}

func (f *fleet) settings(h *host) settingsFile {
	s := settingsFile{
		Host: h.name, AvailabilityZone: h.zone, Region: "region", Contacts: []string{},
		Listen: map[string]string{
			"callers": h.addr(8080), "peers": h.addr(7400), "operators": h.operators(), "backend": h.addr(7402),
		},
		Platform: map[string]string{"url": f.logURL},
		Spread: spreadSettings{
			Mode: f.opts.Mode, Redundancy: f.opts.Redundancy, ReadersPerZone: f.opts.Readers, FanOut: f.opts.FanOut,
		},
	}
	for _, contact := range f.hosts[:min(f.opts.Zones, len(f.hosts))] {
		if contact != h {
			s.Contacts = append(s.Contacts, contact.addr(7400))
		}
	}
	return s
}

// joined waits until a first contract is in force everywhere and each daemon
// tells of all others.
func (f *fleet) joined(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinLimit)
	defer cancel()
	if err := f.publish(ctx); err != nil {
		return err
	}
	for {
		behind := f.collect(ctx).behind(f.revision)
		known := 0
		if s, err := operator.NewClient(f.hosts[0].operators()).Status(ctx); err == nil {
			known = len(s.Daemons)
		}
		if behind == 0 && known == len(f.hosts) {
			return nil
		}
		if !pause(ctx, pollEvery) {
			return errors.Newf("%d daemons are behind, %d known, logs in %s", behind, known, f.dir)
		}
	}
}

// publish appends a revision of the contract.
func (f *fleet) publish(ctx context.Context) error {
	data, err := fold.EncodeRecord(&configpb.Bundle{
		PublishId: fmt.Sprintf("fleet-%d", time.Now().UnixNano()),
		Author:    strings.Repeat("x", f.opts.RecordBytes),
		Changes: []*configpb.Change{{Replaces: f.revision, Resource: &configpb.Resource{Kind: &configpb.Resource_Contract{
			Contract: &configpb.Contract{Customer: customer, RatePerSecond: 10, MaxWaitMs: 1000},
		}}}},
	})
	if err != nil {
		return err
	}
	f.revision, err = f.log.Append(ctx, data)
	return err
}

// pause waits and reports whether ctx still holds.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
