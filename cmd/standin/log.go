package main

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/internal/standin/logserver"
)

const logExamples = `Examples:
  standin log --listen 127.0.0.1:7000 --max-appends 300 --retain 10m

  curl -X POST '127.0.0.1:7000/admin/outage?down=true'
  curl -X POST '127.0.0.1:7000/admin/delay?delay=200ms'
  curl -X POST '127.0.0.1:7000/admin/hold'       stall all requests until
  curl -X POST '127.0.0.1:7000/admin/release'
  curl -X POST '127.0.0.1:7000/admin/lose-answers?count=3'
  curl -X POST '127.0.0.1:7000/admin/lose-requests?count=3'
  curl -X POST '127.0.0.1:7000/admin/streams/config/cut?first=100'
  curl -X POST '127.0.0.1:7000/admin/streams/config/truncate-end?end=90'
  curl '127.0.0.1:7000/admin/counters'
`

func registerLog(app *kingpin.Application, env *environment) {
	cmd := app.Command("log", "Play the platform's append-only log service, in memory.").HelpLong(logExamples)
	address := listenFlag(cmd)
	opts := memlog.DefaultOptions()
	cmd.Flag("max-appends", "Appends a second above which they are refused; 0 for no bound.").
		Default("0").Float64Var(&opts.MaxAppendsPerSecond)
	cmd.Flag("retain", "How long records are kept; 0s for good.").Default("0s").DurationVar(&opts.RetainFor)
	cmd.Action(action(func() error {
		ln, err := env.listen(*address)
		if err != nil {
			return err
		}
		return logserver.New(memlog.New(opts)).Run(env.ctx, ln)
	}))
}
