package exchange

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/retry"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// The outcomes of a request, in logs and counters, beside the codes.
const (
	Answered           = "answered"
	CallerDisconnected = "caller_left"
	BrokenOff          = "broken_off"
)

// Reasons of failures, beside those of package placement.
const (
	ReasonNoView           = "no_beliefs"
	ReasonViewTooOld       = "beliefs_too_old"
	ReasonNodeShutdown     = "node_ends"
	ReasonRetryBudgetSpent = "retry_budget_spent"
	// UnsureSuffix ends the reason of a denial by beliefs that may be out of date.
	UnsureSuffix = "_unsure"
)

// run is one request on its way.
type run struct {
	exchange   *Exchange
	request    *Request
	caller     Caller
	service    string
	history    retry.History
	placements int
	avoid      []string
	// sent is the number of the last event that the caller has.
	sent  int64
	begun atomic.Bool

	outcome, reason string
	// status is that of an upstream's whole answer that was passed on.
	status int

	firstEvent, longestPause time.Duration
	// pauseEnd is the end of the longest pause, from the request's arrival.
	pauseEnd  time.Duration
	lastEvent time.Time
}

// next says how a run goes on after an attempt.
type next int

const (
	// done means that the caller has its final answer.
	done next = iota
	// again means that the request is to be placed again; the retry budget has paid.
	again
	// failed means that it may not be placed again.
	failed
)

func (r *run) serve(ctx context.Context) {
	config := &r.exchange.config
	r.service = r.request.Route.Choose(rand.Float64())
	config.Retries.First(config.Scheduler.now(), r.service)
	for {
		if r.exchange.stale() {
			r.fail(ctx, Failure{Code: Unavailable, Reason: ReasonViewTooOld, RetryAfter: config.RetryAfter})
			return
		}
		decision, ok := r.place(ctx)
		if !ok {
			r.fail(ctx, Failure{Code: ExpiredNotExecuted, Reason: "expired_waiting"})
			return
		}
		if decision.Reason != "" {
			r.fail(ctx, Failure{Code: Overloaded, Reason: string(decision.Reason), RetryAfter: decision.RetryAfter})
			return
		}
		reserved, ok := r.reserve(ctx, &decision)
		if !ok || !config.Scheduler.InService(&decision) {
			reserved.release()
			config.Scheduler.End(decision.ID, placement.Neutral, "")
			pause(ctx, reservePause/2+rand.N(reservePause))
			continue
		}
		went := r.attempt(ctx, &decision, reserved)
		reserved.release()
		switch went {
		case done:
			return
		case failed:
			r.fail(ctx, Failure{Code: UpstreamFailed, Reason: r.reason, RetryAfter: config.RetryAfter})
			return
		case again:
		}
	}
}

func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// repeat says whether the request goes to another upstream.
func (r *run) repeat(ctx context.Context) next {
	if r.mayRepeat(ctx) {
		return again
	}
	return failed
}

// mayRepeat reports whether the request may be sent to another upstream, and
// spends a part of the retry budget if so.
func (r *run) mayRepeat(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	if !r.history.MayRepeat() {
		return false
	}
	config := &r.exchange.config
	if !config.Retries.Spend(config.Scheduler.now(), r.service) {
		r.reason = ReasonRetryBudgetSpent
		return false
	}
	return true
}

func (r *run) place(ctx context.Context) (placement.Decision, bool) {
	gate := r.exchange.config.Scheduler
	r.placements++
	request := &placement.Request{
		ID:           r.request.ID + "/" + strconv.Itoa(r.placements),
		Service:      r.service,
		Kind:         r.request.Route.Kind,
		PromptTokens: r.request.PromptTokens,
		AnswerTokens: r.request.AnswerTokens,
		Priority:     r.request.Priority(),
		Arrived:      gate.At(r.request.Arrived),
		Due:          gate.At(r.request.Arrived.Add(r.request.Route.LatencyTarget)),
		Deadline:     gate.At(r.request.Deadline),
		Avoid:        r.avoid,
		Regions:      r.request.Route.Regions,
		Again:        r.placements > 1,
	}
	if patience := r.request.Route.Patience; patience > 0 && !r.begun.Load() {
		request.LeavesAt = gate.At(r.request.Arrived.Add(patience))
	}
	return gate.Place(ctx, request)
}

// attempt sends the request once to where it was placed.
func (r *run) attempt(ctx context.Context, decision *placement.Decision, reserved *tickets) next {
	config := &r.exchange.config
	if !r.maySend() {
		config.Scheduler.End(decision.ID, placement.Neutral, "")
		return failed
	}
	attempt := &Attempt{
		Request: r.request, Upstream: decision.Lead, Helpers: decision.Helpers,
		Deadline: r.request.Deadline, After: r.sent, AtMostOnce: !r.request.Route.Repeatable(),
		Urgency: decision.Urgency,
	}
	if reserved != nil {
		attempt.Reservations = reserved.list
	}
	config.Logger.Info().Str("request_id", r.request.ID).Str("upstream", decision.Lead.ID).Str("service", r.service).
		Int("prompt_tokens", r.request.PromptTokens).Strs("helpers", ids(decision.Helpers)).Float64("backlog_ms", decision.BacklogMs).
		Dur("expected_first_ms", decision.ExpectedFirst).Dur("waited_ms", time.Since(r.request.Arrived)).
		Int64("after", r.sent).Msg(telemetry.LogAttemptPlaced)
	watch := r.watch(ctx, decision)
	defer watch.stop()
	config.Metrics.Attempt()
	reply, err := config.Sender.Send(watch.ctx, attempt)
	if err != nil {
		return r.lost(ctx, decision, err)
	}
	switch reply.Verdict() {
	case NotExecuted:
		return r.refused(ctx, decision, reply, placement.Refused)
	case WrongUpstream:
		return r.refused(ctx, decision, reply, placement.Foreign)
	case Executed:
	}
	r.history.MayHaveRun()
	if r.request.Route.Kind == fleet.Stream && reply.Status() == http.StatusOK {
		return r.stream(ctx, decision, reply, watch)
	}
	return r.whole(ctx, decision, reply)
}

