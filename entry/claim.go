package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/wigeontiller/wigeontiller/apierror"
	"github.com/wigeontiller/wigeontiller/callerwatch"
	"github.com/wigeontiller/wigeontiller/claim"
	"github.com/wigeontiller/wigeontiller/claim/claimstore"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/upstream"
)

const (
	maxIdempotencyKeyBytes = 255
	// firstVisibleASCII and lastVisibleASCII bound the visible ASCII characters.
	firstVisibleASCII = '!'
	lastVisibleASCII  = '~'
	// claimRetryAfter is the Retry-After of a call that met a claim in progress or an
	// unavailable store.
	claimRetryAfter = time.Second
)

// callClaim is the claim of a call that has an idempotency key.
type callClaim struct {
	call   claimstore.Call
	holder *claimstore.Held
	// dispatched is set before the first send. From then on the call runs to its
	// end even if the caller disconnects, so that a repeat gets the response.
	dispatched atomic.Bool
}

// idempotencyKey returns the caller's idempotency key, or "" if it sent none.
func idempotencyKey(c *fiber.Ctx) (string, *apierror.Error) {
	values := c.Request().Header.PeekAll(headerIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	invalid := apierror.New(fiber.StatusBadRequest, apierror.BadRequest, headerIdempotencyKey+" must be one value of 1 to 255 visible ASCII characters")
	key := string(values[0])
	if len(values) > 1 || key == "" || len(key) > maxIdempotencyKeyBytes {
		return "", invalid
	}
	for _, character := range []byte(key) {
		if character < firstVisibleASCII || character > lastVisibleASCII {
			return "", invalid
		}
	}
	return key, nil
}

// setIdempotencyKey makes the call run at most once under the key. Whatever its
// method, it is never sent again after it may have been executed.
func (accepted *call) setIdempotencyKey(key string) {
	request := accepted.request
	accepted.idempotent = false
	accepted.claim = &callClaim{call: claimstore.Call{
		Scope: claim.Scope{
			Environment:  request.Plan.Environment,
			Lane:         string(request.Plan.Lane),
			Organisation: request.Organisation.Name,
			Key:          key,
		},
		Fingerprint: claim.Fingerprint(request.Service, accepted.method, accepted.path, accepted.body),
		Deadline:    request.Deadline,
		Retention:   request.Plan.Document.AtMostOnce.Retention,
	}}
}

// mayDispatch reports whether the call may be sent now. It is called immediately
// before each send.
func (accepted *call) mayDispatch() bool {
	if accepted.claim == nil {
		return true
	}
	accepted.claim.dispatched.Store(true)
	return accepted.claim.holder.MayDispatch()
}

// serveKeyed runs a call with an idempotency key at most once and stores its outcome.
func (s *Server) serveKeyed(c *fiber.Ctx, accepted *call) error {
	s.inFlight.Add(1)
	defer s.inFlight.Done()
	ctx, cancel := context.WithDeadline(withCallerTrace(s.ctx, c), accepted.request.Deadline)
	defer cancel()
	ctx, span := s.startEntrySpan(ctx, accepted)
	defer span.End()
	go callerwatch.Watch(ctx, c.Context().Conn(), func() {
		if !accepted.claim.dispatched.Load() {
			cancel()
		}
	})
	holder, answered := s.acquireClaim(ctx, accepted)
	if answered != nil {
		return s.sendNotExecuted(c, accepted, answered)
	}
	accepted.claim.holder = holder
	response, failure := s.sendWithRetries(ctx, accepted)
	if failure != nil {
		endFailedClaim(holder, failure)
		failure.RequestID = accepted.requestID
		return s.sendError(c, failure)
	}
	defer response.close(scheduling.Outcome{})
	s.config.Metrics.FirstToken(time.Since(accepted.request.Arrived))
	holder.Complete(claimResult(response))
	return s.sendResponse(c, response)
}

// acquireClaim claims the idempotency key of the call. If the call must not be
// executed, it returns the result to respond with instead.
func (s *Server) acquireClaim(ctx context.Context, accepted *call) (*claimstore.Held, *claimstore.Answered) {
	ctx, span := s.config.Tracer.Start(ctx, "claim")
	defer span.End()
	return s.config.Claims.Claim(ctx, accepted.claim.call)
}

func endFailedClaim(holder *claimstore.Held, failure *apierror.Error) {
	if failure.Execution == apierror.NotExecuted {
		holder.Release()
		return
	}
	holder.MarkUnknown()
}

func claimResult(response *upstreamResponse) claim.Result {
	result := claim.Result{Status: response.reply.Status, Body: response.body}
	for _, field := range endToEndFields(response.reply.Fields) {
		result.Header = append(result.Header, claim.HeaderField(field))
	}
	return result
}

// sendNotExecuted responds to a call that must not be executed: with the stored
// response of the first call, or with an error.
func (s *Server) sendNotExecuted(c *fiber.Ctx, accepted *call, answered *claimstore.Answered) error {
	if answered.Verdict != claim.Replay || answered.Result == nil {
		failure := verdictFailure(answered.Verdict)
		failure.RequestID = accepted.requestID
		return s.sendError(c, failure)
	}
	var fields []upstream.Field
	for _, field := range answered.Result.Header {
		fields = append(fields, upstream.Field(field))
	}
	c.Set(headerReplayed, "true")
	return writeResponse(c, answered.Result.Status, fields, answered.Result.Body)
}

func verdictFailure(verdict claim.Verdict) *apierror.Error {
	switch verdict {
	case claim.KeyReused:
		return apierror.New(fiber.StatusConflict, apierror.IdempotencyKeyReused, "the idempotency key was used for another call")
	case claim.InProgress:
		failure := apierror.New(fiber.StatusConflict, apierror.InProgress, "another call under the idempotency key has not ended")
		failure.RetryAfter = claimRetryAfter
		return failure
	case claim.OutcomeUnknown:
		failure := apierror.New(fiber.StatusConflict, apierror.OutcomeUnknown, "an earlier call under the idempotency key may have run")
		failure.Execution = apierror.MayHaveExecuted
		return failure
	case claim.Replay:
		failure := apierror.New(fiber.StatusServiceUnavailable, apierror.PlatformUnavailable, "the call ran; its kept answer can't be read now")
		failure.Execution = apierror.Executed
		failure.RetryAfter = claimRetryAfter
		return failure
	case claim.StoreUnavailable:
	}
	failure := apierror.New(fiber.StatusServiceUnavailable, apierror.PlatformUnavailable, "the store is not available, and a keyed call does not run without it")
	failure.RetryAfter = claimRetryAfter
	return failure
}
