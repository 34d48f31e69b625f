package exchange

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/quarantine"
	"github.com/wigeontiller/wigeontiller/retry"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// Outcomes of a request in logs and counters, besides the codes of failures.
const (
	Answered           = "answered"
	CallerDisconnected = "caller_left"
	StreamInterrupted  = "broken_off"
)

// Reasons of failures, besides those of package placement.
const (
	ReasonNoView           = "no_beliefs"
	ReasonViewTooOld       = "beliefs_too_old"
	ReasonNodeShutdown     = "node_ends"
	ReasonRetryBudgetSpent = "retry_budget_spent"
	// UnsureSuffix is the suffix of the reason when a denial rests on a view that may be out
	// of date.
	UnsureSuffix = "_unsure"
)

// requestHandler is the state of one request while it is served.
type requestHandler struct {
	exchange   *Exchange
	request    *Request
	writer     *singleResponse
	service    string
	history    retry.History
	placements int
	avoid      []string
	// lastEventNumber is the number of the last event that the caller has received.
	lastEventNumber int64
	begun           atomic.Bool
	// unnumbered is true if the caller has received an event without a number. Such a stream can't be
	// continued.
	unnumbered bool
	// unmarked is true if only the end of the connection marks the end of the caller's stream.
	unmarked bool
	// firstEnd is the last unmarked end of an attempt, unless events followed.
	firstEnd unmarkedEnd
	// endConfirmed is true if another upstream had nothing to add to an unmarked end, unless events followed.
	endConfirmed bool
	// headerReceived is true after the response header of the current attempt has arrived, and
	// attemptEvents counts the events of its stream.
	headerReceived bool
	attemptEvents  int
	// repeated is the number of the current attempt's last event that the caller had already.
	repeated int64
	// delivery is that of the last response.
	delivery Delivery
	// attemptSent is when it was sent, attemptBegan when its first event arrived, and attemptEventAt when its last one did.
	attemptSent, attemptBegan, attemptEventAt time.Time
	// features are those by which the request can be blocked.
	features []uint64
	// stopBlockWatch keeps the attempt from being canceled when its request is blocked.
	stopBlockWatch func()
	// handOverNext is true if the request is to be handed over although the node may not be cut off.
	handOverNext bool
	// handedTo is the node whose reply is delivered, triedPeers are those that did not serve the request, and failedPeers
	// those whose upstream failed: they are asked again if no other node takes it.
	handedTo                string
	triedPeers, failedPeers []string
	// retryGranted is true while the request holds a retry that is not sent yet; retryTaken is when the last one was taken
	// from the budget.
	retryGranted bool
	retryTaken   time.Time
	// arrivals counts the attempts that may still arrive, and sent is the one that is being written or waits for an answer.
	arrivals *requestArrivals
	sent     *sentAttempt
	// watch is the watchdog of the current attempt.
	watch *watchdog
	// retryReserved is the decision by which the watchdog took a retry before it gave up an attempt.
	retryReserved atomic.Pointer[RetryDecision]
	// crowded counts the upstreams that had no room for the body.
	crowded int
	// upstreamsEnded counts the attempts whose upstream ended before their first event.
	upstreamsEnded int
	// isTrial is true for a request that is sent to learn whether it still crashes upstreams.
	isTrial bool
	// block is why the request must not be sent; nil is no block.
	block *quarantine.Block

	outcome, reason string
	// refusal is set if the scheduler refused the request.
	refusal *placement.Decision
	// status is the status of an upstream's complete response that was forwarded.
	status int

	firstEventDelay, longestPause time.Duration
	// pauseEnd is the time from the request's arrival to the end of the longest pause.
	pauseEnd    time.Duration
	lastEventAt time.Time
}

// nextAction says how a request continues after an attempt.
type nextAction int

const (
	// actionDone means that the caller has its final response.
	actionDone nextAction = iota
	// actionRetry means that the request is placed again; the retry is already taken
	// from the budget.
	actionRetry
	// actionFail means that the request may not be placed again.
	actionFail
	// actionBlocked means the same, because the request crashes upstreams.
	actionBlocked
)

func (r *requestHandler) serve(ctx context.Context) {
	config := &r.exchange.config
	r.service = r.request.Route.ChooseService(rand.Float64())
	if !r.request.HandedOver {
		r.countForRetries()
	} else if r.cutOff() {
		r.fail(ctx, Failure{Code: Unavailable, Reason: ReasonCutOff, RetryAfter: config.RetryAfter})
		return
	}
	r.placeAndSend(ctx)
}

