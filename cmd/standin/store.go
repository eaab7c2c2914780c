package main

import (
	"net"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/internal/standin/storeserver"
)

const storeExamples = `Examples:
  standin store --listen 127.0.0.1:7000 --store 127.1.0.1:8142 --store 127.1.0.2:8142

  curl --data-binary @document.json '127.0.0.1:7000/admin/config'
  curl -X POST '127.0.0.1:7000/admin/fault?kind=silent&ip=127.1.0.2'
  curl -X POST '127.0.0.1:7000/admin/fault?kind=none'
  curl -X POST '127.0.0.1:7000/admin/delay?delay=300ms'
  curl -X POST '127.0.0.1:7000/admin/compact'    drop the operator's history
  curl -X POST '127.0.0.1:7000/admin/backup'
  curl -X POST '127.0.0.1:7000/admin/restore'    go back to the backup
`

func registerStore(app *kingpin.Application, env *environment) {
	cmd := app.Command("store", "Play the platform's metadata store, in memory. --listen is for commands.").HelpLong(storeExamples)
	admin := listenFlag(cmd)
	addresses := cmd.Flag("store", "IP:port of the store itself; may be repeated, so that each host has one of its own.").Required().Strings()
	cmd.Action(action(func() error {
		var listeners []net.Listener
		for _, address := range *addresses {
			ln, err := net.Listen("tcp", address)
			if err != nil {
				return errors.Wrap(err, "listen")
			}
			listeners = append(listeners, ln)
		}
		ln, err := env.listen(*admin)
		if err != nil {
			return err
		}
		return storeserver.New().Run(env.ctx, ln, listeners)
	}))
}
