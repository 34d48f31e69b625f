package entry

import (
	"context"

	"github.com/gofiber/fiber/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// propagator reads and writes the traceparent header.
var propagator = propagation.TraceContext{}

// withCallerTrace returns ctx with the trace context of the caller's header, if any.
func withCallerTrace(ctx context.Context, c *fiber.Ctx) context.Context {
	carrier := propagation.MapCarrier{}
	for _, name := range propagator.Fields() {
		carrier[name] = string(c.Request().Header.Peek(name))
	}
	return propagator.Extract(ctx, carrier)
}

// startEntrySpan starts the span that covers the whole request at this node.
func (s *Server) startEntrySpan(ctx context.Context, accepted *call) (context.Context, trace.Span) {
	return s.config.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("request_id", accepted.requestID),
		attribute.String("organisation", accepted.request.Organisation.Name),
		attribute.String("lane", string(accepted.request.Plan.Lane)),
		attribute.String("model", accepted.request.Model),
		attribute.String("service", accepted.request.Service),
		attribute.Int("prompt_tokens", accepted.request.PromptTokens),
	))
}

// headerWithTrace returns a copy of header with the trace context of ctx added.
func headerWithTrace(ctx context.Context, header map[string]string) map[string]string {
	carrier := propagation.MapCarrier{}
	for name, value := range header {
		carrier[name] = value
	}
	propagator.Inject(ctx, carrier)
	return carrier
}
