package main

import (
	"math/rand/v2"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// zones is the number of availability zones.
const zones = 4

// Sizes of the deployments: the association's, and one for CI.
const (
	fullHosts = 14
	fullFeeds = 10
	ciHosts   = 6
	ciFeeds   = 4
)

const (
	ciPause = 3 * time.Second
	ciRate  = 120
	ciSeed  = 1
)

// options of one run.
type options struct {
	hosts   int
	seed    uint64
	only    []string
	pause   time.Duration
	rate    float64
	pairs   int
	ci      bool
	proof   int
	keep    bool
	list    bool
	output  string
	daemon  string
	standin string
}

const (
	outputTable = "table"
	outputJSON  = "json"
)

func parse(args []string) (options, error) {
	var o options
	app := kingpin.New("faults", "Break one deployment of real processes in one way after another under load, and check what users were promised.")
	app.HelpFlag.Short('h')
	app.Flag("hosts", "Hosts with backend servers: 14 or, for a quick look, 6.").Default("14").IntVar(&o.hosts)
	app.Flag("seed", "Seed of all choices; 0 draws one. The same seed makes the same choices.").Default("0").Uint64Var(&o.seed)
	app.Flag("only", "Run this fault or pair of faults alone, as the list or a table names it; may be repeated.").StringsVar(&o.only)
	app.Flag("pause", "How long a paused daemon stays so.").Default("30s").DurationVar(&o.pause)
	app.Flag("rate", "Calls a second.").Default("240").Float64Var(&o.rate)
	app.Flag("pairs", "Pairs of faults drawn.").Default("3").IntVar(&o.pairs)
	app.Flag("ci", "Run the short subset on 6 hosts with a fixed seed.").BoolVar(&o.ci)
	app.Flag("proof", "Send so many non-idempotent calls while daemons are killed, paused and cut off.").IntVar(&o.proof)
	app.Flag("keep", "Keep the folder with the logs.").BoolVar(&o.keep)
	app.Flag("list", "Print the faults.").BoolVar(&o.list)
	app.Flag("output", "Form of the result.").Default(outputTable).EnumVar(&o.output, outputTable, outputJSON)
	app.Flag("daemon", "Program of the daemons.").Default("bin/crocuscross").StringVar(&o.daemon)
	app.Flag("standin", "Program of the stand-ins.").Default("bin/standin").StringVar(&o.standin)
	_, err := app.Parse(args)
	return o.completed(), err
}

func (o options) completed() options {
	if o.ci {
		o.hosts, o.pause, o.rate, o.seed, o.pairs = ciHosts, ciPause, ciRate, ciSeed, 0
	}
	if o.proof > 0 {
		o.pause, o.rate = proofPause, proofRate
	}
	if o.seed == 0 {
		o.seed = uint64(rand.Uint32())
	}
	return o
}

// feeds is the number of hosts of the larger service.
func (o options) feeds() int {
	if o.hosts < fullHosts {
		return ciFeeds
	}
	return fullFeeds
}

// serviceOf spreads the services over the hosts; the one after the last has no
// backend server.
func (o options) serviceOf(host int) string {
	switch {
	case host < o.feeds():
		return serviceFeed
	case host < o.hosts:
		return serviceOps
	}
	return ""
}

// names returns the faults to run.
func (o options) names() []string {
	if len(o.only) > 0 {
		return o.only
	}
	var names []string
	for _, e := range list {
		if !o.ci || e.short {
			names = append(names, e.name)
		}
	}
	return append(names, drawPairs(rngOf(o.seed, "pairs"), o.pairs)...)
}
