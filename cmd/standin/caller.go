package main

import (
	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/internal/standin/caller"
)

const callerExamples = `Examples:
  Lookups and holds at 200 calls a second for 10 s, over two daemons:
  standin caller --target http://127.0.0.1:7101 --target http://127.0.0.2:7101 \
      --customer harbor-garage --rate 200 --duration 10s --count 2000 \
      --call '9 GET /signs/1' --call '1 POST /holds' --body-bytes 200

  Holds under issued keys that are repeated, 20 in flight, each in a file:
  standin caller --target http://127.0.0.1:7101 --customer harbor-garage \
      --concurrency 20 --count 500 --call 'POST /holds' --keys issued \
      --repeats 5 --record calls.jsonl --output json

Exit status 1 if any answer was wrong: not whole, or not the call's own.
`

const (
	outputTable = "table"
	outputJSON  = "json"
)

// callerFlags are the options that are not flags as they stand.
type callerFlags struct {
	calls  []string
	keys   string
	record string
	output string
}

func registerCaller(app *kingpin.Application, env *environment) {
	cmd := app.Command("caller", "Send calls, check each answer and tell what became of them.").HelpLong(callerExamples)
	opts := caller.DefaultOptions()
	var f callerFlags
	cmd.Flag("target", "URL of a daemon's caller listener; may be repeated.").Required().StringsVar(&opts.Targets)
	cmd.Flag("customer", "Customer in X-Customer.").Required().StringVar(&opts.Customer)
	cmd.Flag("call", "[WEIGHT] METHOD /PATH; may be repeated.").Default("GET /").StringsVar(&f.calls)
	cmd.Flag("body-bytes", "Length of the bodies of POST, PUT and PATCH.").Default("100").Int64Var(&opts.BodyBytes)
	cmd.Flag("answer-bytes", "Length of the payload asked for; 0 for an echo.").Default("0").Int64Var(&opts.AnswerBytes)
	cmd.Flag("rate", "Calls a second, sent when due (open loop); 0 for a closed loop.").Default("0").Float64Var(&opts.Rate)
	cmd.Flag("poisson", "Draw the times between calls of the open loop at random.").BoolVar(&opts.Poisson)
	cmd.Flag("concurrency", "Calls in flight of the closed loop, the most of the open one.").Default("10").IntVar(&opts.Concurrency)
	cmd.Flag("count", "Most calls of the run.").Default("1000").IntVar(&opts.Count)
	cmd.Flag("duration", "Time after which no new call is sent.").Default("10s").DurationVar(&opts.Duration)
	cmd.Flag("timeout", "Most time of one try.").Default("5s").DurationVar(&opts.Timeout)
	cmd.Flag("repeats", "How often a call is sent again where it may help and cannot double it.").Default("0").IntVar(&opts.Repeats)
	cmd.Flag("repeat-delay", "Time before a repeat where the answer gives none.").Default("50ms").DurationVar(&opts.RepeatDelay)
	cmd.Flag("keys", "Idempotency keys of POST and PATCH.").Default(string(caller.KeysNone)).
		EnumVar(&f.keys, string(caller.KeysNone), string(caller.KeysIssued), string(caller.KeysOwn))
	cmd.Flag("record", "File to which calls are appended as JSON lines.").StringVar(&f.record)
	cmd.Flag("output", "Form of the summary.").Default(outputTable).EnumVar(&f.output, outputTable, outputJSON)
	cmd.Flag("seed", "Seed of the mix and of the drawn times.").Default("1").Uint64Var(&opts.Seed)
	cmd.Action(action(func() error { return runCaller(env, opts, f) }))
}

func runCaller(env *environment, opts caller.Options, f callerFlags) error {
	opts.Keys = caller.KeySource(f.keys)
	opts.Mix = nil
	for _, c := range f.calls {
		shape, err := caller.ParseShape(c)
		if err != nil {
			return err
		}
		opts.Mix = append(opts.Mix, shape)
	}
	if f.record != "" {
		file, err := openRecord(f.record)
		if err != nil {
			return err
		}
		defer file.Close()
		opts.Record = file
	}
	s, err := caller.Run(env.ctx, opts)
	if err != nil {
		return err
	}
	write := s.WriteTable
	if f.output == outputJSON {
		write = s.WriteJSON
	}
	if err := write(env.stdout); err != nil {
		return err
	}
	if n := s.Count(caller.Wrong); n > 0 {
		return errors.Newf("%d answers were wrong", n)
	}
	return nil
}
