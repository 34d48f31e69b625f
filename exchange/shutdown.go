package exchange

import (
	"context"
	"time"

	"github.com/wigeontiller/wigeontiller/drain"
	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// shutdownState is what the exchange knows of the end of its node.
type shutdownState struct {
	// begun is canceled when the node begins to shut down, which sets begunAt and until before.
	begun context.Context
	begin context.CancelFunc
	// begunAt is when that was, and until when requests without an answer are given up.
	begunAt, until time.Time
	// runTimes are those of whole answers, by route.
	runTimes drain.RunTimes
}

// BeginShutdown tells the exchange that requests without an answer are given up at a time. What would not end by then is
// refused from now on while it has not run. It is called once.
func (e *Exchange) BeginShutdown(until time.Time) {
	e.ending.begunAt, e.ending.until = time.Now(), until
	e.ending.begin()
}

// sinceStop returns the time since the node began to shut down, or 0 before.
func (s *shutdownState) sinceStop() time.Duration {
	if s.begun.Err() == nil {
		return 0
	}
	return time.Since(s.begunAt)
}

// expectedRun returns how long the request's run is expected to take.
func (r *requestHandler) expectedRun() time.Duration {
	route, runTimes := r.request.Route, &r.exchange.ending.runTimes
	if route.Kind != fleet.Stream {
		return runTimes.Expected(route.Name, route.LatencyTarget)
	}
	return runTimes.ExpectedStream(route.Name, r.request.AnswerTokens, max(route.LatencyTarget, route.CallerTimeout), route.PauseTarget)
}

// latestStart returns the time until which the request may be sent, and false if the node does not shut down.
func (r *requestHandler) latestStart() (time.Time, bool) {
	ending := &r.exchange.ending
	if ending.begun.Err() == nil || r.begun.Load() {
		return time.Time{}, false
	}
	plan := drain.Plan{Until: ending.until, StreamsClosed: r.exchange.streamsClosed.Load()}
	return plan.LatestStart(r.request.Route.Kind == fleet.Stream, r.expectedRun()), true
}

// tooLateToBegin reports whether the node would end before the request's run.
func (r *requestHandler) tooLateToBegin() bool {
	latest, ending := r.latestStart()
	return ending && time.Now().After(latest)
}

// failTooLate refuses a request that the node would not live to answer.
func (r *requestHandler) failTooLate(ctx context.Context) {
	config := &r.exchange.config
	config.Logger.Info().Str("request_id", r.request.ID).Str("route", r.request.Route.Name).Dur("expected_run_ms", r.expectedRun()).
		Dur("left_ms", time.Until(r.exchange.ending.until)).Msg(telemetry.LogTooLateToBegin)
	r.fail(ctx, Failure{Code: Unavailable, Reason: ReasonNodeShutdown, RetryAfter: config.RetryAfter})
}

// untilLatestStart returns a context that ends when it is too late to send the request, so that it does not wait any
// longer.
func (r *requestHandler) untilLatestStart(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(r.exchange.ending.begun, func() {
		if latest, ending := r.latestStart(); ending {
			// A timer that fires after the request was placed cancels a context that is done.
			time.AfterFunc(time.Until(latest), cancel)
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// recordRunTime records how long an upstream took for its whole answer.
func (r *requestHandler) recordRunTime() {
	route, runTimes, took := r.request.Route, &r.exchange.ending.runTimes, time.Since(r.attemptSent)
	switch {
	case r.handedTo != "":
	case route.Kind != fleet.Stream:
		runTimes.Record(route.Name, took)
	case r.attemptEvents > 0 && r.lastEventNumber <= int64(r.attemptEvents):
		// The whole stream came from one upstream.
		runTimes.RecordStream(route.Name, r.request.AnswerTokens, r.attemptBegan.Sub(r.attemptSent), took)
	}
}
