package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/crocuscross/crocuscross/bench/checker"
	"github.com/crocuscross/crocuscross/bench/trial"
	"github.com/crocuscross/crocuscross/internal/publish"
)

const (
	downTime   = 12 * time.Second
	slowTime   = 8 * time.Second
	slowDelay  = 500 * time.Millisecond
	cutTime    = 10 * time.Second
	silentTime = 4 * time.Second

	// lostAnswers is how many publishes lose an answer, races how often two
	// operators race.
	lostAnswers = 4
	races       = 6
)

// platformDown takes the platform's log down while operators publish and two
// hosts restart.
func platformDown(d *deployment, rng *rand.Rand) fault {
	a := rng.IntN(len(d.Hosts))
	b := (a + 1 + rng.IntN(len(d.Hosts)-1)) % len(d.Hosts)
	hosts := []*trial.Host{d.Hosts[a], d.Hosts[b]}
	return fault{
		hold: downTime,
		begin: func(ctx context.Context) error {
			d.ledger.away("", whyPlatform)
			if err := d.platform(ctx, "outage", url.Values{"down": {"true"}}); err != nil {
				return err
			}
			if err := sleep(ctx, time.Second); err != nil {
				return err
			}
			d.killAll(hosts)
			if err := sleep(ctx, time.Second); err != nil {
				return err
			}
			return d.restartAll(hosts)
		},
		end: func(ctx context.Context) error {
			defer d.ledger.back("", whyPlatform)
			return d.platform(ctx, "outage", url.Values{"down": {"false"}})
		},
	}
}

// platformSlow makes each answer of the log late.
func platformSlow(d *deployment, _ *rand.Rand) fault {
	delay := func(v time.Duration) func(context.Context) error {
		return func(ctx context.Context) error {
			return d.platform(ctx, "delay", url.Values{"delay": {v.String()}})
		}
	}
	return fault{hold: slowTime, begin: delay(slowDelay), end: delay(0)}
}

// answersLost loses the answers of appends that took effect, and requests that
// did not. An operator must still be told the truth.
func answersLost(d *deployment, _ *rand.Rand) fault {
	return fault{begin: func(ctx context.Context) error {
		for i := range lostAnswers {
			command := []string{"lose-answers", "lose-requests"}[i%2]
			if err := d.platform(ctx, command, url.Values{"count": {"1"}}); err != nil {
				return err
			}
			if p, ok := d.ops.publishPair(ctx); !ok {
				return errors.Newf("a publish whose answer was lost ended as %q", p.Outcome)
			}
		}
		return nil
	}}
}

// operatorsRace lets two operators revise the same contract at once.
func operatorsRace(d *deployment, _ *rand.Rand) fault {
	return fault{begin: func(ctx context.Context) error {
		for range races {
			if err := d.ops.race(ctx); err != nil {
				return err
			}
		}
		return nil
	}}
}

// race publishes two revisions that replace the same one.
func (o *operators) race(ctx context.Context) error {
	st, err := o.publisher.Reader.Load(ctx)
	if err != nil {
		return errors.Wrap(err, "read the configuration")
	}
	revision := uint64(0)
	for _, e := range st.Encode().GetEntries() {
		if nameOf(e.GetResource()) == "contract/"+contractRaced {
			revision = e.GetRevision()
		}
	}
	name := fmt.Sprintf("revision %d", revision)
	var t tomb.Tomb
	t.Go(func() error {
		for range 2 {
			t.Go(func() error {
				if _, ok := o.publish(ctx, publish.Revisions{Fixed: revision}, name, setContract(contractOf(contractRaced))); !ok {
					return errors.New("a racing operator could not publish")
				}
				return nil
			})
		}
		return nil
	})
	return t.Wait()
}

// connectionsSilent makes all open connections between daemons lose everything
// for good, twice, while new ones work.
func connectionsSilent(d *deployment, _ *rand.Rand) fault {
	return fault{hold: silentTime, begin: func(ctx context.Context) error {
		d.net.Forget()
		if err := sleep(ctx, silentTime); err != nil {
			return err
		}
		d.net.Forget()
		return nil
	}}
}

func cutSend(d *deployment, rng *rand.Rand) fault { return cutHost(d, rng, true) }

func cutHear(d *deployment, rng *rand.Rand) fault { return cutHost(d, rng, false) }

// cutHost loses what one host sends to the others, or what they send to it.
func cutHost(d *deployment, rng *rand.Rand, hears bool) fault {
	h := d.Hosts[rng.IntN(d.opts.hosts)]
	return fault{
		hold: cutTime,
		begin: func(context.Context) error {
			d.cutWay(h, hears)
			return nil
		},
		end: d.endCuts,
	}
}

// cutZone cuts a zone off from the others. Both sides still reach the platform's
// log, so both must go on with new versions.
func cutZone(d *deployment, rng *rand.Rand) fault {
	in, out := d.zone(pickZone(rng))
	return fault{
		hold: cutTime,
		begin: func(context.Context) error {
			d.net.Cut(names(in), names(out))
			return nil
		},
		end: d.endCuts,
	}
}

func (d *deployment) endCuts(context.Context) error {
	d.heal()
	return nil
}

// watchRoute notes from when to when a route had to be answered throughout.
func (d *deployment) watchRoute(prefix string, from, to time.Time) {
	d.ledger.update(func(r *checker.Records) {
		r.Routes = append(r.Routes, checker.Route{
			Prefix: prefix, Services: []string{serviceFeed, serviceAnnex}, Unbroken: true, From: from, To: to,
		})
	})
}
