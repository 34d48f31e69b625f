package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

const (
	// silenceSlack is how much longer than expected an engine may take for the
	// next event before the stream goes on elsewhere; busySlack is the same for one
	// that still answers questions, and so is busy rather than dead.
	silenceSlack = 500 * time.Millisecond
	busySlack    = 2500 * time.Millisecond
	// silenceFactor is how many times the expected time it may take beside.
	silenceFactor = 2
	// plainFactor is how many latency targets a plain service may take before a
	// repeatable request is sent elsewhere.
	plainFactor = 1.5
	// recheck is the least pause between two looks.
	recheck = 50 * time.Millisecond
)

// watch ends an attempt whose upstream is silent, where the request may go on at
// another one. Other attempts are left alone: silence alone proves nothing.
type watch struct {
	run      *run
	decision *placement.Decision
	ctx      context.Context
	cancel   context.CancelFunc
	mutex    sync.Mutex
	timer    *time.Timer
	// since is when the last event came.
	since time.Time
}

func (r *run) watch(ctx context.Context, decision *placement.Decision) *watch {
	w := &watch{run: r, decision: decision}
	w.ctx, w.cancel = context.WithCancel(ctx)
	if r.request.Route.Repeatable() && r.history.Ran()+1 < r.request.Route.MaxAttempts {
		w.since = time.Now()
		w.mutex.Lock()
		w.timer = time.AfterFunc(w.patience(), w.silent)
		w.mutex.Unlock()
	}
	return w
}

// patience is how long the next event may take from now.
func (w *watch) patience() time.Duration {
	if w.run.request.Route.Kind != fleet.Stream {
		return time.Duration(float64(w.run.request.Route.LatencyTarget) * plainFactor)
	}
	expected, answers := w.run.exchange.config.Scheduler.Expected(w.decision)
	if answers {
		return busySlack + silenceFactor*expected
	}
	return silenceSlack + silenceFactor*expected
}

func (w *watch) progress() {
	if w.timer == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.since = time.Now()
}

// silent gives the attempt up, unless its engine was heard of meanwhile.
func (w *watch) silent() {
	w.mutex.Lock()
	left := w.patience() - time.Since(w.since)
	if left > 0 {
		w.timer.Reset(max(left, recheck))
		w.mutex.Unlock()
		return
	}
	w.mutex.Unlock()
	w.run.exchange.config.Logger.Info().Str("request_id", w.run.request.ID).Str("upstream", w.decision.Lead.ID).
		Msg(telemetry.LogUpstreamSilent)
	w.run.exchange.config.Metrics.Count("wigeontiller_silent_upstreams_total", 1)
	w.cancel()
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel()
}
