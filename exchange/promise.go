package exchange

import "github.com/wigeontiller/wigeontiller/telemetry"

// The promises that a run looks at again before it keeps them. A breach is a fault
// of the program: it is counted, logged as an error, and not carried out.
const (
	promiseOnce  = "at_most_once"
	promiseUnrun = "not_run"
	promiseOrder = "event_order"
	promiseOne   = "one_answer"
)

// broken notes a breach.
func (r *run) broken(promise string) {
	r.exchange.config.Metrics.InvariantBroken(promise)
	r.exchange.config.Logger.Error().Str("request_id", r.request.ID).Str("promise", promise).
		Int("ran", r.history.Ran()).Int64("last_event", r.sent).Msg(telemetry.LogPromiseBroken)
}

// maySend reports whether a sending keeps the promise that a request that must not
// be repeated runs once.
func (r *run) maySend() bool {
	if r.history.Send() {
		return true
	}
	r.broken(promiseOnce)
	return false
}

// truthful returns the failure with a code that promises no more than is true.
func (r *run) truthful(failure Failure) Failure {
	promises := failure.Code == Unavailable || failure.Code == Overloaded || failure.Code == ExpiredNotExecuted
	if !promises || r.history.Unrun() || r.request.Route.Repeatable() {
		return failure
	}
	r.broken(promiseUnrun)
	failure.Code = UpstreamFailed
	return failure
}

// inOrder reports whether an event follows the last one that the caller has.
func (r *run) inOrder(number int64) bool {
	if number == 0 || number == r.sent+1 {
		return true
	}
	r.broken(promiseOrder)
	return false
}

// oneAnswer passes one answer on to a caller, and no second one.
type oneAnswer struct {
	Caller
	run *run
	// begun is set by the first call, ended by the one that completes the answer.
	begun, ended bool
}

// starts reports whether an answer may start now.
func (o *oneAnswer) starts() bool {
	if o.begun {
		o.run.broken(promiseOne)
		return false
	}
	o.begun = true
	return true
}

// ends reports whether the answer that started may be completed now.
func (o *oneAnswer) ends() bool {
	if o.ended {
		o.run.broken(promiseOne)
		return false
	}
	o.ended = true
	return true
}

// Whole implements Caller.
func (o *oneAnswer) Whole(reply Reply, body []byte) {
	if o.starts() && o.ends() {
		o.Caller.Whole(reply, body)
	}
}

// Fail implements Caller.
func (o *oneAnswer) Fail(failure Failure) {
	if o.starts() && o.ends() {
		o.Caller.Fail(failure)
	}
}

// Begin implements Caller.
func (o *oneAnswer) Begin(reply Reply) {
	if o.starts() {
		o.Caller.Begin(reply)
	}
}

// End implements Caller.
func (o *oneAnswer) End() {
	if o.ends() {
		o.Caller.End()
	}
}

// Break implements Caller.
func (o *oneAnswer) Break() {
	if o.ends() {
		o.Caller.Break()
	}
}
