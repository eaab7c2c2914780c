// Command standin plays the platform's log, backend servers and callers in
// tests and in the demo. It is not shipped.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/internal/standin/serve"
)

// Exit statuses.
const (
	statusOK = iota
	// statusFailed means that the stand-in could not do its work, or that a
	// caller got a wrong answer.
	statusFailed
	statusUsage
)

// usageTemplate adds a command's examples to the library's help.
var usageTemplate = kingpin.DefaultUsageTemplate +
	`{{if .Context.SelectedCommand}}{{.Context.SelectedCommand.HelpLong}}{{end}}`

// environment is what the commands run in.
type environment struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(&environment{ctx: ctx, stdout: os.Stdout, stderr: os.Stderr}, os.Args[1:])
	stop()
	os.Exit(status)
}

// commandError is an error of a command, as opposed to one of its arguments.
type commandError struct{ error }

// Unwrap returns the cause.
func (e commandError) Unwrap() error { return e.error }

// terminated ends the run when the library has printed help.
type terminated struct{}

func run(env *environment, args []string) (status int) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(terminated); !ok {
				panic(r)
			}
			status = statusOK
		}
	}()
	app := kingpin.New("standin", "Stand-ins for the platform's log and store, backend servers and callers. They misbehave on command.")
	app.UsageWriter(env.stdout).ErrorWriter(env.stderr).UsageTemplate(usageTemplate)
	app.HelpFlag.Short('h')
	app.Terminate(func(int) { panic(terminated{}) })
	registerLog(app, env)
	registerBackend(app, env)
	registerCaller(app, env)
	registerStore(app, env)
	registerPlatformBackend(app, env)
	_, err := app.Parse(args)
	return exitStatus(err, env.stderr)
}

func exitStatus(err error, stderr io.Writer) int {
	var failed commandError
	switch {
	case err == nil:
		return statusOK
	case errors.As(err, &failed):
		fmt.Fprintln(stderr, "standin:", err)
		return statusFailed
	}
	fmt.Fprintf(stderr, "standin: %v; see standin --help\n", err)
	return statusUsage
}

// action makes a command's function into the library's form.
func action(f func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		if err := f(); err != nil {
			return commandError{err}
		}
		return nil
	}
}

// listen prints the address that it listens on.
func (env *environment) listen(address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	serve.Announce(env.stdout, ln)
	return ln, nil
}

func listenFlag(cmd *kingpin.CmdClause) *string {
	return cmd.Flag("listen", "IP:port to listen on; port 0 takes a free one. The first line of output tells it.").
		Default("127.0.0.1:0").String()
}
