package exchange

import (
	"context"
	"fmt"
	"time"

	"github.com/wigeontiller/wigeontiller/telemetry"
)

// countForRetries counts a caller's request for the retry budget. One that is read as a paused process goes on may have
// been sent before, in windows that have ended.
func (r *requestHandler) countForRetries() {
	config := &r.exchange.config
	if !r.exchange.suspension.paused(config.Now()) {
		config.Retries.RecordRequest(config.Scheduler.now(), r.service)
	}
}

// retryOrFail decides whether the request is sent to another upstream after the current attempt has failed. One that was sent beside
// it may serve the request.
func (r *requestHandler) retryOrFail(ctx context.Context) nextAction {
	if r.watch.endStandby() {
		return actionDone
	}
	if r.takeRetry(ctx) {
		return actionRetry
	}
	return actionFail
}

// takeRetry reports whether the request may be sent to another upstream; if so, it takes
// one retry from the budget.
func (r *requestHandler) takeRetry(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	if !r.history.MayRetry() || r.unnumbered {
		return false
	}
	config := &r.exchange.config
	if reserved := r.retryReserved.Swap(nil); reserved != nil {
		r.useRetryUp()
		r.recordRetryDecision(reserved)
		r.retryGranted, r.retryTaken = true, time.Now()
		return true
	}
	// An attempt that failed without being sent uses its retry up, so that the number of such attempts is bounded too.
	r.useRetryUp()
	decision := config.Retries.Take(config.Scheduler.now(), r.service)
	r.recordRetryDecision(&decision)
	if !decision.Granted {
		r.reason = ReasonRetryBudgetSpent
		return false
	}
	r.retryGranted, r.retryTaken = true, time.Now()
	return true
}

// reserveRetry takes a retry for an attempt that is to be given up, and reports whether there was one. It may be called while
// the attempt runs; takeRetry then uses it.
func (r *requestHandler) reserveRetry() bool {
	config := &r.exchange.config
	if r.retryReserved.Load() != nil {
		return true
	}
	decision := config.Retries.Take(config.Scheduler.now(), r.service)
	if decision.Granted {
		r.retryReserved.Store(&decision)
	}
	return decision.Granted
}

// useRetryUp counts the retry that the request holds, if any, although it was not sent.
func (r *requestHandler) useRetryUp() {
	if r.retryGranted {
		r.retryGranted = false
		r.exchange.config.Retries.Arrived(r.exchange.config.Scheduler.now(), r.service, 1)
	}
}

// returnRetry gives back the retries that the request holds, if any.
func (r *requestHandler) returnRetry() {
	if r.retryReserved.Swap(nil) != nil {
		r.exchange.config.Retries.Return(r.service)
	}
	if r.retryGranted {
		r.retryGranted = false
		r.exchange.config.Retries.Return(r.service)
	}
}

// recordRetryDecision logs and counts a decision of the retry budget.
func (r *requestHandler) recordRetryDecision(decision *RetryDecision) {
	config := &r.exchange.config
	name := "refused"
	if decision.Granted {
		name = "granted"
	}
	config.Metrics.Count(fmt.Sprintf("wigeontiller_retries_total{decision=%q}", name), 1)
	config.Metrics.Gauge(fmt.Sprintf("wigeontiller_retries_in_window{service=%q}", r.service), int64(decision.Retries))
	config.Metrics.Gauge(fmt.Sprintf("wigeontiller_retries_pending{service=%q}", r.service), int64(decision.Pending))
	config.Metrics.Gauge(fmt.Sprintf("wigeontiller_retries_allowed{service=%q}", r.service), int64(decision.Allowed))
	config.Logger.Info().Str("request_id", r.request.ID).Str("service", r.service).Bool("granted", decision.Granted).
		Float64("retries", decision.Retries).Float64("pending", decision.Pending).Float64("requests", decision.Requests).Float64("allowed", decision.Allowed).
		Int("nodes", decision.Nodes).Int("attempts", r.history.Attempts()).Int("may_have_run", r.history.PossibleExecutions()).
		Msg(telemetry.LogRetryDecided)
}

// retryWait is the time since a retry was taken from the budget, or 0 for a request's first attempt.
func (r *requestHandler) retryWait() time.Duration {
	if r.retryTaken.IsZero() {
		return 0
	}
	return time.Since(r.retryTaken)
}
