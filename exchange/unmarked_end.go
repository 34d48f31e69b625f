package exchange

import (
	"context"
	"errors"

	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// errUnmarkedEnd means that the end of the connection alone ends a stream: an upstream that is killed
// closes its connections too.
var errUnmarkedEnd = errors.New("stream ends with its connection")

// unmarkedEnd is the end of an attempt's stream that only the closed connection marked.
type unmarkedEnd struct {
	// upstream is empty if there was none, or if its process has ended.
	upstream string
	// after is the number of the last event.
	after int64
}

// takesUnmarkedEnd reports whether the caller's stream may end with its connection as the upstream's does. One that could be
// continued is otherwise given an end by another upstream.
func (r *requestHandler) takesUnmarkedEnd() bool {
	config := &r.exchange.config
	// Another node hands on an unmarked end only if it may.
	return !r.request.Route.Repeatable() || r.unnumbered || r.handedTo != "" || config.StreamEnds.Rely(config.Now(), r.service)
}

// unmarkedEndCompletes reports whether an unmarked end completes the caller's stream. It does not if the upstream is known
// to have been killed: its process has ended.
func (r *requestHandler) unmarkedEndCompletes(ctx context.Context, decision *placement.Decision) bool {
	if r.handedTo != "" {
		// The other node has looked.
		return r.unmarked && r.attemptEvents > 0
	}
	if r.attemptEvents == 0 && r.firstEnd.upstream == "" {
		return false
	}
	probe, cancel := context.WithTimeout(ctx, endProbeTimeout)
	defer cancel()
	if r.exchange.config.Sender.HasEnded(probe, decision.Lead) {
		return false
	}
	if r.confirmUnmarkedEnd(decision) {
		config := &r.exchange.config
		return config.StreamEnds.Trusted(config.Now(), r.service)
	}
	r.firstEnd = unmarkedEnd{upstream: decision.Lead.ID, after: r.lastEventNumber}
	return r.unmarked && r.attemptEvents > 0
}

// confirmUnmarkedEnd records that an upstream had no event after the one with which an earlier upstream closed its
// connection. It reports whether that is so.
func (r *requestHandler) confirmUnmarkedEnd(decision *placement.Decision) bool {
	first := r.firstEnd
	if first.upstream == "" || first.upstream == decision.Lead.ID || first.after != r.lastEventNumber || r.attemptEvents > 0 || r.handedTo != "" {
		return false
	}
	if r.repeated != 0 && r.repeated != first.after {
		// It did not reach the event after which it was to continue.
		return false
	}
	r.firstEnd, r.endConfirmed = unmarkedEnd{}, true
	config := &r.exchange.config
	if config.StreamEnds.Confirm(config.Now(), r.service) {
		config.Logger.Info().Str("request_id", r.request.ID).Str("service", r.service).Bool("trusted", true).Msg(telemetry.LogStreamEndsTrusted)
	}
	return true
}

// contradictUnmarkedEnd records an event that follows an unmarked end of an earlier upstream.
func (r *requestHandler) contradictUnmarkedEnd() {
	r.endConfirmed = false
	if r.firstEnd.upstream == "" {
		return
	}
	r.firstEnd = unmarkedEnd{}
	config := &r.exchange.config
	config.Metrics.Count("wigeontiller_streams_truncated_by_close_total", 1)
	if config.StreamEnds.Contradict(config.Now(), r.service) {
		config.Logger.Warn().Str("request_id", r.request.ID).Str("service", r.service).Bool("trusted", false).Msg(telemetry.LogStreamEndsTrusted)
	}
}
