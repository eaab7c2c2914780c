package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
)

const traceparentHeader = "traceparent"

var traceContext = propagation.TraceContext{}

// WithTraceparent returns a copy of ctx with the remote span context of a W3C traceparent. It
// returns ctx itself if traceparent is empty or malformed.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return traceContext.Extract(ctx, propagation.MapCarrier{traceparentHeader: traceparent})
}

// Traceparent returns the W3C traceparent of the span in ctx, empty if there is none.
func Traceparent(ctx context.Context) string {
	c := propagation.MapCarrier{}
	traceContext.Inject(ctx, c)
	return c[traceparentHeader]
}
