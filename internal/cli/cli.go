// Package cli implements the command line: it parses the arguments, runs the selected command and
// maps its error to an exit status.
package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/internal/cli/command"
	"github.com/crocuscross/crocuscross/internal/cli/contractcmd"
	"github.com/crocuscross/crocuscross/internal/cli/daemoncmd"
	"github.com/crocuscross/crocuscross/internal/cli/draincmd"
	"github.com/crocuscross/crocuscross/internal/cli/explaincmd"
	"github.com/crocuscross/crocuscross/internal/cli/quarantinecmd"
	"github.com/crocuscross/crocuscross/internal/cli/settingscmd"
	"github.com/crocuscross/crocuscross/internal/cli/statuscmd"
	"github.com/crocuscross/crocuscross/internal/cli/versioncmd"
	"github.com/crocuscross/crocuscross/internal/operator"
)

const (
	name = "crocuscross"
	help = "Sidecar daemon of a backend server, and the command line for operators."
)

// usageTemplate extends kingpin's help by the examples of the selected command, or by the exit
// statuses if no command is selected.
var usageTemplate = kingpin.DefaultUsageTemplate +
	`{{if .Context.SelectedCommand}}{{.Context.SelectedCommand.HelpLong}}{{else}}` + command.ExitStatusHelp + `{{end}}`

// terminated is the value of the panic that returns control to Run after kingpin has printed help
// or a completion.
type terminated struct{ status int }

// Run runs the command that args select and returns the exit status.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) (status command.Status) {
	defer func() {
		switch t := recover().(type) {
		case nil:
		case terminated:
			status = command.Status(t.status)
		default:
			panic(t)
		}
	}()
	app := newApp(&command.Env{Context: ctx, Stdout: stdout, Stderr: stderr})
	_, err := app.Parse(expandWait(args))
	return exitStatus(err, stderr)
}

func newApp(env *command.Env) *kingpin.Application {
	app := kingpin.New(name, help)
	app.UsageWriter(env.Stdout).ErrorWriter(env.Stderr).UsageTemplate(usageTemplate)
	app.Terminate(func(status int) { panic(terminated{status}) })
	app.HelpFlag.Short('h')
	env.AddFlags(app)
	daemoncmd.Register(app, env)
	contractcmd.Register(app, env)
	statuscmd.Register(app, env)
	draincmd.Register(app, env)
	quarantinecmd.Register(app, env)
	settingscmd.Register(app, env)
	explaincmd.Register(app, env)
	versioncmd.Register(app, env)
	return app
}

// exitStatus returns the exit status for err and prints err, unless the output of the command already
// states the failure. An error without an ExitError comes from kingpin and means invalid arguments.
func exitStatus(err error, stderr io.Writer) command.Status {
	if err == nil {
		return command.StatusOK
	}
	var exit *command.ExitError
	if !errors.As(err, &exit) {
		exit = command.Exitf(command.StatusBadInput, "%v; see %s --help", err, name)
	}
	if !exit.Silent() {
		fmt.Fprintf(stderr, "%s: %v\n", name, exit)
	}
	return exit.Status
}

// expandWait adds the default value to a --wait without a value. A kingpin flag either always
// requires a value or never accepts one.
func expandWait(args []string) []string {
	expanded := make([]string, 0, len(args))
	for _, a := range args {
		if a == "--wait" {
			a += "=" + operator.DefaultWait.String()
		}
		expanded = append(expanded, a)
	}
	return expanded
}
