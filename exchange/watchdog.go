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
	// moveTime is the part of a caller's patience that is left for another engine to send the next event: the
	// reading of a short prompt behind others, and two passes.
	moveTime = 500 * time.Millisecond
	// recheckInterval is the maximum time between two checks during a long silence: what is known of this
	// node's way to the upstreams may have changed.
	recheckInterval = 150 * time.Millisecond
)

// watchdog cancels an attempt whose upstream is unresponsive if the request may continue
// on another one. It leaves other attempts alone: a missing response does not prove that
// the upstream failed. For the same reason a stream that has begun is continued on another upstream beside
// the silent one, which is canceled when the other one has the next event.
type watchdog struct {
	handler  *requestHandler
	decision *placement.Decision
	ctx      context.Context
	// requestCtx is that of the request.
	requestCtx context.Context
	// timeout returns how long the next event, or the response of a plain service, may take.
	timeout func() time.Duration
	// cancelCause ends the attempt.
	cancelCause context.CancelCauseFunc
	// ofPeer is true if another node serves the request, which watches the upstream.
	ofPeer bool
	// mayCancel is true if the request may continue on another upstream.
	mayCancel bool
	// kept is true after a silent stream was kept because no retry was left for it.
	kept  bool
	mutex sync.Mutex
	timer *time.Timer
	// reachChecked is true after the silence since the last event has led to a check of this node's way to the
	// upstreams.
	reachChecked bool
	// lastEventAt is when the last event arrived, or when the attempt started. The time in which the handler did not wait for the
	// upstream is added to it.
	lastEventAt time.Time
	// waits is true while the handler of a stream waits for its upstream; waitEndedAt is when it last stopped.
	waits       bool
	waitEndedAt time.Time
	// standby is the second attempt, or nil.
	standby *standby
}

func (r *requestHandler) newWatchdog(ctx context.Context, decision *placement.Decision) *watchdog {
	return r.startWatchdog(ctx, decision, false, func() time.Duration { return r.upstreamTimeout(decision) })
}

func (r *requestHandler) startWatchdog(ctx context.Context, decision *placement.Decision, ofPeer bool, timeout func() time.Duration) *watchdog {
	now := time.Now()
	w := &watchdog{handler: r, decision: decision, ofPeer: ofPeer, timeout: timeout, requestCtx: ctx, lastEventAt: now, waitEndedAt: now}
	r.watch = w
	w.ctx, w.cancelCause = context.WithCancelCause(ctx)
	w.mayCancel = r.request.Route.Repeatable() && r.history.Left() > 1
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timer = time.AfterFunc(min(w.timeout(), w.reachCheckAfter()), w.check)
	return w
}

// reachCheckAfter is the silence after which this node checks whether it reaches upstreams at all: the time in
// which an upstream that is not known to be busy answers.
func (w *watchdog) reachCheckAfter() time.Duration {
	if w.handler.request.Route.Kind != fleet.Stream {
		return w.timeout()
	}
	expected, _ := w.handler.exchange.config.Scheduler.ExpectedEventDelay(w.decision)
	return unresponsiveSlack + expectedFactor*expected
}

// upstreamTimeout returns how long an upstream may take for the next event, or the response of a plain
// service.
func (r *requestHandler) upstreamTimeout(decision *placement.Decision) time.Duration {
	if r.request.Route.Kind != fleet.Stream {
		return time.Duration(float64(r.request.Route.LatencyTarget) * plainServiceFactor)
	}
	expected, responsive := r.exchange.config.Scheduler.ExpectedEventDelay(decision)
	limit := unresponsiveSlack + expectedFactor*expected
	// That the upstream answers polls of other nodes tells nothing if this one does not reach it.
	if responsive && !r.cutOff() {
		limit = busySlack + expectedFactor*expected
	}
	if patience := r.request.Route.CallerTimeout; patience > 0 {
		// An engine may answer polls while it hangs on a request, which is lost when its caller leaves.
		limit = min(limit, max(patience-moveTime, moveTime))
	}
	return limit
}

// setPeer records the node that was asked to serve the request.
func (w *watchdog) setPeer(node string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.decision.Lead.ID = node
}

func (w *watchdog) recordEvent() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lastEventAt, w.reachChecked = time.Now(), false
}

