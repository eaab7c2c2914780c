package telemetry

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const tracerName = "crocuscross"

// TraceOptions configures the tracer.
type TraceOptions struct {
	// Exporter is none, stdout or otlp; empty means none.
	Exporter string
	// Endpoint is the URL of the OTLP collector. Only the otlp exporter uses it.
	Endpoint string
	// Ratio is the fraction of calls that are traced, 0 to 1. It applies to calls without a sampling
	// decision of the caller.
	Ratio float64
	// Host and AvailabilityZone are attributes of all exported spans.
	Host             string
	AvailabilityZone string
	// Stdout receives the spans of the stdout exporter.
	Stdout io.Writer
}

// NewTracer returns a tracer and a function that flushes its spans and stops it.
func NewTracer(ctx context.Context, o TraceOptions) (oteltrace.Tracer, func(context.Context) error, error) {
	exp, err := newExporter(ctx, o)
	if err != nil {
		return nil, nil, err
	}
	if exp == nil {
		return noop.NewTracerProvider().Tracer(tracerName), func(context.Context) error { return nil }, nil
	}
	tp := trace.NewTracerProvider(
		trace.WithBatcher(exp),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(o.Ratio))),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", tracerName),
			attribute.String("host.name", o.Host),
			attribute.String("cloud.availability_zone", o.AvailabilityZone),
		)),
	)
	return tp.Tracer(tracerName), tp.Shutdown, nil
}

// newExporter returns the exporter that o names, nil for none.
func newExporter(ctx context.Context, o TraceOptions) (trace.SpanExporter, error) {
	switch o.Exporter {
	case "none", "":
		return nil, nil
	case "stdout":
		return stdouttrace.New(stdouttrace.WithWriter(o.Stdout))
	case "otlp":
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(o.Endpoint))
	}
	return nil, errors.Newf("unknown trace exporter %q: use none, stdout or otlp", o.Exporter)
}
