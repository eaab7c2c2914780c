package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/crocuscross/crocuscross/bench/trial"
	"github.com/crocuscross/crocuscross/internal/proxy/body"
	"github.com/crocuscross/crocuscross/internal/proxy/outbound"
	"github.com/crocuscross/crocuscross/internal/standin/caller"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/quota"
)

const (
	calmTime = 5 * time.Second
	deadTime = 3 * time.Second
	// stormTime is how long connections break again and again.
	stormTime  = 2 * time.Second
	stormEvery = 200 * time.Millisecond
	// heldKeys are issued by a daemon before it is paused.
	heldKeys = 40
	// pauseMargin is how long a process may take to stand still.
	pauseMargin = 100 * time.Millisecond
	// afterPause is how long callers go on trying them after it wakes.
	afterPause = 4 * time.Second
)

func calm(*deployment, *rand.Rand) fault { return fault{hold: calmTime} }

// killZone kills all daemons of an availability zone at once, without a word,
// and starts them again at once. The backend servers live on.
func killZone(d *deployment, rng *rand.Rand) fault {
	hosts, _ := d.zone(pickZone(rng))
	return fault{
		hold: deadTime,
		begin: func(context.Context) error {
			d.killAll(hosts)
			return nil
		},
		end: func(context.Context) error { return d.restartAll(hosts) },
	}
}

func (d *deployment) killAll(hosts []*trial.Host) {
	for _, h := range hosts {
		d.kill(h)
	}
}

func (d *deployment) restartAll(hosts []*trial.Host) error {
	for _, h := range hosts {
		if err := d.restart(h); err != nil {
			return errors.Wrap(err, h.Name)
		}
	}
	return nil
}

// killHosts kills the daemons and backend servers of a zone.
func killHosts(d *deployment, rng *rand.Rand) fault {
	hosts, _ := d.zone(pickZone(rng))
	return fault{
		hold: deadTime,
		begin: func(context.Context) error {
			d.killAll(hosts)
			for _, h := range hosts {
				if h.Backend != nil {
					h.Backend.Kill()
				}
			}
			return nil
		},
		end: func(ctx context.Context) error { return d.restartHosts(ctx, hosts) },
	}
}

// restartHosts starts what does not run of daemons and backend servers.
func (d *deployment) restartHosts(ctx context.Context, hosts []*trial.Host) error {
	if err := d.restartAll(hosts); err != nil {
		return err
	}
	for _, h := range hosts {
		if h.Service == "" || h.Backend != nil && h.Backend.Running() {
			continue
		}
		if err := d.StartBackend(ctx, h); err != nil {
			return errors.Wrap(err, h.Name)
		}
	}
	return nil
}

// reconnectStorm breaks all connections between daemons again and again, so that
// all connect anew in the same moment.
func reconnectStorm(d *deployment, _ *rand.Rand) fault {
	return fault{begin: func(ctx context.Context) error {
		for end := time.Now().Add(stormTime); time.Now().Before(end); {
			d.net.Reset()
			if err := sleep(ctx, stormEvery); err != nil {
				return err
			}
		}
		return nil
	}}
}

// pauseHost stops one daemon where it stands and wakes it again.
func pauseHost(d *deployment, choose func(context.Context) (*trial.Host, error)) fault {
	var h *trial.Host
	return fault{
		hold: d.opts.pause,
		begin: func(ctx context.Context) (err error) {
			if h, err = choose(ctx); err != nil {
				return err
			}
			return d.pause(h)
		},
		end: func(context.Context) error { return d.resume(h) },
	}
}

func pauseReader(d *deployment, rng *rand.Rand) fault {
	return pauseHost(d, func(ctx context.Context) (*trial.Host, error) {
		for _, i := range rng.Perm(len(d.Hosts)) {
			if s, err := d.Status(ctx, d.Hosts[i]); err == nil && s.GetReader() {
				return d.Hosts[i], nil
			}
		}
		return nil, errors.New("no daemon reads the log")
	})
}

