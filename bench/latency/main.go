// Command latency measures what the path through two daemons adds to a call.
// It sends the same calls at the same rate to a backend server directly and by
// way of the daemons, in turns of one run, and prints both distributions and
// their difference. All processes are real and on loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/bench/trial"
	"github.com/crocuscross/crocuscross/internal/standin/caller"
)

// options of one measurement.
type options struct {
	rate     float64
	duration time.Duration
	rounds   int
	method   string
}

func main() {
	var o options
	app := kingpin.New("latency", "Measure what the path through two daemons adds to a call.")
	app.Flag("rate", "Calls a second.").Default("400").Float64Var(&o.rate)
	app.Flag("duration", "Length of one turn.").Default("3s").DurationVar(&o.duration)
	app.Flag("rounds", "Turns of each kind.").Default("4").IntVar(&o.rounds)
	app.Flag("method", "HTTP method; POST is non-idempotent.").Default("GET").EnumVar(&o.method, "GET", "POST")
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "latency: failed:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	d, err := trial.Start(ctx, trial.Options{Hosts: 4, Zones: 4, Service: "sign-feed", ServiceTime: 2 * time.Millisecond})
	if err != nil {
		return err
	}
	defer d.Close()
	targets := []struct {
		name string
		urls []string
	}{
		{"direct", d.BackendURLs()},
		{"path", d.CallerURLs()},
	}
	sums := make([][]*caller.Summary, len(targets))
	for range o.rounds {
		for i, t := range targets {
			s, err := load(ctx, o, t.urls)
			if err != nil {
				return errors.Wrap(err, t.name)
			}
			sums[i] = append(sums[i], s)
		}
	}
	return report(o, sums[0], sums[1])
}

// load is one turn.
func load(ctx context.Context, o options, urls []string) (*caller.Summary, error) {
	c := caller.DefaultOptions()
	c.Targets = urls
	c.Customer = trial.Customer
	c.Mix = []caller.Shape{{Weight: 1, Method: o.method, Path: "/signs/1"}}
	c.Rate = o.rate
	c.Poisson = true
	c.Concurrency = 1000
	c.Duration = o.duration
	c.Count = caller.MaxCount
	return caller.Run(ctx, c)
}

// report prints the medians over the turns, which a single busy moment of the
// machine does not move.
func report(o options, direct, path []*caller.Summary) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s, %.0f calls/s, %d turns of %s each\n", o.method, o.rate, o.rounds, o.duration)
	fmt.Fprintln(w, "quantile\tdirect\tpath\tadded")
	for _, q := range quantiles {
		a, b := median(direct, q.of), median(path, q.of)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", q.name, a, b, b-a)
	}
	fmt.Fprintf(w, "failed\t%d\t%d\t\n", failed(direct), failed(path))
	for kind, n := range kinds(path) {
		fmt.Fprintf(w, "  of these %s\t\t%d\t\n", kind, n)
	}
	return w.Flush()
}
