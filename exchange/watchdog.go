package exchange

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

const (
	// unresponsiveSlack is how much longer than expectedFactor times the expected time
	// the next event may take before the stream is resumed on another engine; busySlack
	// is the same for an engine that still answers load polls: it is busy, not dead.
	unresponsiveSlack = 500 * time.Millisecond
	busySlack         = 2500 * time.Millisecond
	// expectedFactor multiplies the expected time to the next event.
	expectedFactor = 2
	// plainServiceFactor is the number of latency targets after which a repeatable
	// request to a plain service is sent to another upstream.
	plainServiceFactor = 1.5
	// minRecheckInterval is the minimum time between two checks.
	minRecheckInterval = 50 * time.Millisecond
)

// watchdog cancels an attempt whose upstream is unresponsive if the request may continue
// on another one. It leaves other attempts alone: a missing response does not prove that
// the upstream failed.
type watchdog struct {
	handler  *requestHandler
	decision *placement.Decision
	ctx      context.Context
	// timeout returns how long the next event, or the response of a plain service, may take.
	timeout func() time.Duration
	// cancelCause ends the attempt.
	cancelCause context.CancelCauseFunc
	mutex       sync.Mutex
	timer       *time.Timer
	// lastEventAt is when the last event arrived, or when the attempt started.
	lastEventAt time.Time
}

func (r *requestHandler) newWatchdog(ctx context.Context, decision *placement.Decision) *watchdog {
	return r.startWatchdog(ctx, decision, func() time.Duration { return r.upstreamTimeout(decision) })
}

func (r *requestHandler) startWatchdog(ctx context.Context, decision *placement.Decision, timeout func() time.Duration) *watchdog {
	w := &watchdog{handler: r, decision: decision, timeout: timeout}
	w.ctx, w.cancelCause = context.WithCancelCause(ctx)
	if r.request.Route.Repeatable() && r.history.PossibleExecutions()+1 < r.request.Route.MaxAttempts {
		w.lastEventAt = time.Now()
		w.mutex.Lock()
		w.timer = time.AfterFunc(w.timeout(), w.check)
		w.mutex.Unlock()
	}
	return w
}

// upstreamTimeout returns how long an upstream may take for the next event, or the response of a plain
// service.
func (r *requestHandler) upstreamTimeout(decision *placement.Decision) time.Duration {
	if r.request.Route.Kind != fleet.Stream {
		return time.Duration(float64(r.request.Route.LatencyTarget) * plainServiceFactor)
	}
	expected, responsive := r.exchange.config.Scheduler.ExpectedEventDelay(decision)
	// That the upstream answers polls of other nodes tells nothing if this one does not reach it.
	if responsive && !r.cutOff() {
		return busySlack + expectedFactor*expected
	}
	return unresponsiveSlack + expectedFactor*expected
}

func (w *watchdog) recordEvent() {
	if w.timer == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lastEventAt = time.Now()
}

// check cancels the attempt if the timeout has passed without an event, and otherwise
// restarts the timer.
func (w *watchdog) check() {
	w.mutex.Lock()
	left := w.timeout() - time.Since(w.lastEventAt)
	if left > 0 {
		w.timer.Reset(max(left, minRecheckInterval))
		w.mutex.Unlock()
		return
	}
	w.mutex.Unlock()
	w.handler.exchange.config.Logger.Info().Str("request_id", w.handler.request.ID).Str("upstream", w.decision.Lead.ID).
		Msg(telemetry.LogUpstreamUnresponsive)
	w.handler.exchange.config.Metrics.Count("wigeontiller_silent_upstreams_total", 1)
	w.cancelCause(nil)
}

// blocked reports whether the attempt was canceled because its request was blocked.
func (w *watchdog) blocked() bool { return errors.Is(context.Cause(w.ctx), errRequestBlocked) }

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancelCause(nil)
}
