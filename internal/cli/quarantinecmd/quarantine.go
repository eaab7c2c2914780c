// Package quarantinecmd implements the command "quarantine".
package quarantinecmd

import (
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/crocuscross/crocuscross/internal/cli/command"
)

// Register adds the command to app.
func Register(app *kingpin.Application, env *command.Env) {
	cmd := app.Command("quarantine", "Show and lift the quarantine of requests that crash backend servers.")
	registerList(cmd, env)
	registerLift(cmd, env)
}

func registerList(parent *kingpin.CmdClause, env *command.Env) {
	cmd := parent.Command("list", "List the requests in quarantine.")
	cmd.HelpLong(command.Example("crocuscross quarantine list --daemon 10.1.2.3:7401"))
	connect := &command.Connect{}
	connect.DaemonFlag(cmd)
	connect.TimeoutFlag(cmd, "30s")
	cmd.Action(command.Action(func() error { return list(env, connect) }))
}

func registerLift(parent *kingpin.CmdClause, env *command.Env) {
	cmd := parent.Command("lift", "Lift the quarantine of a request on all daemons, for example after its service has been fixed.")
	cmd.HelpLong(command.Example("crocuscross quarantine lift 5b1d06a2c9e84f7730aa61f2d5c8be94 --daemon 10.1.2.3:7401"))
	connect := &command.Connect{}
	identity := cmd.Arg("identity", "Identity of the request, from \"quarantine list\" or the daemons' logs.").Required().String()
	connect.DaemonFlag(cmd)
	connect.TimeoutFlag(cmd, "30s")
	cmd.Action(command.Action(func() error { return lift(env, connect, *identity) }))
}

var header = command.Row{"IDENTITY", "UNTIL"}

func list(env *command.Env, connect *command.Connect) error {
	client, err := connect.Daemon()
	if err != nil {
		return err
	}
	ctx, cancel := connect.WithTimeout(env.Context)
	defer cancel()
	answer, err := client.Quarantine(ctx)
	if err != nil {
		return err
	}
	return env.Print(answer, func(w io.Writer) {
		rows := make([]command.Row, 0, len(answer.Requests))
		for _, r := range answer.Requests {
			rows = append(rows, command.Row{r.Identity, r.Until.Format(time.RFC3339)})
		}
		command.Table(w, header, rows)
	})
}

// liftResult is the JSON output of "quarantine lift".
type liftResult struct {
	Lifted string `json:"lifted"`
}

func lift(env *command.Env, connect *command.Connect, identity string) error {
	client, err := connect.Daemon()
	if err != nil {
		return err
	}
	ctx, cancel := connect.WithTimeout(env.Context)
	defer cancel()
	if err := client.LiftQuarantine(ctx, identity); err != nil {
		return err
	}
	return env.Print(liftResult{identity}, func(w io.Writer) { fmt.Fprintf(w, "%s: lifted\n", identity) })
}
