// Package telemetry sets up what a daemon tells of itself: log lines, metrics
// and traces.
package telemetry

import (
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"
)

// NewLogger returns a logger of a level and a format (text, json).
func NewLogger(w io.Writer, level slog.Leveler, format string) (*slog.Logger, error) {
	opts := &slog.HandlerOptions{Level: level, ReplaceAttr: shortErrors}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(w, opts)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, opts)), nil
	}
	return nil, errors.Newf("log format %q is neither text nor json", format)
}

// shortErrors logs an error's text alone; the handlers would print the stack
// that the errors library keeps, a page for each line.
func shortErrors(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
