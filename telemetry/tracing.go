package telemetry

import (
	"context"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

const (
	// ScopeName is the instrumentation scope of every span.
	ScopeName = "github.com/wigeontiller/wigeontiller"
	// EndpointStdout writes spans to the standard output.
	EndpointStdout = "stdout"
)

// NewTracerProvider returns a provider that exports to an OTLP URL, to the
// standard output for EndpointStdout, or drops all spans for an empty endpoint.
func NewTracerProvider(ctx context.Context, endpoint string) (*sdktrace.TracerProvider, error) {
	switch endpoint {
	case "":
		return sdktrace.NewTracerProvider(sdktrace.WithSampler(sdktrace.NeverSample())), nil
	case EndpointStdout:
		exporter, err := stdouttrace.New()
		if err != nil {
			return nil, eris.Wrap(err, "stdout exporter")
		}
		return sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter)), nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	if err != nil {
		return nil, eris.Wrap(err, "OTLP exporter")
	}
	return sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter)), nil
}
