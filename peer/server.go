package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"

	"go.opentelemetry.io/otel/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// maxMessageBytes limits one message; documents are the largest messages.
const maxMessageBytes = 16 << 20

// Server serves calls from other nodes.
type Server struct {
	mux    *drpcmux.Mux
	config *tls.Config
	tracer trace.Tracer
}

// NewServer returns a server without services. With a nil config it serves without
// TLS, which only a demonstration in one process may do.
func NewServer(config *tls.Config, tracer trace.Tracer) *Server {
	return &Server{mux: drpcmux.New(), config: config, tracer: tracer}
}

// Register adds a service; call it before Serve.
func (s *Server) Register(register func(drpc.Mux) error) error {
	return register(s.mux)
}

// Serve serves until the context ends, then closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if s.config != nil {
		listener = tls.NewListener(listener, s.config)
	}
	options := drpcserver.Options{Manager: managerOptions()}
	err := drpcserver.NewWithOptions(tracedHandler{Handler: s.mux, tracer: s.tracer}, options).Serve(ctx, listener)
	if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}
