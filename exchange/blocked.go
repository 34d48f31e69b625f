package exchange

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/quarantine"
)

// errPromptBlocked is the cancellation cause of attempts whose prompt was blocked.
var errPromptBlocked = eris.New("a part of the prompt crashes engines")

// ReasonPromptBlocked is the reason of failures because of a prompt that crashes engines.
const ReasonPromptBlocked = "prompt_blocked"

// isBlocked reports whether the request must not be sent, or sent again, because of its prompt, and
// keeps the block. The first call that finds a granted trial takes it.
func (r *requestHandler) isBlocked() bool {
	if r.enginesEnded >= quarantine.MaxEndsPerRequest || r.isTrial && r.enginesEnded > 0 {
		return true
	}
	if r.isTrial {
		return false
	}
	r.block = r.exchange.config.Quarantine.Blocking(r.request.PromptParts)
	if r.block == nil {
		return false
	}
	if r.placements == 0 && r.exchange.config.Quarantine.TakeTrial(r.block) {
		r.isTrial = true
		return false
	}
	return true
}

// blockedBeforeSend is isBlocked just before the first byte of an attempt.
func (r *requestHandler) blockedBeforeSend() bool {
	return !r.isTrial && r.exchange.config.Quarantine.Blocking(r.request.PromptParts) != nil
}

// failBlocked ends a request that is blocked.
func (r *requestHandler) failBlocked(ctx context.Context) {
	failure := Failure{Code: PromptBlocked, Reason: ReasonPromptBlocked}
	if r.block != nil {
		failure.RetryAfter = r.exchange.config.Quarantine.RetryAfter(r.block)
	}
	r.fail(ctx, failure)
}

// recordEvent records an event of the current attempt. With the second one, the engine has outlived
// the start of the answer.
func (r *requestHandler) recordEvent() {
	r.attemptEvents++
	switch r.attemptEvents {
	case 1:
		r.stopBlockWatch()
		r.attemptBegan = time.Now()
	case 2:
		r.exchange.config.Quarantine.RecordAnswer(r.request.PromptParts, r.attemptBegan)
	}
}

// recordWholeStream records a complete stream.
func (r *requestHandler) recordWholeStream() {
	if r.attemptEvents == 1 {
		r.exchange.config.Quarantine.RecordAnswer(r.request.PromptParts, r.attemptBegan)
	}
}

// isUpstreamEnd reports whether a stream's error tells that the upstream closed its connection: not
// that this node rejects the stream, or that the network gave up on it.
func isUpstreamEnd(err error) bool {
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return false
	}
	return !errors.Is(err, errMissingEvent) && !errors.Is(err, errEventTooLong)
}

// recordBrokenStream records that the engine ended a stream, if it had no event yet.
func (r *requestHandler) recordBrokenStream(decision *placement.Decision) {
	if r.attemptEvents > 0 {
		return
	}
	r.enginesEnded++
	r.exchange.config.Metrics.Count("wigeontiller_streams_lost_before_first_event_total", 1)
	engine := decision.Lead.ID + "/" + strconv.FormatInt(decision.Lead.StartedMs, 10)
	r.exchange.config.Quarantine.RecordEnd(engine, decision.ID, r.request.PromptParts, r.attemptSent)
}
