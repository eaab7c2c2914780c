// Package telemetry sets up a daemon's logging, metrics and tracing.
package telemetry

import (
	"io"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
)

// durationPrecision is the precision to which durations in log lines are rounded.
const durationPrecision = 10 * time.Microsecond

// NewLogger returns a logger that writes lines of at least the given level to w. The format is text
// or json.
func NewLogger(w io.Writer, level slog.Leveler, format string) (*slog.Logger, error) {
	opts := &slog.HandlerOptions{Level: level, ReplaceAttr: formatAttr}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(w, opts)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, opts)), nil
	}
	return nil, errors.Newf("log format %q is neither text nor json", format)
}

// formatAttr replaces an error by its text, because the handlers would print the stack trace that
// the errors library keeps, a page per log line. It formats a duration with its unit, because the
// JSON handler would print nanoseconds.
func formatAttr(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		return slog.String(a.Key, a.Value.Duration().Round(durationPrecision).String())
	}
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
