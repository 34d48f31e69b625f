package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/wigeontiller/wigeontiller/apierror"
	"github.com/wigeontiller/wigeontiller/dispatch"
	"github.com/wigeontiller/wigeontiller/retry"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/upstream"
)

const (
	cancelRetryInterval = 250 * time.Millisecond
	cancelTimeout       = time.Second
	// cancelRetryPeriod is how long an unconfirmed cancel is repeated.
	cancelRetryPeriod = 30 * time.Second
)

// upstreamResponse is an upstream's response whose first event or whole body has arrived.
type upstreamResponse struct {
	reply *upstream.Reply
	// placement is nil for a stream that another node placed.
	placement *dispatch.Placement
	attemptID string
	address   string
	// untrack is called when the attempt has ended.
	untrack func()
	// firstEvent is the first event of a stream.
	firstEvent []byte
	events     *upstream.EventReader
	// body is the whole body of a response that is not a stream.
	body []byte
}

// close closes the reply, finishes the placement and untracks the attempt.
func (a *upstreamResponse) close(outcome scheduling.Outcome) {
	a.reply.Close()
	if a.placement != nil {
		a.placement.Finish(outcome)
	}
	a.untrack()
}

// sendWithRetries places and sends a call until a response starts or no further
// attempt is allowed.
func (s *Server) sendWithRetries(ctx context.Context, accepted *call) (*upstreamResponse, *apierror.Error) {
	history := retry.NewHistory(retry.Rules{
		Repeatable: accepted.idempotent, MaxExecutions: accepted.request.Plan.Document.Retry.MaxAttempts,
	})
	watch := newCrashWatch(accepted)
	for {
		if failure := s.blockedFailure(watch, &history); failure != nil {
			return nil, failure
		}
		placement, err := s.place(ctx, accepted)
		if err != nil {
			return nil, placementFailure(err, executionOf(&history))
		}
		if !history.StartAttempt() {
			placement.Finish(scheduling.Outcome{Abandoned: true})
			return nil, attemptFailure(ctx, executionOf(&history))
		}
		attemptID, sentAt := uuid.NewString(), time.Now()
		response, err := s.sendAttempt(ctx, accepted, placement, attemptID)
		if err == nil {
			s.recordAnswer(watch, response.reply.Status)
			return response, nil
		}
		if errors.Is(err, upstream.ErrRefused) {
			if failure := s.waitForRequeue(ctx, accepted, executionOf(&history)); failure != nil {
				return nil, failure
			}
			continue
		}
		if errors.Is(err, upstream.ErrIncomplete) {
			history.RecordMayHaveRun()
			if ctx.Err() == nil {
				s.recordLostAttempt(ctx, watch, placement, attemptID, sentAt)
			}
		}
		if ctx.Err() != nil || !history.MayRetry() || !s.config.Dispatcher.MayRetry(accepted.request) {
			return nil, attemptFailure(ctx, executionOf(&history))
		}
		accepted.request.Avoid = append(accepted.request.Avoid, placement.Upstream.ID)
	}
}

// executionOf returns the execution that an error reports for the call's attempts.
func executionOf(history *retry.History) apierror.Execution {
	if history.NotExecuted() {
		return apierror.NotExecuted
	}
	return apierror.MayHaveExecuted
}

// waitForRequeue waits before a request that a full upstream rejected is placed again.
func (s *Server) waitForRequeue(ctx context.Context, accepted *call, execution apierror.Execution) *apierror.Error {
	pause, ok := s.config.Dispatcher.Requeue(accepted.request)
	if !ok {
		return placementFailure(&dispatch.RefusedError{Reason: scheduling.DeadlineInfeasible}, execution)
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return attemptFailure(ctx, execution)
	}
}

func (s *Server) place(ctx context.Context, accepted *call) (*dispatch.Placement, error) {
	ctx, span := s.config.Tracer.Start(ctx, "queue")
	defer span.End()
	for {
		placement, err := s.config.Dispatcher.Place(ctx, accepted.request)
		if err != nil || placement.InService() {
			return placement, err
		}
		placement.Finish(scheduling.Outcome{Abandoned: true})
	}
}

// sendAttempt sends the call once. It finishes the placement unless it returns a response.
func (s *Server) sendAttempt(ctx context.Context, accepted *call, placement *dispatch.Placement, attemptID string) (*upstreamResponse, error) {
	ctx, span := s.config.Tracer.Start(ctx, "attempt", trace.WithAttributes(
		attribute.String("upstream", placement.Upstream.ID)))
	defer span.End()
	if accepted.request.Model != "" {
		accepted.header[upstream.HeaderPriority] = placement.Priority.String()
		accepted.header[upstream.HeaderOwner] = s.config.Owner
		setKVEngines(accepted.header, placement)
	}
	attempt := &upstream.Attempt{
		ID:       attemptID,
		Address:  placement.Upstream.Address,
		Method:   accepted.method,
		Path:     accepted.path,
		Header:   headerWithTrace(ctx, accepted.header),
		Body:     accepted.body,
		Deadline: accepted.request.Deadline,
	}
	if !accepted.mayDispatch() {
		placement.Finish(scheduling.Outcome{Abandoned: true})
		return nil, upstream.ErrNotSent
	}
	s.config.Metrics.Attempt()
	untrack := s.trackAttempt(attempt.ID)
	reply, err := s.config.Upstreams.Do(ctx, attempt)
	if err != nil {
		s.endFailedAttempt(ctx, accepted, placement, attempt, err)
		return nil, err
	}
	response := &upstreamResponse{
		reply:     reply,
		placement: placement,
		attemptID: attempt.ID,
		address:   attempt.Address,
		untrack:   untrack,
	}
	if err := s.awaitResponseStart(ctx, accepted, response); err != nil {
		s.endFailedAttempt(ctx, accepted, placement, attempt, err)
		return nil, err
	}
	if accepted.stream {
		placement.FirstToken()
	}
	return response, nil
}

