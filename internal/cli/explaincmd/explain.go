// Package explaincmd is the command "explain".
package explaincmd

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/internal/cli/command"
	"github.com/crocuscross/crocuscross/internal/explain"
)

// explanation is the output for programs.
type explanation struct {
	Request string   `json:"request"`
	Verdict string   `json:"verdict"`
	Lines   []string `json:"lines"`
}

// Register adds the command.
func Register(app *kingpin.Application, env *command.Env) {
	cmd := app.Command("explain", "Tell what became of a request, from the logs of daemons.")
	cmd.HelpLong(command.Example("crocuscross explain --request 9c41d07be2a35f68 /var/log/crocuscross/*.log"))
	request := cmd.Flag("request", "The request's id.").Required().String()
	files := cmd.Arg("file", "Logs in JSON form, of any number of daemons.").Required().ExistingFiles()
	cmd.Action(command.Action(func() error {
		var lines []explain.Line
		for _, name := range *files {
			more, err := readFile(name, *request)
			if err != nil {
				return command.Exit(command.StatusBadInput, err)
			}
			lines = append(lines, more...)
		}
		lines = explain.Order(lines)
		out := explanation{Request: *request, Verdict: explain.Verdict(lines)}
		for _, l := range lines {
			out.Lines = append(out.Lines, l.Raw)
		}
		return env.Print(out, func(w io.Writer) { write(w, out) })
	}))
}

func readFile(name, request string) ([]explain.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines, err := explain.Read(f, request)
	return lines, errors.Wrap(err, name)
}

func write(w io.Writer, e explanation) {
	for _, l := range e.Lines {
		fmt.Fprintln(w, l)
	}
	fmt.Fprintln(w, e.Verdict)
}
