// Command soak runs a fleet of real daemons against a stand-in of the platform's metadata store,
// publishes configurations all the while, breaks store and daemons at random, and checks from what
// callers get that each configuration is in force in time everywhere and stays. The exit status is 0
// only if every check passed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

// options are the command's flags.
type options struct {
	seed            uint64
	hosts, zones    int
	duration        time.Duration
	slot            int
	faults          int
	kinds           []string
	big             int
	daemon, standin string
	template        string
	linkMbps        float64
	limitedAccounts bool
	keep            bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func parse(args []string) (options, error) {
	var o options
	app := kingpin.New("soak", "Break a fleet at random while its configuration changes, and check what callers get.")
	app.Flag("seed", "Seed of all random choices.").Default("1").Uint64Var(&o.seed)
	app.Flag("hosts", "Number of hosts.").Default("13").IntVar(&o.hosts)
	app.Flag("zones", "Number of availability zones.").Default("4").IntVar(&o.zones)
	app.Flag("duration", "Length of the run after the start of the fleet.").Default("60s").DurationVar(&o.duration)
	app.Flag("slot", "Number of the loopback subnet, 0 to 60. Concurrent runs need different ones.").Default("0").IntVar(&o.slot)
	app.Flag("faults", "Maximum number of concurrent faults; 0 for none.").Default("3").IntVar(&o.faults)
	app.Flag("kind", "Kind of fault; may be repeated. All kinds by default.").EnumsVar(&o.kinds, faultNames()...)
	app.Flag("big", "Number of routes of a large configuration.").Default("2000").IntVar(&o.big)
	app.Flag("daemon", "Program of the daemon.").Default("bin/crocuscross").StringVar(&o.daemon)
	app.Flag("standin", "Program of the stand-ins.").Default("bin/standin").StringVar(&o.standin)
	app.Flag("template", "Template of the settings file.").Default("deploy/daemon.jsonc").StringVar(&o.template)
	app.Flag("link-mbps", "Bandwidth of the hosts' links that the settings state, in Mbit/s.").Default("1000").Float64Var(&o.linkMbps)
	app.Flag("limited-accounts", "Render the settings of a deployment whose accounts have limits, with the load management that the template enables there.").BoolVar(&o.limitedAccounts)
	app.Flag("keep", "Keep the logs of a run that passes.").BoolVar(&o.keep)
	_, err := app.Parse(args)
	if err == nil && (o.hosts < 1 || o.hosts > 250 || o.zones < 1 || o.slot < 0 || o.slot > 60) {
		err = errors.New("hosts must be 1 to 250, zones at least 1, slot 0 to 60")
	}
	return o, err
}

func run(ctx context.Context, args []string) error {
	o, err := parse(args)
	if err != nil {
		return err
	}
	d, err := startFleet(ctx, o)
	if err != nil {
		return err
	}
	defer d.close()
	rec, err := d.soak(ctx)
	violations, breaches := check(rec, promises), checkNotices(rec, noticePromises)
	report(os.Stdout, o, rec, violations, breaches)
	broken := len(violations) + len(breaches)
	if err == nil && broken == 0 && !o.keep {
		return os.RemoveAll(d.dir)
	}
	fmt.Println("logs are in", d.dir)
	if err == nil && broken > 0 {
		err = errors.Newf("seed %d: %d violations", o.seed, broken)
	}
	return err
}

// maxReported is the number of violations and of breaches that are printed.
const maxReported = 20

func report(out *os.File, o options, rec records, violations []violation, breaches []string) {
	served, refused := 0, 0
	for _, p := range rec.Probes {
		switch p.Outcome {
		case servedBy:
			served++
		case refusedNoRoute:
			refused++
		}
	}
	fmt.Fprintf(out, "seed %d: %d versions, %d probes (%d served, %d without a route), %d notices, %d disruptions, %d violations\n",
		o.seed, len(rec.Versions), len(rec.Probes), served, refused, len(rec.Notices), len(rec.Disruptions), len(violations)+len(breaches))
	if len(violations)+len(breaches) == 0 {
		return
	}
	for _, d := range rec.Disruptions {
		fmt.Fprintf(out, "  %8.3f to %8.3f %-24s %s\n", d.From.Sub(rec.Start).Seconds(), d.To.Sub(rec.Start).Seconds(), d.Kind, d.Host)
	}
	for _, s := range breaches[:min(maxReported, len(breaches))] {
		fmt.Fprintln(out, " ", s)
	}
	for _, v := range violations[:min(maxReported, len(violations))] {
		fmt.Fprintf(out, "  %s at %.3f: %s\n", v.Probe.Host, v.Probe.Sent.Sub(rec.Start).Seconds(), v)
	}
}
