package main

import (
	"log/slog"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/internal/standin/backendserver"
)

const backendExamples = `Examples:
  standin backend --listen 127.0.0.1:8080 --service sign-feed --slots 10 \
      --announce http://127.0.0.1:7104 --service-time 5ms --record run.jsonl

  curl '127.0.0.1:8080/signs/1'                  an echo in JSON
  curl '127.0.0.1:8080/signs/1?size=1000000'     a payload of the request's own
  curl '127.0.0.1:8080/signs/1?sleep=50ms'

  curl '127.0.0.1:8080/admin/executions?since=0'
  curl '127.0.0.1:8080/admin/stats'
  curl -X POST '127.0.0.1:8080/admin/shed?share=0.5'
  curl -X POST '127.0.0.1:8080/admin/cold?for=10s&factor=10'
  curl -X POST '127.0.0.1:8080/admin/stall?on=true'
  curl -X POST '127.0.0.1:8080/admin/service-time?mean=5ms&distribution=exponential'
  curl -X POST '127.0.0.1:8080/admin/claim-health?claim=ok'
  curl -X POST '127.0.0.1:8080/admin/claim-load?in_use=0'
  curl -X POST '127.0.0.1:8080/admin/drain?on=true'
  curl -X POST '127.0.0.1:8080/admin/leave?on=true'
  curl -X POST '127.0.0.1:8080/admin/die'
`

// statusDied is the exit status of a backend server that died on command.
const statusDied = 3

// backendFlags are the options that are not flags as they stand.
type backendFlags struct {
	listen       *string
	distribution string
	record       string
}

func registerBackend(app *kingpin.Application, env *environment) {
	cmd := app.Command("backend", "Play a backend server that announces itself to the daemon beside it.").HelpLong(backendExamples)
	opts := backendserver.DefaultOptions("")
	f := backendFlags{listen: listenFlag(cmd)}
	cmd.Flag("service", "Service that it offers.").Required().StringVar(&opts.Service)
	cmd.Flag("name", "Name given in answers and in the record; the service by default.").StringVar(&opts.Name)
	cmd.Flag("slots", "Requests that run at once; others wait.").Default("10").IntVar(&opts.Slots)
	cmd.Flag("announce", "URL of the daemon's backend listener; empty for none.").StringVar(&opts.DaemonURL)
	cmd.Flag("service-time", "Mean time of an execution.").Default("5ms").DurationVar(&opts.ServiceTime.Mean)
	cmd.Flag("distribution", "Distribution of the service time.").Default(string(backendserver.Fixed)).
		EnumVar(&f.distribution, string(backendserver.Fixed), string(backendserver.Exponential))
	cmd.Flag("cold-for", "Time from the start during which executions are slow.").Default("0s").DurationVar(&opts.Cold.For)
	cmd.Flag("cold-factor", "How many times slower they are.").Default("10").Float64Var(&opts.Cold.Factor)
	cmd.Flag("record", "File to which executions are appended as JSON lines, when they begin and when they end.").StringVar(&f.record)
	cmd.Flag("linger", "How long requests are taken after the announcement was withdrawn.").Default(opts.Linger.String()).DurationVar(&opts.Linger)
	cmd.Flag("grace", "How long requests in flight may take after that.").Default(opts.Grace.String()).DurationVar(&opts.Grace)
	cmd.Flag("seed", "Seed of the drawn times.").Default("1").Uint64Var(&opts.Seed)
	cmd.Action(action(func() error { return runBackend(env, opts, f) }))
}

func runBackend(env *environment, opts backendserver.Options, f backendFlags) error {
	if opts.Slots < 1 {
		return errors.Newf("slots must be at least 1, not %d", opts.Slots)
	}
	if opts.Name == "" {
		opts.Name = opts.Service
	}
	opts.ServiceTime.Distribution = backendserver.Distribution(f.distribution)
	opts.Logger = slog.New(slog.NewTextHandler(env.stderr, nil))
	opts.Die = func() { os.Exit(statusDied) }
	if f.record != "" {
		file, err := openRecord(f.record)
		if err != nil {
			return err
		}
		defer file.Close()
		opts.Record = file
	}
	ln, err := env.listen(*f.listen)
	if err != nil {
		return err
	}
	return backendserver.New(opts).Run(env.ctx, ln)
}

// openRecord appends, so that a server that is started again does not wipe out
// what its earlier life has run.
func openRecord(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return file, errors.Wrap(err, "open record")
}
