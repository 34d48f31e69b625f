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
	maxKeyBytes = 255
	// firstVisible and lastVisible bound the visible ASCII characters.
	firstVisible = '!'
	lastVisible  = '~'
	// claimRetryAfter is when a call that met another or no store may come back.
	claimRetryAfter = time.Second
)

// claimedCall is what a call with an idempotency key carries.
type claimedCall struct {
	call claimstore.Call
	held *claimstore.Held
	// dispatched is set before the first send. From then on the call runs to
	// its end also when the caller leaves, so that a repeat gets the answer.
	dispatched atomic.Bool
}

// idempotencyKey returns the caller's key, or "" when there is none.
func idempotencyKey(c *fiber.Ctx) (string, *apierror.Error) {
	values := c.Request().Header.PeekAll(headerKey)
	if len(values) == 0 {
		return "", nil
	}
	invalid := apierror.New(fiber.StatusBadRequest, apierror.BadRequest, headerKey+" must be one value of 1 to 255 visible ASCII characters")
	key := string(values[0])
	if len(values) > 1 || key == "" || len(key) > maxKeyBytes {
		return "", invalid
	}
	for _, character := range []byte(key) {
		if character < firstVisible || character > lastVisible {
			return "", invalid
		}
	}
	return key, nil
}

// bind ties the call to its key. A keyed call is never sent again after it may
// have run, whatever its method.
func (accepted *call) bind(key string) {
	request := accepted.request
	accepted.idempotent = false
	accepted.claim = &claimedCall{call: claimstore.Call{
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

// dispatch reports whether the call may be sent now; it is asked directly
// before each send.
func (accepted *call) dispatch() bool {
	if accepted.claim == nil {
		return true
	}
	accepted.claim.dispatched.Store(true)
	return accepted.claim.held.MayDispatch()
}

// serveClaimed runs a keyed call at most once and keeps its outcome.
func (s *Server) serveClaimed(c *fiber.Ctx, accepted *call) error {
	s.inFlight.Add(1)
	defer s.inFlight.Done()
	ctx, cancel := context.WithDeadline(callerTrace(s.ctx, c), accepted.request.Deadline)
	defer cancel()
	ctx, span := s.startEntry(ctx, accepted)
	defer span.End()
	go callerwatch.Watch(ctx, c.Context().Conn(), func() {
		if !accepted.claim.dispatched.Load() {
			cancel()
		}
	})
	held, answered := s.claim(ctx, accepted)
	if answered != nil {
		return s.sendAnswered(c, accepted, answered)
	}
	accepted.claim.held = held
	answer, failure := s.attempts(ctx, accepted)
	if failure != nil {
		settleFailure(held, failure)
		failure.RequestID = accepted.callerID
		return s.fail(c, failure)
	}
	defer answer.close(scheduling.Outcome{})
	s.config.Metrics.FirstToken(time.Since(accepted.request.Arrived))
	held.Complete(resultOf(answer))
	return s.sendWhole(c, answer)
}

// claim claims the call's key, or returns what a repeat is answered with.
func (s *Server) claim(ctx context.Context, accepted *call) (*claimstore.Held, *claimstore.Answered) {
	ctx, span := s.config.Tracer.Start(ctx, "claim")
	defer span.End()
	return s.config.Claims.Claim(ctx, accepted.claim.call)
}

func settleFailure(held *claimstore.Held, failure *apierror.Error) {
	if failure.Execution == apierror.NotRun {
		held.Release()
		return
	}
	held.MarkUnknown()
}

func resultOf(answer *answer) claim.Result {
	result := claim.Result{Status: answer.reply.Status, Body: answer.whole}
	for _, field := range endToEnd(answer.reply.Fields) {
		result.Header = append(result.Header, claim.HeaderField(field))
	}
	return result
}

// sendAnswered answers a call that does not run.
func (s *Server) sendAnswered(c *fiber.Ctx, accepted *call, answered *claimstore.Answered) error {
	if answered.Verdict != claim.Replay || answered.Result == nil {
		failure := verdictFailure(answered.Verdict)
		failure.RequestID = accepted.callerID
		return s.fail(c, failure)
	}
	var fields []upstream.Field
	for _, field := range answered.Result.Header {
		fields = append(fields, upstream.Field(field))
	}
	c.Set(headerReplayed, "true")
	return sendFields(c, answered.Result.Status, fields, answered.Result.Body)
}

func verdictFailure(verdict claim.Verdict) *apierror.Error {
	switch verdict {
	case claim.KeyReused:
		return apierror.New(fiber.StatusConflict, apierror.KeyReused, "the idempotency key was used for another call")
	case claim.InProgress:
		failure := apierror.New(fiber.StatusConflict, apierror.InProgress, "another call under the idempotency key has not ended")
		failure.RetryAfter = claimRetryAfter
		return failure
	case claim.OutcomeUnknown:
		failure := apierror.New(fiber.StatusConflict, apierror.OutcomeUnknown, "an earlier call under the idempotency key may have run")
		failure.Execution = apierror.MayHaveRun
		return failure
	case claim.Replay:
		failure := apierror.New(fiber.StatusServiceUnavailable, apierror.PlatformUnavailable, "the call ran; its kept answer can't be read now")
		failure.Execution = apierror.Ran
		failure.RetryAfter = claimRetryAfter
		return failure
	case claim.StoreUnavailable:
	}
	failure := apierror.New(fiber.StatusServiceUnavailable, apierror.PlatformUnavailable, "the store is not available, and a keyed call does not run without it")
	failure.RetryAfter = claimRetryAfter
	return failure
}
