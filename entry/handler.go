// Package entry is the callers' HTTP interface of an entry node.
package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/trace"

	"github.com/wigeontiller/wigeontiller/apierror"
	"github.com/wigeontiller/wigeontiller/claim/claimstore"
	"github.com/wigeontiller/wigeontiller/dispatch"
	"github.com/wigeontiller/wigeontiller/openconn"
	"github.com/wigeontiller/wigeontiller/resume"
	"github.com/wigeontiller/wigeontiller/telemetry"
	"github.com/wigeontiller/wigeontiller/upstream"
)

const (
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 16 << 10
	// maxBodyBytes bounds any request's body; a document may set less.
	maxBodyBytes = 64 << 20
	// readTimeout is the time that a caller has to send its request.
	readTimeout = 30 * time.Second
	// defaultWriteTimeout is the time that a caller has to take a whole answer.
	defaultWriteTimeout = 30 * time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 2 * time.Minute
)

// Config holds what the handlers work with; every field is required.
type Config struct {
	Dispatcher *dispatch.Dispatcher
	Upstreams  *upstream.Client
	Logger     zerolog.Logger
	Tracer     trace.Tracer
	Metrics    *telemetry.Metrics
	Claims     *claimstore.Store
	// Tokens signs the tokens that streams are resumed with.
	Tokens *resume.Signer
	// Owner names this process to engines.
	Owner string
	// WriteTimeout is the time that a caller has to take a whole answer.
	// Default 30s. A stream has until its deadline.
	WriteTimeout time.Duration
}

// Server serves callers.
type Server struct {
	config   Config
	app      *fiber.App
	inFlight sync.WaitGroup
	// draining is set when the node no longer accepts new requests.
	draining atomic.Bool
	// cleanups waits for cancels that outlive their request.
	cleanups sync.WaitGroup
	// callers holds the connections that callers have open.
	callers openconn.Set
	// held holds the ID of each attempt that has not ended.
	held sync.Map
	ctx  context.Context
	stop context.CancelFunc
}

// NewServer returns a server with its routes.
func NewServer(config Config) *Server {
	if config.WriteTimeout == 0 {
		config.WriteTimeout = defaultWriteTimeout
	}
	ctx, stop := context.WithCancel(context.Background())
	server := &Server{config: config, ctx: ctx, stop: stop}
	server.app = fiber.New(fiber.Config{
		BodyLimit:             maxBodyBytes,
		ReadBufferSize:        maxHeaderBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		DisableStartupMessage: true,
		ErrorHandler:          server.libraryError,
	})
	server.app.Use(server.limitWrite)
	server.app.Server().ConnState = server.connState
	server.app.Post("/v1/chat/completions", server.completion)
	server.app.Post("/v1/completions", server.completion)
	server.app.Get("/v1/requests/:id/stream", server.resumeStream)
	server.app.All("/services/:name/*", server.service)
	return server
}

// limitWrite bounds how long a slow caller can hold a connection with an answer
// that is not a stream. It is set when the answer is ready, before it is written.
func (s *Server) limitWrite(c *fiber.Ctx) error {
	err := c.Next()
	if err != nil {
		err = s.libraryError(c, err)
	}
	if !c.Response().IsBodyStream() && isNetwork(c.Context().Conn()) {
		_ = c.Context().Conn().SetWriteDeadline(time.Now().Add(s.config.WriteTimeout))
	}
	return err
}

func (s *Server) connState(conn net.Conn, state fasthttp.ConnState) {
	s.callers.TrackState(conn, state)
	clearWriteLimit(conn, state)
}

// clearWriteLimit lets the server write to a connection again whose last answer
// was written, also before the next request reaches a handler.
func clearWriteLimit(conn net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateIdle {
		_ = conn.SetWriteDeadline(time.Time{})
	}
}

// isNetwork is false for a request that was given to the handlers without a
// connection.
func isNetwork(conn net.Conn) bool {
	switch conn.(type) {
	case *net.TCPConn, *tls.Conn:
		return true
	}
	return false
}

// hold lists an attempt as this node's own until the function returned is called.
func (s *Server) hold(attemptID string) (ended func()) {
	s.held.Store(attemptID, struct{}{})
	return func() { s.held.Delete(attemptID) }
}

// Holds reports whether an attempt of this node has not ended.
func (s *Server) Holds(attemptID string) bool {
	_, holds := s.held.Load(attemptID)
	return holds
}

// HeldAttempts returns the IDs of the attempts that have not ended.
func (s *Server) HeldAttempts() []string {
	var ids []string
	s.held.Range(func(id, _ any) bool {
		ids = append(ids, id.(string))
		return true
	})
	return ids
}

// App returns the HTTP application, for a listener of the caller's choice.
func (s *Server) App() *fiber.App {
	return s.app
}

// Shutdown stops accepting, waits for every request in flight, and closes the
// listener. It returns the context's error when that ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	done := make(chan struct{})
	go func() {
		s.inFlight.Wait()
		s.cleanups.Wait()
		s.config.Claims.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	s.stop()
	return errors.Join(ctx.Err(), s.app.ShutdownWithContext(ctx))
}

// Close ends at once: callers' connections and then those to upstreams are
// closed, and no cancel is sent. The listener's owner closes the listener first.
func (s *Server) Close() {
	s.draining.Store(true)
	s.callers.Close()
	s.config.Upstreams.Close()
	s.stop()
}

// libraryError turns the HTTP library's errors into the callers' form.
func (s *Server) libraryError(c *fiber.Ctx, err error) error {
	var library *fiber.Error
	if !errors.As(err, &library) {
		return s.fail(c, apierror.New(fiber.StatusInternalServerError, apierror.Internal, "internal error"))
	}
	code := apierror.BadRequest
	switch library.Code {
	case fiber.StatusRequestEntityTooLarge:
		code = apierror.BodyTooLarge
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		code = apierror.NotFound
	}
	return s.fail(c, apierror.New(library.Code, code, library.Message))
}

// fail writes an error and counts it.
func (s *Server) fail(c *fiber.Ctx, failure *apierror.Error) error {
	if failure.RequestID == "" {
		failure.RequestID = requestID(c)
	}
	s.config.Metrics.Refusal(string(failure.Code))
	if failure.RetryAfter > 0 {
		seconds := int((failure.RetryAfter + time.Second - 1) / time.Second)
		c.Set(fiber.HeaderRetryAfter, itoa(seconds))
	}
	return c.Status(failure.Status).JSON(failure)
}
