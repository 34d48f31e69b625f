package entry

import (
	"bytes"
	"context"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/wigeontiller/wigeontiller/apierror"
	"github.com/wigeontiller/wigeontiller/callerwatch"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/scheduling/prefix"
	"github.com/wigeontiller/wigeontiller/upstream"
)

// call is an accepted request with all that is needed to send it.
type call struct {
	request *scheduling.Request
	// requestID is the request ID that the caller sees; request.ID is internal.
	requestID string
	method    string
	path      string
	header    map[string]string
	// body is a copy: the HTTP library reuses its own buffer after the handler returns.
	body []byte
	// stream is true if the response is a stream of events.
	stream bool
	// idempotent is true if the call may be sent again after it may have been executed.
	idempotent bool
	// claim is set if the call has an idempotency key.
	claim *callClaim
}

// completion handles both completion routes.
func (s *Server) completion(c *fiber.Ctx) error {
	accepted, failure := s.acceptCompletion(c)
	if failure != nil {
		return s.sendError(c, failure)
	}
	return s.serve(c, accepted)
}

func (s *Server) acceptCompletion(c *fiber.Ctx) (*call, *apierror.Error) {
	caller, failure := s.authenticate(c)
	if failure != nil {
		return nil, failure
	}
	limits := caller.Plan.Document.Limits
	if len(c.Body()) > limits.BodyBytes {
		return nil, apierror.New(fiber.StatusRequestEntityTooLarge, apierror.BodyTooLarge, "the body is over the environment's limit")
	}
	parsed, failure := parsePrompt(c.Body(), limits.DefaultMaxTokens)
	if failure != nil {
		return nil, failure
	}
	if !caller.Plan.HasModel(parsed.model) {
		return nil, apierror.New(fiber.StatusNotFound, apierror.NotFound, "the model is not known")
	}
	request, failure := newRequest(c, caller, parsed.estimatedTokens())
	if failure != nil {
		return nil, failure
	}
	request.Model = parsed.model
	request.MaxTokens = parsed.maxTokens
	scope := prefixScope(request)
	request.PrefixHash = prefix.Hash(scope, parsed.promptJSON)
	return &call{
		request:    request,
		requestID:  requestID(c),
		method:     fiber.MethodPost,
		path:       string(c.Request().URI().Path()),
		header:     newEngineHeader(request, scope),
		body:       bytes.Clone(c.Body()),
		stream:     parsed.stream,
		idempotent: true,
	}, nil
}

// prefixScope limits which prompts may share a cached prefix to those of one
// organisation, environment, lane and model, so that no other organisation can infer
// from response times what was sent.
func prefixScope(request *scheduling.Request) prefix.Scope {
	return prefix.Scope{
		Environment:  request.Plan.Environment,
		Lane:         string(request.Plan.Lane),
		Organisation: request.Organisation.Name,
		Model:        request.Model,
	}
}

func newEngineHeader(request *scheduling.Request, scope prefix.Scope) map[string]string {
	return map[string]string{
		upstream.HeaderCacheSalt: scope.Salt(),
		fiber.HeaderContentType:  fiber.MIMEApplicationJSON,
		upstream.HeaderPriority:  request.Priority.String(),
	}
}

// startCall starts the span and the context of a call. The context ends at the
// deadline or when the caller disconnects. finish is called once, at the end of the call.
func (s *Server) startCall(c *fiber.Ctx, accepted *call) (ctx context.Context, finish func()) {
	s.inFlight.Add(1)
	ctx, cancel := context.WithDeadline(withCallerTrace(s.ctx, c), accepted.request.Deadline)
	ctx, span := s.startEntrySpan(ctx, accepted)
	go callerwatch.Watch(ctx, c.Context().Conn(), cancel)
	return ctx, func() {
		cancel()
		span.End()
		s.inFlight.Done()
	}
}

// serve runs a call to its end or, for a stream, to its first event.
func (s *Server) serve(c *fiber.Ctx, accepted *call) error {
	ctx, finish := s.startCall(c, accepted)
	response, failure := s.sendWithRetries(ctx, accepted)
	if failure != nil {
		finish()
		failure.RequestID = accepted.requestID
		return s.sendError(c, failure)
	}
	s.config.Metrics.FirstToken(time.Since(accepted.request.Arrived))
	if accepted.stream {
		s.sendStream(ctx, c, s.newRelay(accepted, response), finish)
		return nil
	}
	defer finish()
	outcome := responseOutcome(response)
	s.countUsage(accepted.request, outcome)
	defer response.close(outcome)
	return s.sendResponse(c, response)
}

func (s *Server) sendResponse(c *fiber.Ctx, response *upstreamResponse) error {
	return writeResponse(c, response.reply.Status, endToEndFields(response.reply.Fields), response.body)
}
