package exchange

import (
	"context"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/placement"
)

const (
	// silenceSlack is how much longer than expected an engine may take for the
	// next event before the stream goes on elsewhere.
	silenceSlack = 800 * time.Millisecond
	// silenceFactor is how many times the expected time it may take beside.
	silenceFactor = 2
	// plainFactor is how many latency targets a plain service may take before a
	// repeatable request is sent elsewhere.
	plainFactor = 1.5
)

// watch ends an attempt whose upstream is silent, where the request may go on at
// another one. Other attempts are left alone: silence alone proves nothing.
type watch struct {
	run      *run
	decision *placement.Decision
	ctx      context.Context
	cancel   context.CancelFunc
	timer    *time.Timer
}

func (r *run) watch(ctx context.Context, decision *placement.Decision) *watch {
	w := &watch{run: r, decision: decision}
	w.ctx, w.cancel = context.WithCancel(ctx)
	if r.request.Route.Repeatable() && r.ran+1 < r.request.Route.MaxAttempts {
		w.timer = time.AfterFunc(w.patience(), w.silent)
	}
	return w
}

// patience is how long the next event may take from now.
func (w *watch) patience() time.Duration {
	if w.run.request.Route.Kind != fleet.Stream {
		return time.Duration(float64(w.run.request.Route.LatencyTarget) * plainFactor)
	}
	return silenceSlack + silenceFactor*w.run.exchange.config.Gate.Expected(w.decision)
}

func (w *watch) progress() {
	if w.timer != nil {
		w.timer.Reset(w.patience())
	}
}

func (w *watch) silent() {
	w.run.exchange.config.Logger.Info().Str("request_id", w.run.request.ID).Str("upstream", w.decision.Lead.ID).
		Msg("upstream is silent")
	w.run.exchange.config.Metrics.Count("wigeontiller_silent_upstreams_total", 1)
	w.cancel()
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel()
}
