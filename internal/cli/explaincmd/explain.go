// Package explaincmd is the command "explain".
package explaincmd

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

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
	// LostCalls tells of calls that the request's run may have made and that failed.
	LostCalls []string `json:"lost_calls,omitempty"`
}

// summary is the output for programs of --summary.
type summary struct {
	Ends []explain.Count `json:"ends"`
}

// Register adds the command.
func Register(app *kingpin.Application, env *command.Env) {
	cmd := app.Command("explain", "Tell what became of a request, or of all, from the logs of daemons.")
	cmd.HelpLong(command.Example("crocuscross explain --request 9c41d07be2a35f68 /var/log/crocuscross/*.log"))
	request := cmd.Flag("request", "The request's id.").String()
	all := cmd.Flag("summary", "Count how all requests ended: by service, callers' or services' own, kind and reason.").Bool()
	files := cmd.Arg("file", "Logs in JSON form, of any number of daemons.").Required().ExistingFiles()
	cmd.Action(command.Action(func() error {
		if *all == (*request != "") {
			return command.Exit(command.StatusBadInput, errors.New("give either --request or --summary"))
		}
		if *all {
			return summarize(env, *files)
		}
		return explainOne(env, *request, *files)
	}))
}

// explainOne tells what became of one request.
func explainOne(env *command.Env, request string, files []string) error {
	var lines []explain.Line
	err := eachFile(files, func(r io.Reader) error {
		more, err := explain.Read(r, request)
		lines = append(lines, more...)
		return err
	})
	if err != nil {
		return err
	}
	own, calls := explain.Split(request, lines)
	own = explain.Order(own)
	out := explanation{Request: request, Verdict: explain.Verdict(own), LostCalls: explain.FailedCalls(calls)}
	for _, l := range own {
		out.Lines = append(out.Lines, l.Raw)
	}
	return env.Print(out, func(w io.Writer) { write(w, out) })
}

func write(w io.Writer, e explanation) {
	for _, l := range e.Lines {
		fmt.Fprintln(w, l)
	}
	fmt.Fprintln(w, e.Verdict)
	for _, l := range e.LostCalls {
		fmt.Fprintln(w, l)
	}
}

// summarize counts how all requests ended.
func summarize(env *command.Env, files []string) error {
	var s explain.Summary
	if err := eachFile(files, s.Add); err != nil {
		return err
	}
	out := summary{Ends: s.Counts()}
	return env.Print(out, func(w io.Writer) { writeSummary(w, out) })
}

func writeSummary(w io.Writer, s summary) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "REQUESTS\tSERVICE\tMADE BY\tEND\tREASON")
	for _, c := range s.Ends {
		by, end := "callers", c.Kind
		if c.Nested {
			by = "services"
		}
		if end == "" {
			end = fmt.Sprintf("status %d", c.Status)
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", c.Requests, c.Service, by, end, c.Error)
	}
	_ = t.Flush()
}

// eachFile reads logs one after the other.
func eachFile(files []string, read func(io.Reader) error) error {
	for _, name := range files {
		if err := readFile(name, read); err != nil {
			return command.Exit(command.StatusBadInput, errors.Wrap(err, name))
		}
	}
	return nil
}

func readFile(name string, read func(io.Reader) error) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return read(f)
}
