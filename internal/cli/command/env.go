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

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// Env holds the context, the output streams and the output format of a command.
type Env struct {
	// Context ends when the operator interrupts the program.
	Context context.Context
	Stdout  io.Writer
	Stderr  io.Writer
	// output is the value of --output.
	output string
}

// AddFlags adds the flags that all commands share.
func (e *Env) AddFlags(app *kingpin.Application) {
	app.Flag("output", "Output format: table for people, json for programs.").
		Short('o').Default(outputTable).EnumVar(&e.output, outputTable, outputJSON)
}

// Print writes v to Stdout as indented JSON if --output is json. Otherwise it calls writeText with
// Stdout.
func (e *Env) Print(v any, writeText func(w io.Writer)) error {
	if e.output != outputJSON {
		writeText(e.Stdout)
		return nil
	}
	enc := json.NewEncoder(e.Stdout)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return errors.Wrap(enc.Encode(v), "write output")
}

// Row holds the cells of one table row.
type Row []string

// Table writes the header and the rows to w in aligned columns.
func Table(w io.Writer, header Row, rows []Row) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range append([]Row{header}, rows...) {
		fmt.Fprintln(tw, strings.Join(r, "\t"))
	}
	_ = tw.Flush()
}

// OrDash returns s, or a dash if s is empty.
func OrDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// Duration formats a number of ms as a duration such as "1.5s", rounded to the second from ten
// seconds on.
func Duration(ms uint64) string {
	d := time.Duration(ms) * time.Millisecond
	if d >= 10*time.Second {
		d = d.Round(time.Second)
	}
	return d.String()
}