func pauseGate(d *deployment, rng *rand.Rand) fault {
	h := d.Hosts[rng.IntN(d.opts.feeds())]
	return pauseHost(d, func(context.Context) (*trial.Host, error) { return h, nil })
}

// pauseQuotaOwner pauses the daemon that owns the quota of the busiest customer,
// beyond the time of its leases where the pause is long enough.
func pauseQuotaOwner(d *deployment, _ *rand.Rand) fault {
	return pauseHost(d, func(context.Context) (*trial.Host, error) {
		view := &membership.View{}
		for _, h := range d.Hosts {
			view.Members = append(view.Members, &membership.Member{Host: h.Name, Region: trial.Region, Liveness: membership.Alive})
		}
		view.Self = view.Members[0]
		owner := quota.Owner(view, customerSigns)
		for _, h := range d.Hosts {
			if h.Name == owner.Host {
				return h, nil
			}
		}
		return nil, errors.New("no owner")
	})
}

// pausePlain pauses the daemon that has no backend server beside it.
func pausePlain(d *deployment, _ *rand.Rand) fault {
	return pauseHost(d, func(context.Context) (*trial.Host, error) { return d.spare, nil })
}

// pauseKeyHolder pauses a daemon after it has issued keys. Callers use some of
// them through the other daemons just before, so that their calls are under way,
// and the others while it is paused; they go on after it wakes and do not take
// no for an answer.
func pauseKeyHolder(d *deployment, rng *rand.Rand) fault {
	h := d.Hosts[rng.IntN(d.opts.feeds())]
	f := pauseHost(d, func(context.Context) (*trial.Host, error) { return h, nil })
	pause := f.begin
	var callers tomb.Tomb
	use := func(ctx context.Context, keys []string) {
		callers.Go(func() error { return d.useKeys(ctx, without(d.Hosts, h), keys) })
	}
	f.begin = func(ctx context.Context) error {
		keys, err := d.issueKeys(ctx, h, heldKeys)
		if err != nil {
			return err
		}
		use(ctx, keys[:heldKeys/2])
		if err := pause(ctx); err != nil {
			return err
		}
		if err := sleep(ctx, pauseMargin); err != nil {
			return err
		}
		use(ctx, keys[heldKeys/2:])
		return nil
	}
	wake := f.end
	f.end = func(ctx context.Context) error {
		if err := wake(ctx); err != nil {
			return err
		}
		return callers.Wait()
	}
	return f
}

func (d *deployment) issueKeys(ctx context.Context, h *trial.Host, n int) ([]string, error) {
	var keys []string
	for range n {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.CallerURL()+outbound.KeysPath, nil)
		if err != nil {
			return nil, err
		}
		req.Header.Set(body.HeaderCustomer, customerHolds)
		resp, err := d.http.Do(req)
		if err != nil {
			return nil, errors.Wrap(err, "ask for a key")
		}
		_ = resp.Body.Close()
		key := resp.Header.Get(body.HeaderIdempotencyKey)
		if key == "" {
			return nil, errors.Newf("%s issued no key: %s", h.Name, resp.Status)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// useKeys sends one call under each key and repeats it until it is answered or
// the pause is over.
func (d *deployment) useKeys(ctx context.Context, hosts []*trial.Host, keys []string) error {
	o := insisting(callerOf(customerHolds, timeoutHold, caller.KeysGiven, post(pathHeldKeys+"1")))
	for _, h := range hosts {
		o.Targets = append(o.Targets, h.CallerURL())
	}
	o.GivenKeys, o.Count, o.Concurrency = keys, len(keys), len(keys)
	o.Record = d.ledger
	o.Repeats = int((d.opts.pause+afterPause)/time.Second) + 1
	o.RepeatDelay = time.Second
	_, err := caller.Run(ctx, o)
	return err
}

func pickZone(rng *rand.Rand) string { return fmt.Sprintf("zone-%d", rng.IntN(zones)) }