func ids(upstreams []*fleet.Upstream) []string {
	named := make([]string, len(upstreams))
	for i, u := range upstreams {
		named[i] = u.ID
	}
	return named
}

// lost judges an attempt without an answer.
func (r *run) lost(ctx context.Context, decision *placement.Decision, err error) next {
	outcome := placement.Silent
	if ctx.Err() != nil {
		outcome = placement.Neutral
	}
	r.exchange.config.Scheduler.End(decision.ID, outcome, "")
	r.avoid = append(r.avoid, decision.Lead.ID)
	r.note(decision, err.Error(), 0)
	if errors.Is(err, ErrNotSent) {
		r.reason = "upstream_unreachable"
		return r.repeat(ctx)
	}
	r.history.MayHaveRun()
	r.reason = "upstream_broke_off"
	return r.repeat(ctx)
}

// refused judges an answer that says the attempt did not run.
func (r *run) refused(ctx context.Context, decision *placement.Decision, reply Reply, outcome placement.Outcome) next {
	guilty := reply.FaultyUpstream()
	r.note(decision, "not run", reply.Status())
	if _, err := io.Copy(io.Discard, io.LimitReader(reply.Body(), r.exchange.config.MaxResponseBytes)); err != nil {
		reply.Abort()
	} else {
		reply.Finish()
	}
	if guilty != "" && guilty != decision.Lead.ID {
		outcome = placement.Silent
	} else {
		r.avoid = append(r.avoid, decision.Lead.ID)
	}
	r.exchange.config.Scheduler.End(decision.ID, outcome, guilty)
	r.reason = "upstream_refused"
	return r.repeat(ctx)
}

// whole passes an answer on that is not a stream.
func (r *run) whole(ctx context.Context, decision *placement.Decision, reply Reply) next {
	gate := r.exchange.config.Scheduler
	body, err := io.ReadAll(io.LimitReader(reply.Body(), r.exchange.config.MaxResponseBytes))
	if err != nil || !reply.Authentic() {
		reply.Abort()
		outcome := placement.Silent
		if ctx.Err() != nil {
			outcome = placement.Neutral
		}
		gate.End(decision.ID, outcome, "")
		r.avoid = append(r.avoid, decision.Lead.ID)
		r.reason = "answer_not_whole"
		r.note(decision, r.reason, reply.Status())
		return r.repeat(ctx)
	}
	reply.Finish()
	if reply.Status() >= http.StatusInternalServerError {
		gate.End(decision.ID, placement.Failed, "")
		r.note(decision, "upstream failed", reply.Status())
		r.avoid = append(r.avoid, decision.Lead.ID)
		if r.mayRepeat(ctx) {
			return again
		}
	} else {
		gate.End(decision.ID, placement.Answered, "")
	}
	r.status = reply.Status()
	r.caller.Whole(reply, body)
	r.outcome = Answered
	return done
}

// note logs an attempt that gave no answer to pass on.
func (r *run) note(decision *placement.Decision, what string, status int) {
	r.exchange.config.Logger.Info().Str("request_id", r.request.ID).Str("upstream", decision.Lead.ID).
		Str("service", r.service).Int("helpers", len(decision.Helpers)).Int("status", status).
		Int64("last_event", r.sent).Str("error", what).Msg(telemetry.LogAttemptFailed)
}

// fail gives the caller the system's own answer.
func (r *run) fail(ctx context.Context, failure Failure) {
	ends := errors.Is(context.Cause(ctx), errNodeEnds)
	if ends {
		failure = Failure{Code: Unavailable, Reason: ReasonNodeShutdown, RetryAfter: r.exchange.config.RetryAfter}
		if !r.history.Unrun() {
			failure.Code = UpstreamFailed
		}
	} else if errors.Is(ctx.Err(), context.Canceled) {
		r.outcome = CallerDisconnected
		r.caller.Break()
		return
	}
	r.reason = failure.Reason
	if r.begun.Load() {
		r.outcome = BrokenOff
		r.caller.Break()
		return
	}
	if ctx.Err() != nil && !ends {
		failure.Code = Expired
		if r.history.Unrun() {
			failure.Code = ExpiredNotExecuted
		}
	}
	if failure.Code == UpstreamFailed && (r.history.Unrun() || r.request.Route.Repeatable()) {
		failure.Code = Overloaded
	}
	failure = r.truthful(failure)
	r.outcome = string(failure.Code)
	r.exchange.config.Metrics.Refusal(r.outcome)
	r.caller.Fail(failure)
}
