package peer

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcmetadata"
)

// propagator passes the trace context between nodes in call metadata.
var propagator = propagation.TraceContext{}

// tracedConn starts a client span for each call to another node.
type tracedConn struct {
	drpc.Conn
	tracer  trace.Tracer
	address string
}

// Invoke makes one call within a span and records its error.
func (c tracedConn) Invoke(ctx context.Context, rpc string, encoding drpc.Encoding, in, out drpc.Message) error {
	ctx, span := c.tracer.Start(ctx, "peer "+rpc, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("address", c.address)))
	defer span.End()
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	err := c.Conn.Invoke(drpcmetadata.AddPairs(ctx, carrier), rpc, encoding, in, out)
	if err != nil {
		span.RecordError(err)
	}
	return err
}

// tracedHandler starts a server span for each call from another node.
type tracedHandler struct {
	drpc.Handler
	tracer trace.Tracer
}

// HandleRPC serves one call within a span that continues the client's trace.
func (h tracedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	carrier := propagation.MapCarrier{}
	if metadata, ok := drpcmetadata.Get(stream.Context()); ok {
		carrier = metadata
	}
	ctx := propagator.Extract(stream.Context(), carrier)
	ctx, span := h.tracer.Start(ctx, "served "+rpc, trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	return h.Handler.HandleRPC(tracedStream{Stream: stream, ctx: ctx}, rpc)
}

// tracedStream is a stream whose context holds the span.
type tracedStream struct {
	drpc.Stream
	ctx context.Context
}

// Context returns the context with the span.
func (s tracedStream) Context() context.Context {
	return s.ctx
}