// placeAndSend places the request and sends it until it has ended.
func (r *requestHandler) placeAndSend(ctx context.Context) {
	config := &r.exchange.config
	for {
		if ctx.Err() != nil {
			r.fail(ctx, Failure{Code: ExpiredNotExecuted, Reason: "expired_waiting"})
			return
		}
		if r.exchange.stale() {
			r.fail(ctx, Failure{Code: Unavailable, Reason: ReasonViewTooOld, RetryAfter: config.RetryAfter})
			return
		}
		if r.tooLateToBegin() {
			r.failTooLate(ctx)
			return
		}
		if wait := r.exchange.suspension.wait(config.Now()); wait > 0 {
			config.Logger.Info().Str("request_id", r.request.ID).Dur("wait_ms", wait).Msg(telemetry.LogCatchingUp)
			sleep(ctx, wait)
		}
		if r.isBlocked() {
			r.failBlocked(ctx)
			return
		}
		if r.shallHandOver() {
			action, taken := r.handOver(ctx)
			if taken && r.finish(ctx, action) {
				return
			}
			if taken {
				continue
			}
			if r.cutOff() && !config.Handover.Returning(r.service) {
				r.fail(ctx, Failure{Code: Overloaded, Reason: ReasonCutOff, RetryAfter: config.RetryAfter})
				return
			}
		}
		decision, ok := r.place(ctx)
		if !ok && ctx.Err() == nil {
			// While it waited, the request was blocked, or it became too late to begin it.
			continue
		}
		if !ok {
			r.fail(ctx, Failure{Code: ExpiredNotExecuted, Reason: "expired_waiting"})
			return
		}
		if decision.Reason != "" {
			r.refusal = &decision
			r.fail(ctx, Failure{Code: Overloaded, Reason: string(decision.Reason), RetryAfter: decision.RetryAfter})
			return
		}
		if r.sendPlaced(ctx, &decision) {
			return
		}
	}
}

