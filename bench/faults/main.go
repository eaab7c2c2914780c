// Command faults breaks one deployment of real processes in one way after
// another under steady load, and checks after each fault what users were
// promised, from what callers, backend servers, daemons and operators recorded.
// The exit status is 0 only if every promise was kept.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "faults:", err)
		os.Exit(1)
	}
}

var errBroken = errors.New("a promise was broken")

func run(ctx context.Context, args []string) error {
	o, err := parse(args)
	if err != nil {
		return err
	}
	if o.list {
		for _, e := range list {
			fmt.Println(e.name)
		}
		return nil
	}
	for _, name := range o.names() {
		if find(name) == nil {
			return errors.Newf("no fault is called %q; see --list", name)
		}
	}
	fmt.Fprintf(os.Stderr, "seed %d, %d hosts in %d availability zones\n", o.seed, o.hosts, zones)
	d, err := start(ctx, o)
	if err != nil {
		return err
	}
	r := &runner{d: d, seen: map[string]bool{}}
	p, err := r.try(ctx)
	failed := err != nil || r.broken()
	if o.keep || failed {
		err = errors.CombineErrors(err, d.dump())
	}
	d.close(o.keep || failed)
	if o.keep || failed {
		fmt.Fprintf(os.Stderr, "logs and records are in %s\n", d.Dir)
	}
	if err := errors.CombineErrors(err, r.print(p)); err != nil {
		return err
	}
	if failed {
		return errors.Wrapf(errBroken, "seed %d", o.seed)
	}
	return nil
}

// try runs what the options ask for; the proof is nil unless it is asked for.
func (r *runner) try(ctx context.Context) (p *proof, err error) {
	kinds := steadyLoad()
	do := func(ctx context.Context) error { return r.all(ctx, r.d.opts.names()) }
	if n := r.d.opts.proof; n > 0 {
		kinds = proofLoad()
		do = func(ctx context.Context) error {
			p, err = r.prove(ctx, n)
			return err
		}
	}
	if err := r.watched(ctx, kinds, do); err != nil {
		return p, err
	}
	if err := r.finish(ctx); err != nil {
		return p, err
	}
	if p != nil {
		p.count(r.d.ledger.copy(), r.results)
	}
	return p, nil
}

func (r *runner) print(p *proof) error {
	if r.d.opts.output == outputJSON {
		return writeJSON(os.Stdout, report{Seed: r.d.opts.seed, Hosts: r.d.opts.hosts, Results: r.results, Proof: p})
	}
	if p != nil {
		p.write(os.Stdout)
	}
	return writeTable(os.Stdout, r.results)
}
