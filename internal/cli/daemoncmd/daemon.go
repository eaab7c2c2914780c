// Package daemoncmd implements the command "daemon".
package daemoncmd

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/internal/cli/command"
	"github.com/crocuscross/crocuscross/internal/daemon"
	"github.com/crocuscross/crocuscross/internal/settings"
)

// Register adds the command to app.
func Register(app *kingpin.Application, env *command.Env) {
	cmd := app.Command("daemon", "Run the sidecar daemon of a backend server until SIGTERM or SIGINT, then shut down gracefully.")
	cmd.HelpLong(command.Example("crocuscross daemon --settings /etc/crocuscross/daemon.jsonc"))
	path := cmd.Flag("settings", "Settings file: JSON with comments.").Required().PlaceHolder("FILE").String()
	cmd.Action(command.Action(func() error {
		s, err := settings.Load(*path)
		if err != nil {
			return command.Exit(command.StatusBadInput, err)
		}
		hangup := make(chan os.Signal, 1)
		signal.Notify(hangup, syscall.SIGHUP)
		return errors.Wrap(daemon.Run(env.Context, s, daemon.ReloadOptions{File: *path, Signal: hangup}), "daemon")
	}))
}
