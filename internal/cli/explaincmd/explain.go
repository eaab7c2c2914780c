// Package explaincmd implements the command "explain".
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

// explanation is the JSON output of --request.
type explanation struct {
	Request string   `json:"request"`
	Verdict string   `json:"verdict"`
	Lines   []string `json:"lines"`
	// LostCalls describes the failed calls that the backend server may have made while it worked
	// on the request.
	LostCalls []string `json:"lost_calls,omitempty"`
}

// summary is the JSON output of --summary.
type summary struct {
	Ends []explain.Count `json:"ends"`
}

// Register adds the command to app.
func Register(app *kingpin.Application, env *command.Env) {
	cmd := app.Command("explain", "Explain the outcome of a request, or count the outcomes of all requests, from the logs of daemons.")
	cmd.HelpLong(command.Example("crocuscross explain --request 9c41d07be2a35f68 /var/log/crocuscross/*.log"))
	request := cmd.Flag("request", "ID of the request to explain.").String()
	all := cmd.Flag("summary", "Count the outcomes of all requests by service, origin (callers or services), kind and reason.").Bool()
	files := cmd.Arg("file", "Log files in JSON format, from any number of daemons.").Required().ExistingFiles()
	cmd.Action(command.Action(func() error {
		if *all == (*request != "") {
			return command.Exit(command.StatusBadInput, errors.New("use either --request or --summary"))
		}
		if *all {
			return summarize(env, *files)
		}
		return explainOne(env, *request, *files)
	}))
}

// explainOne prints the log lines of one request and its outcome.
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
	return env.Print(out, func(w io.Writer) { writeExplanation(w, out) })
}

func writeExplanation(w io.Writer, e explanation) {
	for _, l := range e.Lines {
		fmt.Fprintln(w, l)
	}
	fmt.Fprintln(w, e.Verdict)
	for _, l := range e.LostCalls {
		fmt.Fprintln(w, l)
	}
}

// summarize counts the outcomes of all requests and prints the counts.
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
		origin, end := "callers", c.Kind
		if c.Nested {
			origin = "services"
		}
		if end == "" {
			end = fmt.Sprintf("status %d", c.Status)
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", c.Requests, c.Service, origin, end, c.Error)
	}
	_ = t.Flush()
}

// eachFile calls read with each file in order, up to the first error, which it returns with
// StatusBadInput.
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