// awaitResponseStart waits until the response has started or the context ends. After
// an error the reply is closed once the goroutine that reads it is done.
func (s *Server) awaitResponseStart(ctx context.Context, accepted *call, response *upstreamResponse) error {
	stream := accepted.stream && response.reply.Status == fiber.StatusOK
	started := make(chan error, 1)
	go func() {
		err := s.readResponseStart(accepted, response, stream)
		if err != nil || ctx.Err() != nil {
			response.reply.Close()
			err = upstream.ErrIncomplete
		}
		started <- err
	}()
	select {
	case err := <-started:
		accepted.stream = stream
		return err
	case <-ctx.Done():
		return upstream.ErrIncomplete
	}
}

// readResponseStart reads the first event of a stream, or the whole body of any
// other response.
func (s *Server) readResponseStart(accepted *call, response *upstreamResponse, stream bool) error {
	if response.reply.Status >= fiber.StatusInternalServerError && accepted.request.Model != "" {
		return upstream.ErrIncomplete
	}
	if !stream {
		body, err := io.ReadAll(response.reply.Body())
		response.body = body
		return brokenOnError(err)
	}
	response.events = upstream.NewEventReader(response.reply.Body())
	first, err := response.events.Next()
	response.firstEvent = first
	return brokenOnError(err)
}

func brokenOnError(err error) error {
	if err != nil {
		return upstream.ErrIncomplete
	}
	return nil
}

// endFailedAttempt finishes the placement: at once if the attempt can't be running,
// otherwise when the engine no longer lists it or cancels are no longer repeated.
func (s *Server) endFailedAttempt(ctx context.Context, accepted *call, placement *dispatch.Placement, attempt *upstream.Attempt, err error) {
	outcome := failedOutcome(ctx)
	if errors.Is(err, upstream.ErrRefused) {
		outcome = scheduling.Outcome{Refused: true}
	}
	if accepted.request.Model == "" || !errors.Is(err, upstream.ErrIncomplete) {
		placement.Finish(outcome)
		s.activeAttempts.Delete(attempt.ID)
		return
	}
	s.backgroundCancels.Add(1)
	go func() {
		defer s.backgroundCancels.Done()
		defer s.activeAttempts.Delete(attempt.ID)
		s.cancelUntilConfirmed(attempt)
		placement.Finish(outcome)
	}()
}

// failedOutcome counts no failure against the upstream if the caller disconnected.
func failedOutcome(ctx context.Context) scheduling.Outcome {
	disconnected := errors.Is(ctx.Err(), context.Canceled)
	return scheduling.Outcome{Failed: !disconnected, Abandoned: disconnected}
}

func (s *Server) cancelUntilConfirmed(attempt *upstream.Attempt) {
	end := time.Now().Add(cancelRetryPeriod)
	for time.Now().Before(end) && s.ctx.Err() == nil {
		if s.config.Upstreams.Cancel(attempt.Address, attempt.ID, time.Now().Add(cancelTimeout)) {
			return
		}
		time.Sleep(cancelRetryInterval)
	}
	s.config.Logger.Warn().Str("attempt_id", attempt.ID).Str("address", attempt.Address).Msg("cancel not confirmed")
}

func placementFailure(err error, execution apierror.Execution) *apierror.Error {
	failure := disconnectedFailure()
	var refused *dispatch.RefusedError
	if errors.As(err, &refused) {
		failure = refusedFailure(refused)
	}
	if errors.Is(err, dispatch.ErrUnconfirmed) {
		failure = unconfirmedFailure()
	}
	failure.Execution = execution
	return failure
}

func disconnectedFailure() *apierror.Error {
	return apierror.New(fiber.StatusRequestTimeout, apierror.CallerDisconnected, "the caller left")
}

// unconfirmedFailure tells the caller to retry, so that it reaches another node.
func unconfirmedFailure() *apierror.Error {
	failure := apierror.New(fiber.StatusServiceUnavailable, apierror.NotReady, "the node can't confirm its configuration")
	failure.RetryAfter = time.Second
	return failure
}

func refusedFailure(refused *dispatch.RefusedError) *apierror.Error {
	failure := apierror.New(fiber.StatusServiceUnavailable, apierror.Overloaded, "too many requests wait")
	switch refused.Reason {
	case scheduling.NoUpstream:
		failure = apierror.New(fiber.StatusServiceUnavailable, apierror.NoUpstream, "no upstream in service can run the request")
	case scheduling.DeadlineInfeasible:
		failure = apierror.New(fiber.StatusServiceUnavailable, apierror.DeadlineInfeasible, "the answer can't end before the deadline")
	case scheduling.DeadlinePassed:
		failure = apierror.New(fiber.StatusGatewayTimeout, apierror.DeadlineExceeded, "the deadline passed before the request ran")
	case scheduling.RateLimited:
		failure = apierror.New(fiber.StatusTooManyRequests, apierror.RateLimited, "the organisation is over its limit")
	case scheduling.Unavailable:
		failure.Message = "no upstream can take the request for now"
	case scheduling.QueueFull:
	}
	failure.RetryAfter = refused.RetryAfter
	return failure
}

func attemptFailure(ctx context.Context, execution apierror.Execution) *apierror.Error {
	failure := apierror.New(fiber.StatusBadGateway, apierror.UpstreamFailed, "the upstream did not answer")
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		failure = apierror.New(fiber.StatusGatewayTimeout, apierror.DeadlineExceeded, "the deadline passed")
	}
	failure.Execution = execution
	return failure
}