// check cancels the attempt if the timeout has passed without an event, and otherwise restarts the
// timer. A shorter silence makes the node check its way to the upstreams.
func (w *watchdog) check() {
	if w.ctx.Err() != nil {
		return
	}
	w.mutex.Lock()
	silence := time.Since(w.lastEventAt)
	reachCheck := !w.reachChecked && silence >= w.reachCheckAfter()
	w.reachChecked = w.reachChecked || reachCheck
	left := w.timeout() - silence
	begun := w.handler.request.Route.Kind == fleet.Stream && w.handler.begun.Load()
	silent := left <= 0 && w.ctx.Err() == nil
	var action silenceAction
	switch {
	case !silent:
	case begun:
		action = w.onSilentStream()
	default:
		action = w.onSilentRequest()
	}
	upstream := w.decision.Lead.ID
	switch {
	case action == cancelAttempt:
		// Under the lock, so that a stream does not begin meanwhile.
		w.cancelCause(nil)
	case silent && w.mayCancel:
		w.timer.Reset(recheckInterval)
	default:
		w.timer.Reset(max(w.nextCheck(silence, left), minRecheckInterval))
	}
	w.mutex.Unlock()
	if reachCheck && !w.ofPeer {
		w.handler.exchange.config.Handover.Check(w.ctx, w.handler.service)
	}
	switch action {
	case keepAttempt:
		w.handler.logSilence(upstream, telemetry.LogSilentUpstreamKept)
	case tryBeside:
		if !w.ofPeer {
			w.handler.exchange.config.Scheduler.RecordSilence(w.decision.ID)
		}
		w.handler.logSilence(upstream, telemetry.LogSilentUpstreamBeside)
	case cancelAttempt:
		w.handler.logSilence(upstream, telemetry.LogUpstreamUnresponsive)
		w.handler.exchange.config.Metrics.Count("wigeontiller_silent_upstreams_total", 1)
	case waitOn:
	}
}

// silenceAction is what a watchdog does about a silent upstream.
type silenceAction int

const (
	// waitOn changes nothing.
	waitOn silenceAction = iota
	// keepAttempt is waitOn, and says so for the first time.
	keepAttempt
	// tryBeside sends the request to another upstream beside the silent one.
	tryBeside
	// cancelAttempt ends the attempt.
	cancelAttempt
)

// onSilentStream decides about a stream that has begun; the mutex is held.
func (w *watchdog) onSilentStream() silenceAction {
	if w.waits {
		w.mergeIfDone()
	}
	switch {
	case !w.mayTryBeside():
		return waitOn
	case w.handler.reserveRetry():
		w.tryBeside()
		return tryBeside
	}
	return w.keep()
}

// onSilentRequest decides about a request whose response has not begun; the mutex is held.
func (w *watchdog) onSilentRequest() silenceAction {
	isStream := w.handler.request.Route.Kind == fleet.Stream
	// A node that shuts down would refuse to send the request again. A stream whose handler does not wait has its first event.
	if !w.mayCancel || w.handler.tooLateToBegin() || isStream && !w.waits {
		return waitOn
	}
	// What can't be sent again is not given up, but for a stream: its caller gets a failure response in time to repeat its request.
	if isStream || w.handler.reserveRetry() {
		return cancelAttempt
	}
	return w.keep()
}

// keep lets a silent attempt go on because no retry is left for it; the mutex is held.
func (w *watchdog) keep() silenceAction {
	if w.kept {
		return waitOn
	}
	w.kept = true
	return keepAttempt
}

// nextCheck returns the time to the next check; the mutex is held.
func (w *watchdog) nextCheck(silence, left time.Duration) time.Duration {
	switch {
	case !w.reachChecked && w.mayCancel:
		return min(left, w.reachCheckAfter()-silence)
	case !w.reachChecked:
		return w.reachCheckAfter() - silence
	case w.mayCancel:
		return min(left, recheckInterval)
	}
	return w.reachCheckAfter()
}

// blocked reports whether the attempt was canceled because its request was blocked.
func (w *watchdog) blocked() bool { return errors.Is(context.Cause(w.ctx), errRequestBlocked) }

func (w *watchdog) stop() {
	w.cancelCause(nil)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timer.Stop()
}