// finish ends the request unless it is to be placed again. It reports whether it has ended.
func (r *requestHandler) finish(ctx context.Context, action nextAction) bool {
	switch action {
	case actionDone:
	case actionFail:
		r.fail(ctx, Failure{Code: UpstreamFailed, Reason: r.reason, RetryAfter: r.exchange.config.RetryAfter})
	case actionBlocked:
		r.failBlocked(ctx)
	case actionRetry:
		return false
	}
	return true
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// attempt sends the request once, to the upstream that it was placed on.
func (r *requestHandler) attempt(ctx context.Context, decision *placement.Decision, reserved *reservations) nextAction {
	config := &r.exchange.config
	endInFlight, ok := r.exchange.inFlight.begin(decision.Lead.ID, r.request.BodyBytes)
	if !ok {
		return r.onCrowdedUpstream(decision)
	}
	defer endInFlight()
	if !r.allowSend() {
		config.Scheduler.End(decision.ID, placement.Neutral, "")
		return actionFail
	}
	attempt := &Attempt{
		Key: decision.ID, Request: r.request, Upstream: decision.Lead, Helpers: decision.Helpers,
		Deadline: r.request.Deadline, After: r.lastEventNumber, AtMostOnce: !r.request.Route.Repeatable(), Resend: r.history.Attempts() > 1,
		Urgency: decision.Urgency,
		Permitted: func() bool {
			permitted := r.wanted(ctx) && !r.exchange.stale() && r.exchange.suspension.wait(config.Now()) == 0 && config.Scheduler.InService(decision) && !r.blockedBeforeSend()
			if permitted {
				r.beginSend(decision.Lead)
			}
			return permitted
		},
	}
	if reserved != nil {
		attempt.Reservations = reserved.list
	}
	config.Logger.Info().Str("request_id", r.request.ID).Str("request_digest", r.request.Identity.String()).Str("upstream", decision.Lead.ID).Str("service", r.service).
		Int("prompt_tokens", r.request.PromptTokens).Strs("helpers", upstreamIDs(decision.Helpers)).Float64("backlog_ms", decision.BacklogMs).
		Dur("expected_first_ms", decision.ExpectedFirstEvent).Dur("waited_ms", time.Since(r.request.Arrived)).
		Int("attempt", r.history.Attempts()).Dur("retry_waited_ms", r.retryWait()).Int64("after", r.lastEventNumber).Msg(telemetry.LogAttemptPlaced)
	watch := r.newWatchdog(ctx, decision)
	defer watch.stop()
	r.watchForBlock(watch)
	defer r.stopBlockWatch()
	config.Metrics.Attempt()
	r.beginAttempt()
	watch.beginWait()
	reply, err := config.Sender.Send(watch.ctx, attempt)
	superseded := watch.endWait(false)
	r.endSend(err, watch)
	if superseded {
		return r.superseded(ctx, decision, reply, watch)
	}
	if err != nil {
		return r.onSendError(ctx, decision, err, watch)
	}
	r.recordHeader(reply)
	r.recordUpstreamState(decision, reply)
	switch reply.Verdict() {
	case NotExecuted:
		return r.onNotExecuted(ctx, decision, reply, placement.Refused)
	case WrongUpstream:
		return r.onNotExecuted(ctx, decision, reply, placement.WrongProcess)
	case Executed:
	}
	r.history.RecordMayHaveRun()
	if r.request.Route.Kind == fleet.Stream && reply.Status() == http.StatusOK {
		return r.relayStream(ctx, decision, reply, watch)
	}
	return r.deliverResponse(ctx, decision, reply, watch)
}

// onCrowdedUpstream handles a placement on an upstream that has no room for the body. Nothing was sent.
func (r *requestHandler) onCrowdedUpstream(decision *placement.Decision) nextAction {
	r.exchange.config.Scheduler.End(decision.ID, placement.Neutral, "")
	r.avoid = append(r.avoid, decision.Lead.ID)
	r.reason = ReasonUpstreamMemory
	if r.crowded++; r.crowded < maxCrowdedUpstreams {
		return actionRetry
	}
	return actionFail
}

// wanted reports whether the request's result is still of use: its caller waits for it, and the node does not give it up.
func (r *requestHandler) wanted(ctx context.Context) bool {
	return ctx.Err() == nil && (r.begun.Load() || r.exchange.shutdown.Err() == nil)
}

// beginAttempt resets what is known of the current attempt.
func (r *requestHandler) beginAttempt() {
	r.headerReceived, r.attemptEvents, r.repeated, r.attemptSent, r.delivery = false, 0, 0, time.Now(), Delivery{}
}

// recordHeader records that the header of the current attempt's response has arrived.
func (r *requestHandler) recordHeader(reply Reply) {
	r.headerReceived, r.delivery = true, reply.Delivery()
	if r.delivery.Skipped > 0 {
		r.exchange.config.Metrics.Count("wigeontiller_foreign_responses_total", int64(r.delivery.Skipped))
	}
}

// recordUpstreamState records, before the response is used, that an upstream is leaving or wants no requests
// from this node for a time.
func (r *requestHandler) recordUpstreamState(decision *placement.Decision, reply Reply) {
	if limit, ok := reply.RequestLimit(); ok && reply.Verdict() != WrongUpstream && r.exchange.config.Scheduler.RecordLimit(decision.Lead, limit) {
		r.exchange.config.Logger.Info().Str("request_id", r.request.ID).Str("upstream", decision.Lead.ID).Str("source", "response").
			Bool("stated", limit.Stated).Float64("requests_per_second", limit.PerSecond).Msg(telemetry.LogLimitStated)
	}
	leaving, pause := reply.Leaving(), time.Duration(0)
	if reply.Status() == http.StatusServiceUnavailable {
		pause = reply.Pause()
	}
	if !leaving && pause <= 0 {
		return
	}
	lead := decision.Lead
	r.exchange.config.Scheduler.Do(func(s *placement.Scheduler, now time.Duration) {
		if leaving {
			s.MarkLeaving(now, lead.ID, lead.StartedMs)
		}
		if pause > 0 {
			s.Pause(now, lead.ID, lead.StartedMs, pause)
		}
	})
	r.exchange.config.Logger.Info().Str("request_id", r.request.ID).Str("upstream", lead.ID).Bool("leaving", leaving).
		Dur("pause_ms", pause).Msg(telemetry.LogUpstreamAsked)
}

func upstreamIDs(upstreams []*fleet.Upstream) []string {
	list := make([]string, len(upstreams))
	for i, u := range upstreams {
		list[i] = u.ID
	}
	return list
}

// fail ends the request with a failure response, or aborts a response that has begun. Its
// code follows from the end of the context and from whether an attempt may have run.
func (r *requestHandler) fail(ctx context.Context, failure Failure) {
	shuttingDown := errors.Is(context.Cause(ctx), errShutdown)
	if shuttingDown {
		failure = Failure{Code: Unavailable, Reason: ReasonNodeShutdown, RetryAfter: r.exchange.config.RetryAfter}
		if !r.history.NotExecuted() {
			failure.Code = UpstreamFailed
		}
	} else if errors.Is(ctx.Err(), context.Canceled) {
		r.outcome = CallerDisconnected
		r.writer.Abort()
		return
	}
	r.reason = failure.Reason
	if r.begun.Load() {
		r.outcome = StreamInterrupted
		r.writer.Abort()
		return
	}
	if ctx.Err() != nil && !shuttingDown {
		failure.Code = Expired
		if r.history.NotExecuted() {
			failure.Code = ExpiredNotExecuted
		}
	}
	if failure.Code == UpstreamFailed && (r.history.NotExecuted() || r.request.Route.Repeatable()) {
		failure.Code = Overloaded
	}
	if failure.Code == RequestBlocked && !r.history.NotExecuted() {
		failure.Code = UpstreamFailed
	}
	failure = r.withVerifiedCode(failure)
	r.outcome = string(failure.Code)
	r.exchange.config.Metrics.Refusal(r.outcome)
	r.writer.WriteFailure(failure)
}
