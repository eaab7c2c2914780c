package settingscmd

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/crocuscross/crocuscross/internal/cli/command"
	"github.com/crocuscross/crocuscross/internal/deployment"
)

func registerExample(parent *kingpin.CmdClause, env *command.Env) {
	cmd := parent.Command("example", "Write the settings files of all hosts of an example deployment.")
	cmd.HelpLong(command.Example("crocuscross settings example --deployment association --dir /tmp/association"))
	var names []string
	for _, d := range deployment.All() {
		names = append(names, d.Name)
	}
	name := cmd.Flag("deployment", "Name of the example deployment.").Required().Enum(names...)
	dir := cmd.Flag("dir", "Output directory, created if it does not exist.").Required().PlaceHolder("DIR").String()
	cmd.Action(command.Action(func() error { return writeExample(env, *name, *dir) }))
}

func writeExample(env *command.Env, name, dir string) error {
	d, _ := deployment.Named(name)
	paths, err := d.WriteSettings(dir)
	if err != nil {
		return err
	}
	return env.Print(paths, func(w io.Writer) {
		for _, p := range paths {
			fmt.Fprintln(w, p)
		}
	})
}
