package exchange

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/blocklist"
	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/quarantine"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// errRequestBlocked is the cancellation cause of attempts whose request was blocked.
var errRequestBlocked = eris.New("the request crashes upstreams")

// ReasonRequestBlocked is the reason of failures because of a request that crashes upstreams.
const ReasonRequestBlocked = "request_blocked"

// endProbeTimeout bounds the check whether an upstream's process has ended: a round trip between
// distant data centres. A retry waits for it.
const endProbeTimeout = 150 * time.Millisecond

// partFeatures are those of the parts of the request's prompt.
func (r *Request) partFeatures() []uint64 {
	features := make([]uint64, len(r.PromptParts))
	for i, part := range r.PromptParts {
		features[i] = quarantine.PartFeature(part)
	}
	return features
}

// isBlocked reports whether the request must not be sent, or sent again, because it crashes upstreams,
// and keeps the block. The first call that finds a granted trial takes it.
func (r *requestHandler) isBlocked() bool {
	if r.upstreamsEnded >= quarantine.MaxEndsPerRequest || r.isTrial && r.history.PossibleExecutions() > 0 {
		return true
	}
	if r.isTrial {
		return false
	}
	r.block = r.exchange.config.Blocklist.Blocking(r.features)
	if r.block == nil {
		return false
	}
	if r.placements == 0 && r.exchange.config.Blocklist.TakeTrial(r.block) {
		r.isTrial = true
		return false
	}
	return true
}

// blockedBeforeSend is isBlocked just before the first byte of an attempt.
func (r *requestHandler) blockedBeforeSend() bool {
	return !r.isTrial && r.exchange.config.Blocklist.Blocking(r.features) != nil
}

// watchForBlock cancels the attempt if its request is blocked before the upstream has answered. An
// attempt that must not be repeated goes on: its caller could not try again either.
func (r *requestHandler) watchForBlock(watch *watchdog) {
	r.stopBlockWatch = func() {}
	if !r.isTrial && (r.request.Route.Kind == fleet.Stream || r.request.Route.Repeatable()) {
		r.stopBlockWatch = r.exchange.config.Blocklist.Watch(r.features, func() { watch.cancelCause(errRequestBlocked) })
	}
}

// failBlocked ends a request that is blocked.
func (r *requestHandler) failBlocked(ctx context.Context) {
	failure := Failure{Code: RequestBlocked, Reason: ReasonRequestBlocked}
	if r.block != nil {
		failure.RetryAfter = r.exchange.config.Blocklist.RetryAfter(r.block)
	}
	r.fail(ctx, failure)
}

// recordEvent records an event of the current attempt. From the second one on it shows that the engine has outlived the point
// after the event before the last.
func (r *requestHandler) recordEvent() {
	r.attemptEvents++
	now := time.Now()
	if r.attemptEvents == 1 {
		r.stopBlockWatch()
		r.attemptBegan = now
	} else {
		r.exchange.config.Blocklist.RecordProgress(r.features, r.attemptEvents-2, r.attemptEventAt)
	}
	r.attemptEventAt = now
}

// recordWholeStream records a complete stream.
func (r *requestHandler) recordWholeStream() {
	if r.attemptEvents > 0 {
		r.exchange.config.Blocklist.RecordProgress(r.features, r.attemptEvents-1, r.attemptEventAt)
		r.exchange.config.Blocklist.RecordStream(r.features, r.attemptBegan)
	}
}

// recordWholeResponse records a complete response that is not a stream. A failure tells nothing: an
// upstream may fail before it runs the request.
func (r *requestHandler) recordWholeResponse(status int) {
	if status < 500 {
		r.exchange.config.Blocklist.RecordAnswer(r.request.Identity.Features(), time.Now())
	}
}

// isUpstreamEnd reports whether the error of a response's body tells that the upstream closed its
// connection: not that this node rejects the response, or that the network gave up on it.
func isUpstreamEnd(err error) bool {
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return false
	}
	return !errors.Is(err, errMissingEvent) && !errors.Is(err, errUnnumberedEvent) && !errors.Is(err, errEventTooLong) && !errors.Is(err, errBodyTooLong) && !errors.Is(err, errNoBuffer)
}

// recordLostAttempt records that an upstream cut the connection of an attempt, and reports whether that is evidence. If the
// upstream's process has ended, all that was under way there is suspected, however far its answer had come. A
// stream whose header had arrived and no event is suspected by its parts in any case, as the process may be back already; unless another
// upstream has confirmed that no event was left to send.
func (r *requestHandler) recordLostAttempt(ctx context.Context, decision *placement.Decision) bool {
	if r.handedTo != "" {
		return false
	}
	lostAt := time.Now()
	beganToAnswer := r.request.Route.Kind == fleet.Stream && r.headerReceived && r.attemptEvents == 0 && !r.endConfirmed
	if beganToAnswer {
		r.exchange.config.Metrics.Count("wigeontiller_streams_lost_before_first_event_total", 1)
	}
	probe, cancel := context.WithTimeout(ctx, endProbeTimeout)
	ended := r.exchange.config.Sender.HasEnded(probe, decision.Lead)
	cancel()
	r.exchange.config.Logger.Info().Str("request_id", r.request.ID).Str("request_digest", r.request.Identity.String()).Str("upstream", decision.Lead.ID).
		Strs("prompt_parts", blocklist.FormatFeatures(r.request.PromptParts)).Bool("header_received", r.headerReceived).Int("events", r.attemptEvents).
		Dur("ran_ms", lostAt.Sub(r.attemptSent)).Bool("process_ended", ended).Msg(telemetry.LogAttemptLost)
	var features []uint64
	switch {
	case ended:
		r.exchange.config.Metrics.Count("wigeontiller_attempts_lost_with_their_upstream_total", 1)
		features = r.features
	case beganToAnswer:
		features = r.request.partFeatures()
	}
	if r.attemptEvents == 0 && (ended || beganToAnswer) {
		r.upstreamsEnded++
	}
	r.exchange.config.Blocklist.RecordEnd(processOf(decision.Lead), decision.ID, features, r.attemptEvents, r.attemptSent, lostAt)
	if !ended {
		r.recordSilentAttempt(decision, lostAt)
	}
	return ended || beganToAnswer
}

// recordSilentAttempt records an attempt without a whole answer whose upstream may have ended.
func (r *requestHandler) recordSilentAttempt(decision *placement.Decision, givenUp time.Time) {
	if r.handedTo == "" {
		r.exchange.config.Blocklist.RecordSilent(decision.Lead, processOf(decision.Lead), decision.ID, r.features, r.attemptEvents, r.attemptSent, givenUp)
	}
}

// processOf identifies an upstream's process.
func processOf(upstream *fleet.Upstream) string {
	return upstream.ID + "/" + strconv.FormatInt(upstream.StartedMs, 10)
}
