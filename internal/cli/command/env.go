package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

// Forms of output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// Env is what a command runs in.
type Env struct {
	// Context ends when the operator interrupts the program.
	Context context.Context
	Stdout  io.Writer
	Stderr  io.Writer
	output  string
}

// AddFlags adds the flags that all commands have.
func (e *Env) AddFlags(app *kingpin.Application) {
	app.Flag("output", "Form of the output: table for people, json for programs.").
		Short('o').Default(outputTable).EnumVar(&e.output, outputTable, outputJSON)
}

// Print writes v as JSON if the operator asked for it, and calls human
// otherwise.
func (e *Env) Print(v any, human func(w io.Writer)) error {
	if e.output != outputJSON {
		human(e.Stdout)
		return nil
	}
	enc := json.NewEncoder(e.Stdout)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return errors.Wrap(enc.Encode(v), "write output")
}

// Row is one row of a table.
type Row []string

// Table writes rows under a header, aligned.
func Table(w io.Writer, header Row, rows []Row) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range append([]Row{header}, rows...) {
		fmt.Fprintln(tw, strings.Join(r, "\t"))
	}
	_ = tw.Flush()
}

// Or returns s, or a dash for an empty cell.
func Or(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// Duration formats milliseconds for people: to the ms below ten seconds and to
// the second above.
func Duration(ms uint64) string {
	d := time.Duration(ms) * time.Millisecond
	if d >= 10*time.Second {
		d = d.Round(time.Second)
	}
	return d.String()
}
