package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/crocuscross/crocuscross/bench/checker"
	"github.com/crocuscross/crocuscross/bench/trial"
	"github.com/crocuscross/crocuscross/internal/operator"
)

const (
	// settleLimit bounds the time until everything is well again.
	settleLimit = 25 * time.Second
	settleEvery = 250 * time.Millisecond
	// goodShare of the steady calls must be answered for a recovery, looked at
	// over shareWindow.
	goodShare   = 0.99
	shareWindow = 1500 * time.Millisecond
	// warmUp lets connections, quotas and lanes come about as in a deployment
	// that has run for a while.
	warmUp = 4 * time.Second
	// onItsWay is how long a version may take while nothing is wrong.
	onItsWay = time.Second
	// lead is the time before each fault that belongs to its row.
	lead = 500 * time.Millisecond
	// drainTime lets the last calls end before the last check.
	drainTime = 3 * time.Second
	// customersProbed after each fault.
	customersProbed = 4

	statusTimeout = 3 * time.Second
)

// runner runs faults and checks after each.
type runner struct {
	d       *deployment
	seen    map[string]bool
	results []result
}

// watched runs the load, the operators and the observers around do.
func (r *runner) watched(ctx context.Context, kinds []kind, do func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	var t tomb.Tomb
	t.Go(func() error {
		t.Go(func() error { return r.d.observe(ctx) })
		t.Go(func() error { return r.d.ops.run(ctx) })
		t.Go(func() error { return r.d.load(ctx, kinds, r.d.opts.rate) })
		defer func() {
			r.d.ledger.close()
			cancel()
		}()
		return do(ctx)
	})
	return errors.CombineErrors(t.Wait(), r.d.ledger.err)
}

// all runs the faults one after the other.
func (r *runner) all(ctx context.Context, names []string) error {
	if err := r.ready(ctx); err != nil {
		return err
	}
	for _, name := range names {
		res, err := r.one(ctx, name)
		if err != nil {
			return errors.Wrap(err, name)
		}
		r.results = append(r.results, res)
		progress(res)
		if !res.Recovered && r.settle(ctx) != nil {
			return errors.Newf("%s: still not well, the faults after it are not run", name)
		}
	}
	return nil
}

// ready waits until the deployment can be broken.
func (r *runner) ready(ctx context.Context) error {
	if err := sleep(ctx, warmUp); err != nil {
		return err
	}
	return errors.Wrap(r.settle(ctx), "before the first fault")
}

// one runs one fault and checks the promises. The error tells that the trial
// itself could not go on.
func (r *runner) one(ctx context.Context, name string) (result, error) {
	res := result{Name: name}
	f := r.make(name)
	if err := sleep(ctx, lead); err != nil {
		return res, err
	}
	res.Begin = time.Now()
	failed := r.suffer(ctx, f)
	res.Mended = time.Now()
	if ctx.Err() != nil {
		return res, ctx.Err()
	}
	settled := r.settle(ctx)
	r.d.observeStates(ctx)
	r.d.ops.probeLatest(ctx, customersProbed)
	res.End = time.Now()
	res.Recovered = settled == nil
	for _, err := range []error{failed, settled} {
		if err != nil {
			res.Errors = append(res.Errors, err.Error())
		}
	}
	return res, r.judge(&res)
}

func (r *runner) make(name string) fault {
	entries := find(name)
	made := make([]fault, len(entries))
	for i, e := range entries {
		made[i] = e.make(r.d, rngOf(r.d.opts.seed, name+e.name))
	}
	if len(made) == 2 {
		return together(made[0], made[1])
	}
	return made[0]
}

// suffer begins a fault, lets it last and mends it.
func (r *runner) suffer(ctx context.Context, f fault) error {
	if err := f.start(ctx); err != nil {
		return errors.CombineErrors(err, f.stop(ctx))
	}
	return errors.CombineErrors(sleep(ctx, f.hold), f.stop(ctx))
}

// settle waits until every daemon serves with the latest version, all know all
// others, and calls are answered.
func (r *runner) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	for {
		err := r.d.unwell(ctx)
		if err == nil {
			return nil
		}
		if sleep(ctx, settleEvery) != nil {
			return errors.Wrapf(err, "not well again within %s", settleLimit)
		}
	}
}

// unwell tells what is not as it should be.
func (d *deployment) unwell(ctx context.Context) error {
	want := d.latest()
	for _, h := range d.Hosts {
		s, err := d.Status(ctx, h)
		if err != nil {
			return errors.Wrap(err, h.Name)
		}
		if s.GetPhase() != "serving" || s.GetOffset() < want {
			return errors.Newf("%s is %s with version %d of %d", h.Name, s.GetPhase(), s.GetOffset(), want)
		}
	}
	if err := d.strangers(ctx, d.Hosts[0]); err != nil {
		return err
	}
	calls, good := d.ledger.share(time.Now().Add(-shareWindow))
	if float64(good) < goodShare*float64(calls) || calls == 0 {
		return errors.Newf("%d of %d calls were answered", good, calls)
	}
	return nil
}

// strangers tells whom a daemon does not take for alive.
func (d *deployment) strangers(ctx context.Context, h *trial.Host) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	s, err := operator.NewClient(h.Operators()).Status(ctx)
	if err != nil {
		return errors.Wrap(err, "status")
	}
	alive := 0
	for _, other := range s.Daemons {
		if other.Liveness == "alive" {
			alive++
		}
	}
	if alive != len(d.Hosts) {
		return errors.Newf("%s takes %d of %d daemons for alive", h.Name, alive, len(d.Hosts))
	}
	return nil
}

// latest returns the highest version that an operator was told is accepted,
// without those that are on their way.
func (d *deployment) latest() uint64 {
	highest := uint64(0)
	before := time.Now().Add(-onItsWay)
	for _, p := range d.ledger.copy().Publishes {
		if p.Outcome == checker.Accepted && p.At.Before(before) {
			highest = max(highest, p.Offset)
		}
	}
	return highest
}

// judge checks all records so far and gives the new breaches to a result.
func (r *runner) judge(res *result) error {
	records := r.d.ledger.copy()
	runs, err := r.d.runs.read()
	if err != nil {
		return err
	}
	records.Executions = runs
	for _, v := range checker.Check(records) {
		id := string(v.Kind) + v.Subject
		if !r.seen[id] {
			r.seen[id] = true
			res.Violations = append(res.Violations, v)
		}
	}
	res.count(r.d, records)
	return nil
}

// finish checks once more when the last calls have ended.
func (r *runner) finish(ctx context.Context) error {
	res := result{Name: "after the end", Begin: time.Now(), Recovered: true}
	if err := sleep(ctx, drainTime); err != nil {
		return err
	}
	res.Mended, res.End = time.Now(), time.Now()
	if err := r.judge(&res); err != nil {
		return err
	}
	r.results = append(r.results, res)
	return nil
}

// broken reports whether any promise was broken.
func (r *runner) broken() bool {
	for _, res := range r.results {
		if len(res.Violations)+len(res.Errors) > 0 {
			return true
		}
	}
	return false
}

func progress(res result) {
	fmt.Fprintf(os.Stderr, "%-28s %5.1fs  %d violations %v\n", res.Name, res.End.Sub(res.Begin).Seconds(), len(res.Violations), res.Errors)
	for _, v := range res.Violations {
		fmt.Fprintln(os.Stderr, "   ", v)
	}
}
