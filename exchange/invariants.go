package exchange

import (
	"bytes"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/telemetry"
)

// Invariants that a request handler checks before it acts. A violation is a bug in this
// program: it is counted, logged as an error, and the action is not carried out. A response
// that has begun is then broken off.
const (
	invariantAtMostOnce  = "at_most_once"
	invariantNotExecuted = "not_run"
	invariantEventOrder  = "event_order"
	invariantWholeEvent  = "whole_event"
	invariantOneResponse = "one_answer"
)

// reportViolation counts and logs a violation.
func (r *requestHandler) reportViolation(invariant string) {
	r.exchange.config.Metrics.InvariantBroken(invariant)
	r.exchange.config.Logger.Error().Str("request_id", r.request.ID).Str("promise", invariant).
		Int("ran", r.history.PossibleExecutions()).Int64("last_event", r.lastEventNumber).Msg(telemetry.LogInvariantBroken)
}

// allowSend reports whether a send keeps the invariant that a request that must not be
// retried runs at most once.
func (r *requestHandler) allowSend() bool {
	if r.history.StartAttempt() {
		return true
	}
	r.reportViolation(invariantAtMostOnce)
	return false
}

// withVerifiedCode returns the failure, with the code UpstreamFailed if its own would
// wrongly guarantee that a request that must not be retried was not executed.
func (r *requestHandler) withVerifiedCode(failure Failure) Failure {
	claimsNotExecuted := failure.Code == Unavailable || failure.Code == Overloaded || failure.Code == RequestBlocked || failure.Code == ExpiredNotExecuted
	if !claimsNotExecuted || r.history.NotExecuted() || r.request.Route.Repeatable() {
		return failure
	}
	r.reportViolation(invariantNotExecuted)
	failure.Code = UpstreamFailed
	return failure
}

// inOrder reports whether an event may be sent: it has no number, or it is the next one
// after the last that the caller has.
func (r *requestHandler) inOrder(number int64) bool {
	if number == 0 || number == r.lastEventNumber+1 {
		return true
	}
	r.reportViolation(invariantEventOrder)
	return false
}

// isWhole reports whether an event may be sent: it has the blank line that ends it, by which a caller tells it from the next
// one. It looks at the bytes alone, not at what the reader made of them.
func (r *requestHandler) isWhole(data []byte) bool {
	if line, ok := bytes.CutSuffix(data, []byte("\n")); ok && bytes.HasSuffix(bytes.TrimRight(line, "\r"), []byte("\n")) {
		return true
	}
	r.reportViolation(invariantWholeEvent)
	return false
}

// singleResponse passes one response to the caller. It breaks off the response if a second one follows, and
// if none was completed when the handler has ended.
type singleResponse struct {
	ResponseWriter
	handler *requestHandler
	// begun is set by the first call, ended by the one that completes or breaks off the response.
	begun, ended bool
	// brokenOff is true if a violation has broken off the response.
	brokenOff bool
}

// allowBegin reports whether a response may begin now.
func (o *singleResponse) allowBegin() bool {
	if o.begun || o.ended {
		o.breakOff()
		return false
	}
	o.begun = true
	o.SetAttempts(o.handler.history.Attempts(), o.handler.history.PossibleExecutions())
	return true
}

// allowEnd reports whether the response may be completed now.
func (o *singleResponse) allowEnd() bool {
	if o.ended || !o.begun {
		o.breakOff()
		return false
	}
	o.ended = true
	return true
}

// breakOff reports a violation and aborts the response unless it has ended.
func (o *singleResponse) breakOff() {
	o.handler.reportViolation(invariantOneResponse)
	if !o.ended {
		o.ended, o.brokenOff = true, true
		o.ResponseWriter.Abort()
	}
}

// close breaks off a response that the handler has not ended.
func (o *singleResponse) close() {
	if !o.ended {
		o.breakOff()
	}
}

// WriteResponse implements ResponseWriter.
func (o *singleResponse) WriteResponse(reply Reply, body []byte) {
	if o.allowBegin() && o.allowEnd() {
		o.ResponseWriter.WriteResponse(reply, body)
	}
}

// WriteFailure implements ResponseWriter.
func (o *singleResponse) WriteFailure(failure Failure) {
	if o.allowBegin() && o.allowEnd() {
		o.ResponseWriter.WriteFailure(failure)
	}
}

// BeginStream implements ResponseWriter.
func (o *singleResponse) BeginStream(reply Reply, unmarked bool) {
	if o.allowBegin() {
		o.ResponseWriter.BeginStream(reply, unmarked)
	}
}

// WriteEvents implements ResponseWriter.
func (o *singleResponse) WriteEvents(data []byte) error {
	if !o.begun || o.ended {
		o.breakOff()
		return errResponseEnded
	}
	return o.ResponseWriter.WriteEvents(data)
}

// EndStream implements ResponseWriter.
func (o *singleResponse) EndStream() {
	if o.allowEnd() {
		o.ResponseWriter.EndStream()
	}
}

// Abort implements ResponseWriter.
func (o *singleResponse) Abort() {
	if o.ended {
		o.breakOff()
		return
	}
	o.ended = true
	o.ResponseWriter.Abort()
}

var errResponseEnded = eris.New("response has ended")
