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
	cancelInterval = 250 * time.Millisecond
	cancelTimeout  = time.Second
	// cancelPeriod is how long a cancel is repeated before it is given up.
	cancelPeriod = 30 * time.Second
)

// answer is an upstream's answer whose first part has arrived.
type answer struct {
	reply *upstream.Reply
	// placement is nil for a stream that another node placed.
	placement *dispatch.Placement
	attemptID string
	address   string
	// ended is called when the attempt has ended.
	ended func()
	// first is the first event of a stream.
	first  []byte
	events *upstream.EventReader
	// whole is the body of an answer that is not a stream.
	whole []byte
}

// close frees the connection and the place.
func (a *answer) close(outcome scheduling.Outcome) {
	a.reply.Close()
	if a.placement != nil {
		a.placement.Finish(outcome)
	}
	a.ended()
}

// attempts places and sends a call until an answer starts or the call is given up.
func (s *Server) attempts(ctx context.Context, accepted *call) (*answer, *apierror.Error) {
	history := retry.NewHistory(retry.Rules{
		Repeatable: accepted.idempotent, MaxExecutions: accepted.request.Plan.Document.Retry.MaxAttempts,
	})
	for {
		placement, err := s.place(ctx, accepted)
		if err != nil {
			return nil, placeFailure(err, execution(&history))
		}
		if !history.StartAttempt() {
			placement.Finish(scheduling.Outcome{Abandoned: true})
			return nil, attemptFailure(ctx, execution(&history))
		}
		got, err := s.attempt(ctx, accepted, placement)
		if err == nil {
			return got, nil
		}
		if errors.Is(err, upstream.ErrRefused) {
			if failure := s.requeue(ctx, accepted, execution(&history)); failure != nil {
				return nil, failure
			}
			continue
		}
		if errors.Is(err, upstream.ErrIncomplete) {
			history.RecordMayHaveRun()
		}
		if ctx.Err() != nil || !history.MayRetry() || !s.config.Dispatcher.MayRetry(accepted.request) {
			return nil, attemptFailure(ctx, execution(&history))
		}
		accepted.request.Avoid = append(accepted.request.Avoid, placement.Upstream.ID)
	}
}

// execution is what an error answer says of the call's attempts.
func execution(history *retry.History) apierror.Execution {
	if history.NotExecuted() {
		return apierror.NotRun
	}
	return apierror.MayHaveRun
}

