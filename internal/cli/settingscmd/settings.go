// Package settingscmd implements the command "settings", which checks settings files, prints the
// defaults and writes the settings files of the example deployments.
package settingscmd

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/internal/cli/command"
	"github.com/crocuscross/crocuscross/internal/jsonc"
	"github.com/crocuscross/crocuscross/internal/settings"
)

// Register adds the command to app.
func Register(app *kingpin.Application, env *command.Env) {
	cmd := app.Command("settings", "Check settings files and write new ones.")
	registerCheck(cmd, env)
	registerDefaults(cmd, env)
	registerExample(cmd, env)
}

// checkResult is the JSON output of "settings check".
type checkResult struct {
	File     string          `json:"file"`
	Good     bool            `json:"good"`
	Problems []jsonc.Problem `json:"problems,omitempty"`
}

func registerCheck(parent *kingpin.CmdClause, env *command.Env) {
	cmd := parent.Command("check", "Report all problems of a settings file without starting a daemon.")
	cmd.HelpLong(command.Example("crocuscross settings check /etc/crocuscross/daemon.jsonc"))
	path := cmd.Arg("file", "Settings file.").Required().String()
	cmd.Action(command.Action(func() error { return check(env, *path) }))
}

func check(env *command.Env, path string) error {
	result := checkResult{File: path}
	_, err := settings.Load(path)
	var problems jsonc.Problems
	switch {
	case err == nil:
		result.Good = true
	case errors.As(err, &problems):
		result.Problems = problems
	default:
		return command.Exit(command.StatusBadInput, err)
	}
	if err := env.Print(result, result.write); err != nil {
		return err
	}
	if !result.Good {
		return command.Exit(command.StatusBadInput, nil)
	}
	return nil
}

func (r checkResult) write(w io.Writer) {
	if r.Good {
		fmt.Fprintf(w, "%s: good\n", r.File)
		return
	}
	for _, p := range r.Problems {
		fmt.Fprintln(w, p.Error())
	}
}

func registerDefaults(parent *kingpin.CmdClause, env *command.Env) {
	cmd := parent.Command("defaults", "Print a settings file with every field, its meaning, unit, default and bounds.")
	cmd.HelpLong(command.Example("crocuscross settings defaults > daemon.jsonc"))
	cmd.Action(command.Action(func() error { return settings.WriteDefaults(env.Stdout) }))
}
