package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
)

const traceparentHeader = "traceparent"

var traceContext = propagation.TraceContext{}

// WithTraceparent returns ctx as a child of a W3C traceparent; an empty or
// malformed one leaves ctx as it is.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return traceContext.Extract(ctx, propagation.MapCarrier{traceparentHeader: traceparent})
}

// Traceparent returns the W3C traceparent of ctx's span, empty without one.
func Traceparent(ctx context.Context) string {
	c := propagation.MapCarrier{}
	traceContext.Inject(ctx, c)
	return c[traceparentHeader]
}
