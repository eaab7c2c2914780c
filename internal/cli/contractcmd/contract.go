// Package contractcmd implements the command "contract", which validates, publishes and shows
// contracts, routes and services.
package contractcmd

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/crocuscross/crocuscross/internal/cli/command"
)

// Register adds the command to app.
func Register(app *kingpin.Application, env *command.Env) {
	cmd := app.Command("contract", "Publish and show contracts, and the routes and services that they need.")
	registerValidate(cmd, env)
	registerPublish(cmd, env)
	registerGet(cmd, env)
	registerList(cmd, env)
	registerHistory(cmd, env)
	registerKey(cmd, env)
}
