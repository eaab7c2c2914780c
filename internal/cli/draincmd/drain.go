// Package draincmd implements the command "drain".
package draincmd

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/crocuscross/crocuscross/internal/cli/command"
	"github.com/crocuscross/crocuscross/internal/operator"
)

// Register adds the command to app.
func Register(app *kingpin.Application, env *command.Env) {
	cmd := app.Command("drain", "Begin a graceful shutdown: accept no new work and finish the calls in flight.")
	registerTarget(cmd, env, "host", "Drain one host.", "crocuscross drain host sign-feed-01 --daemon 10.1.2.3:7401",
		func(req *operator.DrainRequest) *string { return &req.Host })
	registerTarget(cmd, env, "zone", "Drain all hosts of an availability zone.", "crocuscross drain zone boston --daemon 10.1.2.3:7401",
		func(req *operator.DrainRequest) *string { return &req.Zone })
}

func registerTarget(parent *kingpin.CmdClause, env *command.Env, name, help, example string, target func(*operator.DrainRequest) *string) {
	cmd := parent.Command(name, help)
	cmd.HelpLong(command.Example(example))
	connect, req := &command.Connect{}, &operator.DrainRequest{}
	cmd.Arg("name", "Name of the "+name+".").Required().StringVar(target(req))
	cmd.Flag("reason", "Reason, for the daemons' logs.").StringVar(&req.Reason)
	connect.DaemonFlag(cmd)
	connect.TimeoutFlag(cmd, "30s")
	cmd.Action(command.Action(func() error { return drain(env, connect, *req) }))
}

func drain(env *command.Env, connect *command.Connect, req operator.DrainRequest) error {
	client, err := connect.Daemon()
	if err != nil {
		return err
	}
	ctx, cancel := connect.WithTimeout(env.Context)
	defer cancel()
	answer, err := client.Drain(ctx, req)
	if err != nil {
		return err
	}
	err = env.Print(answer, func(w io.Writer) {
		for _, d := range answer.Daemons {
			fmt.Fprintf(w, "%s: %s\n", d.Host, outcome(d))
		}
	})
	if err != nil {
		return err
	}
	if failed := countFailed(answer); failed > 0 {
		return command.Exitf(command.StatusFailed, "%d of %d daemons did not accept the request", failed, len(answer.Daemons))
	}
	return nil
}

func outcome(d operator.DrainedDaemon) string {
	if d.Error != "" {
		return "not asked: " + d.Error
	}
	return "draining"
}

func countFailed(a *operator.DrainResponse) int {
	n := 0
	for _, d := range a.Daemons {
		if d.Error != "" {
			n++
		}
	}
	return n
}
