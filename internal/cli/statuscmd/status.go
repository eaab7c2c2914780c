// Package statuscmd implements the command "status".
package statuscmd

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/crocuscross/crocuscross/internal/cli/command"
	"github.com/crocuscross/crocuscross/internal/operator"
)

const livenessAlive = "alive"

// Register adds the command to app.
func Register(app *kingpin.Application, env *command.Env) {
	cmd := app.Command("status", "Show the version in force on each daemon, and which daemons lag, for how long and why.")
	cmd.HelpLong(command.Example(
		"crocuscross status --daemon 10.1.2.3:7401",
		"crocuscross status --daemon 10.1.2.3:7401 --lagging --output json"))
	connect := &command.Connect{}
	lagging := cmd.Flag("lagging", "Show only daemons that lag, do not answer or are not alive.").Bool()
	connect.DaemonFlag(cmd)
	connect.TimeoutFlag(cmd, "30s")
	cmd.Action(command.Action(func() error { return status(env, connect, *lagging) }))
}

func status(env *command.Env, connect *command.Connect, lagging bool) error {
	client, err := connect.Daemon()
	if err != nil {
		return err
	}
	ctx, cancel := connect.WithTimeout(env.Context)
	defer cancel()
	s, err := client.Status(ctx)
	if err != nil {
		return err
	}
	summary := summarize(s)
	if lagging {
		s.Daemons = slices.DeleteFunc(s.Daemons, isHealthy)
	}
	return env.Print(s, func(w io.Writer) {
		fmt.Fprintln(w, summary)
		command.Table(w, header, rows(s.Daemons))
	})
}

// isHealthy reports whether the daemon is alive and up to date, states no reason for a problem and
// withholds no routes. --lagging omits such daemons.
func isHealthy(d operator.Daemon) bool {
	return d.Liveness == livenessAlive && d.Lag == 0 && d.Reason == "" && len(d.WithheldRoutes) == 0
}

func summarize(s *operator.FleetStatus) string {
	if s.HighestOffset == 0 {
		return fmt.Sprintf("nothing is published yet (seen by %s)", s.Host)
	}
	inForce := 0
	for _, d := range s.Daemons {
		if d.Liveness == livenessAlive && d.Lag == 0 {
			inForce++
		}
	}
	return fmt.Sprintf("version %d, in force on %d of %d daemons (seen by %s)", s.HighestOffset, inForce, len(s.Daemons), s.Host)
}

var header = command.Row{"HOST", "ZONE", "STATE", "VERSION", "IN FORCE FOR", "LAG", "BEHIND FOR", "READS LOG", "BACKEND SERVERS", "REASON"}

func rows(daemons []operator.Daemon) []command.Row {
	list := make([]command.Row, 0, len(daemons))
	for _, d := range daemons {
		list = append(list, command.Row{
			d.Host, d.AvailabilityZone, state(d),
			strconv.FormatUint(d.Offset, 10), inForceFor(d),
			strconv.FormatUint(d.Lag, 10), formatAge(d.BehindMs),
			readsLog(d), command.OrDash(formatBackendServers(d.BackendServers)), command.OrDash(reason(d)),
		})
	}
	return list
}

// state returns the phase that the daemon reports, followed by its liveness if that is not alive. For
// a daemon that did not answer it returns the liveness alone.
func state(d operator.Daemon) string {
	if d.Phase == "" {
		return d.Liveness
	}
	if d.Liveness != livenessAlive {
		return d.Phase + " (" + d.Liveness + ")"
	}
	return d.Phase
}

// inForceFor returns how long the version has been in force, or a dash for a daemon that did not
// answer or has no version in force.
func inForceFor(d operator.Daemon) string {
	if d.Phase == "" || d.Offset == 0 {
		return formatAge(0)
	}
	return formatAge(d.InForceAgeMs)
}

func formatAge(ms uint64) string {
	if ms == 0 {
		return command.OrDash("")
	}
	return command.Duration(ms)
}

func readsLog(d operator.Daemon) string {
	if d.Reader {
		return "yes"
	}
	return "no"
}

func formatBackendServers(list []operator.BackendServer) string {
	var parts []string
	for _, b := range list {
		s := fmt.Sprintf("%s (%d slots)", b.Service, b.Slots)
		if b.Draining {
			s += " draining"
		}
		parts = append(parts, s)
	}
	return strings.Join(parts, ", ")
}

func reason(d operator.Daemon) string {
	if d.Reason == "" && len(d.WithheldRoutes) > 0 {
		return "routes withheld until a backend server is known: " + strings.Join(d.WithheldRoutes, ", ")
	}
	return d.Reason
}