// requeue waits before a request that a full upstream refused is placed again.
func (s *Server) requeue(ctx context.Context, accepted *call, execution apierror.Execution) *apierror.Error {
	pause, ok := s.config.Dispatcher.Requeue(accepted.request)
	if !ok {
		return placeFailure(&dispatch.RefusedError{Reason: scheduling.DeadlineInfeasible}, execution)
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

// attempt sends the call once. The placement is finished unless an answer is returned.
func (s *Server) attempt(ctx context.Context, accepted *call, placement *dispatch.Placement) (*answer, error) {
	ctx, span := s.config.Tracer.Start(ctx, "attempt", trace.WithAttributes(
		attribute.String("upstream", placement.Upstream.ID)))
	defer span.End()
	if accepted.request.Model != "" {
		accepted.header[upstream.HeaderPriority] = placement.Priority.String()
		accepted.header[upstream.HeaderOwner] = s.config.Owner
		nameGroup(accepted.header, placement)
	}
	attempt := &upstream.Attempt{
		ID:       uuid.NewString(),
		Address:  placement.Upstream.Address,
		Method:   accepted.method,
		Path:     accepted.path,
		Header:   traced(ctx, accepted.header),
		Body:     accepted.body,
		Deadline: accepted.request.Deadline,
	}
	if !accepted.dispatch() {
		placement.Finish(scheduling.Outcome{Abandoned: true})
		return nil, upstream.ErrNotSent
	}
	s.config.Metrics.Attempt()
	ended := s.hold(attempt.ID)
	reply, err := s.config.Upstreams.Do(ctx, attempt)
	if err != nil {
		s.giveUp(ctx, accepted, placement, attempt, err)
		return nil, err
	}
	got := &answer{
		reply:     reply,
		placement: placement,
		attemptID: attempt.ID,
		address:   attempt.Address,
		ended:     ended,
	}
	if err := s.beginOrLeave(ctx, accepted, got); err != nil {
		s.giveUp(ctx, accepted, placement, attempt, err)
		return nil, err
	}
	if accepted.stream {
		placement.FirstToken()
	}
	return got, nil
}

// beginOrLeave returns when the answer has begun, or at once when the context
// ends. On an error the reply is closed when its reader is done with it.
func (s *Server) beginOrLeave(ctx context.Context, accepted *call, got *answer) error {
	stream := accepted.stream && got.reply.Status == fiber.StatusOK
	begun := make(chan error, 1)
	go func() {
		err := s.begin(accepted, got, stream)
		if err != nil || ctx.Err() != nil {
			got.reply.Close()
			err = upstream.ErrIncomplete
		}
		begun <- err
	}()
	select {
	case err := <-begun:
		accepted.stream = stream
		return err
	case <-ctx.Done():
		return upstream.ErrIncomplete
	}
}

// begin reads the first event of a stream, or all of another answer.
func (s *Server) begin(accepted *call, got *answer, stream bool) error {
	if got.reply.Status >= fiber.StatusInternalServerError && accepted.request.Model != "" {
		return upstream.ErrIncomplete
	}
	if !stream {
		whole, err := io.ReadAll(got.reply.Body())
		got.whole = whole
		return brokenIf(err)
	}
	got.events = upstream.NewEventReader(got.reply.Body())
	first, err := got.events.Next()
	got.first = first
	return brokenIf(err)
}

func brokenIf(err error) error {
	if err != nil {
		return upstream.ErrIncomplete
	}
	return nil
}

// giveUp frees the place at once when the attempt can't be running, and
// otherwise when the engine's list shows it gone.
func (s *Server) giveUp(ctx context.Context, accepted *call, placement *dispatch.Placement, attempt *upstream.Attempt, err error) {
	failed := failedOutcome(ctx)
	if errors.Is(err, upstream.ErrRefused) {
		failed = scheduling.Outcome{Refused: true}
	}
	if accepted.request.Model == "" || !errors.Is(err, upstream.ErrIncomplete) {
		placement.Finish(failed)
		s.held.Delete(attempt.ID)
		return
	}
	s.cleanups.Add(1)
	go func() {
		defer s.cleanups.Done()
		defer s.held.Delete(attempt.ID)
		s.cancelUntilGone(attempt)
		placement.Finish(failed)
	}()
}

// failedOutcome doesn't blame the upstream when the caller left.
func failedOutcome(ctx context.Context) scheduling.Outcome {
	left := errors.Is(ctx.Err(), context.Canceled)
	return scheduling.Outcome{Failed: !left, Abandoned: left}
}

func (s *Server) cancelUntilGone(attempt *upstream.Attempt) {
	end := time.Now().Add(cancelPeriod)
	for time.Now().Before(end) && s.ctx.Err() == nil {
		if s.config.Upstreams.Cancel(attempt.Address, attempt.ID, time.Now().Add(cancelTimeout)) {
			return
		}
		time.Sleep(cancelInterval)
	}
	s.config.Logger.Warn().Str("attempt_id", attempt.ID).Str("address", attempt.Address).Msg("cancel not confirmed")
}

func placeFailure(err error, execution apierror.Execution) *apierror.Error {
	failure := leftFailure()
	var refused *dispatch.RefusedError
	if errors.As(err, &refused) {
		failure = refusal(refused)
	}
	if errors.Is(err, dispatch.ErrUnconfirmed) {
		failure = unconfirmed()
	}
	failure.Execution = execution
	return failure
}

func leftFailure() *apierror.Error {
	return apierror.New(fiber.StatusRequestTimeout, apierror.CallerGone, "the caller left")
}

// unconfirmed sends the caller to another node.
func unconfirmed() *apierror.Error {
	failure := apierror.New(fiber.StatusServiceUnavailable, apierror.NotReady, "the node can't confirm its configuration")
	failure.RetryAfter = time.Second
	return failure
}

func refusal(refused *dispatch.RefusedError) *apierror.Error {
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
