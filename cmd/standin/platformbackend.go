package main

import (
	"log/slog"

	"github.com/alecthomas/kingpin/v2"

	"github.com/crocuscross/crocuscross/internal/standin/platformbackend"
	"github.com/crocuscross/crocuscross/platform"
)

const platformBackendExamples = `Examples:
  standin platform-backend --listen 127.1.0.1:8145 --id i-1 --service sign-feed --daemon http://127.1.0.1:8144
`

func registerPlatformBackend(app *kingpin.Application, env *environment) {
	cmd := app.Command("platform-backend", "Play a backend server that speaks the platform's protocol.").HelpLong(platformBackendExamples)
	address := listenFlag(cmd)
	opts := platformbackend.Options{Dialect: platform.Dialect()}
	cmd.Flag("id", "ID of this run of the server.").Required().StringVar(&opts.ID)
	cmd.Flag("service", "Service that it offers.").Required().StringVar(&opts.Service)
	cmd.Flag("zone", "Availability zone of its host.").StringVar(&opts.AvailabilityZone)
	cmd.Flag("slots", "Requests that run at once, as announced.").Default("10").IntVar(&opts.Slots)
	cmd.Flag("work", "How long it takes for each request.").Default("0s").DurationVar(&opts.Work)
	cmd.Flag("daemon", "URL of the daemon's backend listener.").Required().StringVar(&opts.DaemonURL)
	cmd.Action(action(func() error {
		opts.Logger = slog.New(slog.NewTextHandler(env.stderr, nil))
		ln, err := env.listen(*address)
		if err != nil {
			return err
		}
		return platformbackend.Run(env.ctx, ln, opts)
	}))
}
