package main

import (
	"context"
	"math/rand/v2"
	"net/url"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/bench/checker"
	"github.com/crocuscross/crocuscross/bench/trial"
	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/internal/publish"
)

const (
	leaveTime = 5 * time.Second
	// moveTime is how long a route waits for its new service, and again how long
	// it is watched there.
	moveTime = 5 * time.Second
	// stoppedTime is how long a zone stays down; the slowest calls that the stop
	// has met end in it.
	stoppedTime = 4 * time.Second
)

// backendLeaves lets a backend server announce that it drains, and come back.
func backendLeaves(d *deployment, rng *rand.Rand) fault {
	h := d.Hosts[rng.IntN(d.opts.feeds())]
	return fault{
		hold: leaveTime,
		begin: func(ctx context.Context) error {
			d.leaves(h)
			return d.backend(ctx, h, "drain", url.Values{"on": {"true"}})
		},
		end: func(ctx context.Context) error {
			d.returns(h)
			return d.backend(ctx, h, "drain", url.Values{"on": {"false"}})
		},
	}
}

func (d *deployment) leaves(h *trial.Host) {
	now := time.Now()
	d.ledger.update(func(r *checker.Records) {
		r.Leaves = append(r.Leaves, checker.Leave{Server: h.Name, At: now})
	})
}

func (d *deployment) returns(h *trial.Host) {
	now := time.Now()
	d.ledger.update(func(r *checker.Records) {
		for i := range r.Leaves {
			if r.Leaves[i].Server == h.Name && r.Leaves[i].Back.IsZero() {
				r.Leaves[i].Back = now
			}
		}
	})
}

// routeMoves revises a route to a service that has no backend server yet. Until
// one announces itself, calls must go on to the old service; then to the new.
func routeMoves(d *deployment, _ *rand.Rand) fault {
	var from time.Time
	return fault{
		hold: moveTime,
		begin: func(ctx context.Context) error {
			from = time.Now()
			if err := d.moveRoute(ctx, serviceAnnex, setService(serviceAnnex)); err != nil {
				return err
			}
			if err := sleep(ctx, moveTime); err != nil {
				return err
			}
			d.spare.Service = serviceAnnex
			d.ledger.update(func(r *checker.Records) { r.Services[d.spare.Name] = serviceAnnex })
			return d.StartBackend(ctx, d.spare)
		},
		end: func(ctx context.Context) error {
			if err := d.checkMoved(time.Now().Add(-time.Second)); err != nil {
				return err
			}
			if err := d.moveRoute(ctx, serviceFeed); err != nil {
				return err
			}
			if err := sleep(ctx, checker.InForceBound); err != nil {
				return err
			}
			d.watchRoute(pathMoved, from, time.Now())
			d.spare.Backend.Stop()
			d.spare.Service = ""
			return nil
		},
	}
}

func (d *deployment) moveRoute(ctx context.Context, service string, more ...*configpb.Change) error {
	changes := append(more, setRoute(routeMoved, pathMoved, service))
	p, ok := d.ops.publish(ctx, publish.Revisions{Auto: true}, "", changes...)
	if !ok || p.Outcome != checker.Accepted {
		return errors.Newf("moving a route ended as %q", p.Outcome)
	}
	return nil
}

// checkMoved checks that the calls of late ran at the new service.
func (d *deployment) checkMoved(since time.Time) error {
	runs, err := d.runs.read()
	if err != nil {
		return err
	}
	moved, stayed := 0, 0
	for _, e := range runs {
		switch {
		case e.Path != pathMoved+"7" || e.Start.Before(since):
		case e.Server == d.spare.Name:
			moved++
		default:
			stayed++
		}
	}
	if moved == 0 || stayed > 0 {
		return errors.Newf("%d calls ran at the route's new service and %d at the old", moved, stayed)
	}
	return nil
}

// stopZone stops all hosts of a zone as planned, under load: the daemons are
// told to end, and the backend servers once these have ended.
func stopZone(d *deployment, rng *rand.Rand) fault {
	hosts, _ := d.zone(pickZone(rng))
	var from time.Time
	return fault{
		hold: stoppedTime,
		begin: func(ctx context.Context) error {
			from = time.Now()
			return d.stopHosts(ctx, hosts)
		},
		end: func(ctx context.Context) error {
			d.ledger.update(func(r *checker.Records) {
				r.Stops = append(r.Stops, checker.Stop{Hosts: names(hosts), From: from, To: time.Now()})
			})
			for _, h := range hosts {
				d.returns(h)
			}
			return d.restartHosts(ctx, hosts)
		},
	}
}

func (d *deployment) stopHosts(ctx context.Context, hosts []*trial.Host) error {
	for _, h := range hosts {
		d.leaves(h)
		if err := h.Daemon.Signal(syscall.SIGTERM); err != nil {
			return errors.Wrap(err, h.Name)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	for _, h := range hosts {
		if err := h.Daemon.Wait(ctx); err != nil {
			return errors.Wrapf(err, "daemon of %s", h.Name)
		}
		d.ledger.away(h.Name, whyDead)
	}
	for _, h := range hosts {
		if h.Backend == nil || !h.Backend.Running() {
			continue
		}
		h.Backend.Stop()
	}
	return nil
}
