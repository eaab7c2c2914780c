// Package telemetry sets up what a daemon tells of itself: log lines, metrics
// and traces.
package telemetry

import (
	"io"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
)

// durationDigits is what durations are rounded to in log lines.
const durationDigits = 10 * time.Microsecond

// NewLogger returns a logger of a level and a format (text, json).
func NewLogger(w io.Writer, level slog.Leveler, format string) (*slog.Logger, error) {
	opts := &slog.HandlerOptions{Level: level, ReplaceAttr: shortAttrs}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(w, opts)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, opts)), nil
	}
	return nil, errors.Newf("log format %q is neither text nor json", format)
}

// shortAttrs logs an error's text alone, as the handlers would print the stack that
// the errors library keeps, a page for each line; and durations with their unit, as the
// JSON handler would print nanoseconds.
func shortAttrs(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		return slog.String(a.Key, a.Value.Duration().Round(durationDigits).String())
	}
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
