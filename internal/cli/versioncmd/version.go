// Package versioncmd implements the command "version".
package versioncmd

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/crocuscross/crocuscross/internal/buildinfo"
	"github.com/crocuscross/crocuscross/internal/cli/command"
)

// Register adds the command to app.
func Register(app *kingpin.Application, env *command.Env) {
	cmd := app.Command("version", "Print version, commit and Go version.")
	cmd.HelpLong(command.Example("crocuscross version --output json"))
	cmd.Action(command.Action(func() error {
		info := buildinfo.Get()
		return env.Print(info, func(w io.Writer) {
			modified := ""
			if info.Modified {
				modified = " (modified)"
			}
			fmt.Fprintf(w, "crocuscross %s\ncommit %s%s\n%s\n", info.Version, info.Commit, modified, info.Go)
		})
	}))
}
