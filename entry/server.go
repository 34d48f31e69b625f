// Package entry implements the callers' HTTP interface of an entry node.
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
	"github.com/wigeontiller/wigeontiller/blocklist"
	"github.com/wigeontiller/wigeontiller/claim/claimstore"
	"github.com/wigeontiller/wigeontiller/dispatch"
	"github.com/wigeontiller/wigeontiller/openconn"
	"github.com/wigeontiller/wigeontiller/quarantine"
	"github.com/wigeontiller/wigeontiller/resume"
	"github.com/wigeontiller/wigeontiller/telemetry"
	"github.com/wigeontiller/wigeontiller/upstream"
)

const (
	// maxHeaderBytes is the maximum size of a request's header.
	maxHeaderBytes = 16 << 10
	// maxBodyBytes is the maximum size of any request's body; an environment's document
	// may set a lower limit.
	maxBodyBytes = 64 << 20
	// readTimeout is the time that a caller has to send its request.
	readTimeout = 30 * time.Second
	// defaultWriteTimeout is the time that a caller has to receive a response that is not
	// a stream.
	defaultWriteTimeout = 30 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 2 * time.Minute
)

// Config holds the dependencies of a Server. Every field but WriteTimeout is required.
type Config struct {
	Dispatcher *dispatch.Dispatcher
	Upstreams  *upstream.Client
	Logger     zerolog.Logger
	Tracer     trace.Tracer
	Metrics    *telemetry.Metrics
	Claims     *claimstore.Store
	// ResumeSigner signs and verifies the tokens that streams are resumed with.
	ResumeSigner *resume.Signer
	// Owner identifies this process to engines.
	Owner string
	// WriteTimeout is the time that a caller has to receive a response that is not a
	// stream. The default is 30 s. A stream has until its deadline.
	WriteTimeout time.Duration
}

// Server handles callers' requests.
type Server struct {
	config   Config
	app      *fiber.App
	inFlight sync.WaitGroup
	// draining is set when the node no longer accepts new requests.
	draining atomic.Bool
	// backgroundCancels counts the cancels that outlive their request.
	backgroundCancels sync.WaitGroup
	// callerConns holds the open connections of callers.
	callerConns openconn.Set
	// activeAttempts holds the ID of each attempt that has not ended.
	activeAttempts sync.Map
	// blocked holds the calls that crash upstreams. It is this node's own: nodes tell each other nothing
	// of it, and each grants its trials itself.
	blocked *blocklist.Blocklist
	ctx     context.Context
	stop    context.CancelFunc
}

// NewServer returns a server with its routes registered.
func NewServer(config Config) *Server {
	if config.WriteTimeout == 0 {
		config.WriteTimeout = defaultWriteTimeout
	}
	ctx, stop := context.WithCancel(context.Background())
	server := &Server{config: config, ctx: ctx, stop: stop}
	started := time.Now()
	server.blocked = blocklist.New(func() time.Duration { return time.Since(started) }, config.Logger, config.Metrics, func() {})
	server.blocked.Trial = func(block *quarantine.Block) { server.blocked.GrantTrial(block.Key) }
	server.app = fiber.New(fiber.Config{
		BodyLimit:             maxBodyBytes,
		ReadBufferSize:        maxHeaderBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		DisableStartupMessage: true,
		ErrorHandler:          server.handleError,
	})
	server.app.Use(server.setWriteDeadline)
	server.app.Server().ConnState = server.connStateChanged
	server.app.Post("/v1/chat/completions", server.completion)
	server.app.Post("/v1/completions", server.completion)
	server.app.Get("/v1/requests/:id/stream", server.resumeStream)
	server.app.All("/services/:name/*", server.service)
	return server
}

// setWriteDeadline limits how long a slow caller can hold a connection with a response
// that is not a stream. The deadline is set when the response is ready, before it is written.
func (s *Server) setWriteDeadline(c *fiber.Ctx) error {
	err := c.Next()
	if err != nil {
		err = s.handleError(c, err)
	}
	if !c.Response().IsBodyStream() && isNetworkConn(c.Context().Conn()) {
		_ = c.Context().Conn().SetWriteDeadline(time.Now().Add(s.config.WriteTimeout))
	}
	return err
}

func (s *Server) connStateChanged(conn net.Conn, state fasthttp.ConnState) {
	s.callerConns.TrackState(conn, state)
	clearWriteDeadline(conn, state)
}

// clearWriteDeadline removes the write deadline of a connection whose last response
// is written, so that the server can write before the next request reaches a handler.
func clearWriteDeadline(conn net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateIdle {
		_ = conn.SetWriteDeadline(time.Time{})
	}
}

// isNetworkConn is false for a request that was passed to the handlers without a
// connection.
func isNetworkConn(conn net.Conn) bool {
	switch conn.(type) {
	case *net.TCPConn, *tls.Conn:
		return true
	}
	return false
}

// trackAttempt lists an attempt as active at this node until untrack is called.
func (s *Server) trackAttempt(attemptID string) (untrack func()) {
	s.activeAttempts.Store(attemptID, struct{}{})
	return func() { s.activeAttempts.Delete(attemptID) }
}

// HasActiveAttempt reports whether an attempt of this node has not ended.
func (s *Server) HasActiveAttempt(attemptID string) bool {
	_, active := s.activeAttempts.Load(attemptID)
	return active
}

// ActiveAttempts returns the IDs of the attempts that have not ended.
func (s *Server) ActiveAttempts() []string {
	var ids []string
	s.activeAttempts.Range(func(id, _ any) bool {
		ids = append(ids, id.(string))
		return true
	})
	return ids
}

// App returns the HTTP application, to be served on a listener.
func (s *Server) App() *fiber.App {
	return s.app
}

// Shutdown stops accepting requests, waits for those in flight, for background cancels
// and for the claim store, and closes the listener. If the context ends first, its
// error is returned.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	done := make(chan struct{})
	go func() {
		s.inFlight.Wait()
		s.backgroundCancels.Wait()
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

// Close stops the server at once: it closes callers' connections, then those to
// upstreams, and sends no cancels. The owner of the listener closes it first.
func (s *Server) Close() {
	s.draining.Store(true)
	s.callerConns.Close()
	s.config.Upstreams.Close()
	s.stop()
}

// handleError responds with an API error in place of an error of the HTTP library.
func (s *Server) handleError(c *fiber.Ctx, err error) error {
	var fiberErr *fiber.Error
	if !errors.As(err, &fiberErr) {
		return s.sendError(c, apierror.New(fiber.StatusInternalServerError, apierror.Internal, "internal error"))
	}
	code := apierror.BadRequest
	switch fiberErr.Code {
	case fiber.StatusRequestEntityTooLarge:
		code = apierror.BodyTooLarge
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		code = apierror.NotFound
	}
	return s.sendError(c, apierror.New(fiberErr.Code, code, fiberErr.Message))
}

// sendError sends an error to the caller and counts it.
func (s *Server) sendError(c *fiber.Ctx, failure *apierror.Error) error {
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
