package exchange

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wigeontiller/wigeontiller/blocklist"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// onSendError handles an attempt without a response.
func (r *requestHandler) onSendError(ctx context.Context, decision *placement.Decision, err error, watch *watchdog) nextAction {
	if errors.Is(err, ErrNotPermitted) {
		// The next placement is by the current view, or finds that it is too old.
		r.exchange.config.Scheduler.End(decision.ID, placement.Neutral, "")
		r.logFailedAttempt(decision, err.Error(), 0)
		if watch.endStandby() {
			return actionDone
		}
		return actionRetry
	}
	outcome := placement.Unresponsive
	if ctx.Err() != nil || watch.blocked() {
		outcome = placement.Neutral
	}
	r.exchange.config.Scheduler.End(decision.ID, outcome, "")
	r.avoid = append(r.avoid, decision.Lead.ID)
	r.logFailedAttempt(decision, err.Error(), 0)
	if errors.Is(err, ErrNotSent) {
		r.reason = ReasonUnreachable
		r.handOverNext = ctx.Err() == nil && time.Since(r.attemptSent) >= hungDialTime
		if watch.endStandby() {
			return actionDone
		}
		if ctx.Err() == nil && r.checkReach(ctx) {
			return actionRetry
		}
		return r.retryOrFail(ctx)
	}
	r.history.RecordMayHaveRun()
	r.reason = "upstream_broke_off"
	if watch.ctx.Err() == nil {
		r.exchange.config.Metrics.Count("wigeontiller_attempts_cut_without_response_total", 1)
		r.recordLostAttempt(ctx, decision)
	}
	if watch.ctx.Err() != nil && !watch.blocked() && !errors.Is(ctx.Err(), context.Canceled) {
		r.recordSilentAttempt(decision, time.Now())
	}
	if ctx.Err() == nil && !watch.blocked() {
		r.checkReach(ctx)
	}
	if (watch.blocked() || r.upstreamsEnded > 0) && r.isBlocked() {
		return actionBlocked
	}
	return r.retryOrFail(ctx)
}

// onNotExecuted handles a response which states that the attempt was not executed.
func (r *requestHandler) onNotExecuted(ctx context.Context, decision *placement.Decision, reply Reply, outcome placement.Outcome) nextAction {
	faulty := reply.FaultyUpstream()
	r.logFailedAttempt(decision, "not run", reply.Status())
	if discard(reply.Body(), maxRefusalBytes) {
		reply.Finish()
	} else {
		reply.Abort()
	}
	if faulty != "" && faulty != decision.Lead.ID {
		outcome = placement.Unresponsive
	} else {
		r.avoid = append(r.avoid, decision.Lead.ID)
	}
	r.exchange.config.Scheduler.End(decision.ID, outcome, faulty)
	r.reason = "upstream_refused"
	return r.retryOrFail(ctx)
}

// maxRefusalBytes is the maximum body size of a response that states that the upstream did
// not run the request, if its connection is to be used again.
const maxRefusalBytes = 64 << 10

// deliverResponse forwards a response that is not a stream.
func (r *requestHandler) deliverResponse(ctx context.Context, decision *placement.Decision, reply Reply, watch *watchdog) nextAction {
	r.stopBlockWatch()
	scheduler := r.exchange.config.Scheduler
	reservation := r.exchange.openAnswer(r.request)
	defer reservation.Release()
	body, err := readAnswer(reply.Body(), r.exchange.config.MaxResponseBytes, reservation)
	if err != nil || !reply.Authentic() {
		reply.Abort()
		outcome := placement.Unresponsive
		r.reason = "answer_not_whole"
		if errors.Is(err, errNoBuffer) {
			r.reason = ReasonNoMemory
		}
		if ctx.Err() != nil || errors.Is(err, errNoBuffer) {
			outcome = placement.Neutral
		}
		scheduler.End(decision.ID, outcome, "")
		r.avoid = append(r.avoid, decision.Lead.ID)
		r.logFailedAttempt(decision, r.reason, reply.Status())
		if err != nil && watch.ctx.Err() == nil && isUpstreamEnd(err) {
			r.recordLostAttempt(ctx, decision)
			if r.isBlocked() {
				return actionBlocked
			}
		}
		return r.retryOrFail(ctx)
	}
	reply.Finish()
	if r.begun.Load() {
		return r.onFailedContinuation(ctx, decision, reply)
	}
	r.recordWholeResponse(reply.Status())
	if reply.Status() >= http.StatusInternalServerError {
		scheduler.End(decision.ID, placement.Failed, "")
		r.logFailedAttempt(decision, "upstream failed", reply.Status())
		r.avoid = append(r.avoid, decision.Lead.ID)
		if r.takeRetry(ctx) {
			if r.handedTo != "" {
				r.failedPeers = append(r.failedPeers, r.handedTo)
			}
			return actionRetry
		}
	} else {
		scheduler.End(decision.ID, placement.Answered, "")
		r.recordRunTime()
	}
	r.status = reply.Status()
	r.writer.WriteResponse(reply, body)
	r.outcome = Answered
	return actionDone
}

// onFailedContinuation handles a response that does not continue the stream which the caller has begun to
// receive. No response can follow a part of a stream: another upstream may continue it, or it breaks off.
func (r *requestHandler) onFailedContinuation(ctx context.Context, decision *placement.Decision, reply Reply) nextAction {
	outcome := placement.Answered
	if reply.Status() >= http.StatusInternalServerError {
		outcome = placement.Failed
	}
	r.exchange.config.Scheduler.End(decision.ID, outcome, "")
	r.avoid = append(r.avoid, decision.Lead.ID)
	if r.handedTo != "" {
		r.failedPeers = append(r.failedPeers, r.handedTo)
	}
	r.reason = "stream_not_continued"
	r.logFailedAttempt(decision, r.reason, reply.Status())
	return r.retryOrFail(ctx)
}

// logFailedAttempt logs an attempt that failed or was not executed.
func (r *requestHandler) logFailedAttempt(decision *placement.Decision, cause string, status int) {
	r.delivery.log(r.exchange.config.Logger.Info()).Str("request_id", r.request.ID).Str("request_digest", r.request.Identity.String()).Str("upstream", decision.Lead.ID).
		Str("service", r.service).Int("helpers", len(decision.Helpers)).Int("status", status).
		Int64("last_event", r.lastEventNumber).Bool("header_received", r.headerReceived).Int("events", r.attemptEvents).
		Strs("prompt_parts", blocklist.FormatFeatures(r.request.PromptParts)).Str("error", cause).
		Dur("taken_ms", time.Since(r.attemptSent)).Msg(telemetry.LogAttemptFailed)
}
