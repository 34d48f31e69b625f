package exchange

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// standby is a second attempt at a stream whose upstream is silent. The first attempt stays open; whichever of the two has the next
// event, or the end, serves the request alone from then on. Its fields but handler and done are guarded by the mutex of the first
// attempt's watchdog.
type standby struct {
	handler *requestHandler
	// done is closed once the handler has ended.
	done   chan struct{}
	cancel context.CancelCauseFunc
	state  standbyState
	// sent and ran are what the handler's history held at its start.
	sent, ran int
}

type standbyState int

const (
	// standbyWaits means that neither attempt has the next event.
	standbyWaits standbyState = iota
	// standbyServes means that the second attempt serves the request.
	standbyServes
	// standbyLost means that the first attempt went on.
	standbyLost
)

var (
	// errSuperseded is the cancellation cause of the first attempt.
	errSuperseded = eris.New("stream goes on at another upstream")
	// errStandbyLost is the cancellation cause of the second attempt, and the error of what it writes afterwards.
	errStandbyLost = eris.New("silent upstream has gone on")
)

// mayTryBeside reports whether a second attempt at the stream may be sent beside the current one. The mutex is held.
func (w *watchdog) mayTryBeside() bool {
	r := w.handler
	if !w.waits {
		return false // the handler uses its history
	}
	left := r.history.Left()
	if !r.headerReceived {
		left-- // the current attempt is not counted yet
	}
	return w.standby == nil && left > 0 && r.request.Route.Repeatable() && !r.unnumbered && !r.isTrial
}

// tryBeside sends the request to another upstream while the current attempt goes on. A retry is reserved. The mutex is held, and the
// handler waits for its upstream.
func (w *watchdog) tryBeside() {
	r := w.handler
	child := &requestHandler{
		exchange: r.exchange, request: r.request, service: r.service, history: r.history, placements: r.placements,
		avoid: append(slices.Clone(r.avoid), w.decision.Lead.ID), lastEventNumber: r.lastEventNumber, unmarked: r.unmarked, firstEnd: r.firstEnd,
		features: r.features, triedPeers: slices.Clone(r.triedPeers), failedPeers: slices.Clone(r.failedPeers), arrivals: r.arrivals,
		crowded: r.crowded, upstreamsEnded: r.upstreamsEnded,
		firstEventDelay: r.firstEventDelay, longestPause: r.longestPause, pauseEnd: r.pauseEnd, lastEventAt: r.lastEventAt,
	}
	child.begun.Store(true)
	child.retryReserved.Store(r.retryReserved.Swap(nil))
	if w.ofPeer {
		child.triedPeers = append(child.triedPeers, w.decision.Lead.ID)
	}
	s := &standby{handler: child, done: make(chan struct{}), sent: r.history.Attempts(), ran: r.history.PossibleExecutions()}
	if !r.headerReceived {
		child.history.RecordMayHaveRun()
		s.ran++
	}
	child.writer = &singleResponse{ResponseWriter: &standbyWriter{watch: w, standby: s, to: r.writer}, handler: child, begun: true}
	var ctx context.Context
	ctx, s.cancel = context.WithCancelCause(w.requestCtx)
	w.standby = s
	go s.run(ctx)
}

// run serves the stream from the next event on.
func (s *standby) run(ctx context.Context) {
	defer close(s.done)
	defer s.cancel(nil)
	r := s.handler
	defer r.returnRetry()
	if r.takeRetry(ctx) {
		r.placeAndSend(ctx)
	}
}

// takeOver makes the second attempt serve the request, and reports whether it does.
func (w *watchdog) takeOver(s *standby) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if s.state == standbyWaits {
		s.state = standbyServes
		w.cancelCause(errSuperseded)
		w.handler.exchange.config.Metrics.Count("wigeontiller_silent_upstreams_total", 1)
		w.handler.logSilence(w.decision.Lead.ID, telemetry.LogUpstreamUnresponsive)
	}
	return s.state == standbyServes
}

// beginWait records that the handler waits for its upstream.
func (w *watchdog) beginWait() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	// The time in which the caller took no events is no silence of the upstream.
	w.lastEventAt = w.lastEventAt.Add(time.Since(w.waitEndedAt))
	w.waits = true
}

// endWait records that the handler no longer waits. goesOn is true if it has the next event or the end of the stream. It reports
// whether a second attempt serves the request.
func (w *watchdog) endWait(goesOn bool) (superseded bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.waits, w.waitEndedAt = false, time.Now()
	s := w.standby
	switch {
	case s == nil:
		return false
	case s.state == standbyServes:
		return true
	case goesOn && s.state == standbyWaits:
		s.state = standbyLost
		s.cancel(errStandbyLost)
		w.handler.logSilence(w.decision.Lead.ID, telemetry.LogSilentUpstreamGoesOn)
	}
	if s.state == standbyLost {
		w.mergeIfDone()
	}
	return false
}

// waitsBeside reports whether a second attempt may still have the next event.
func (w *watchdog) waitsBeside() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.standby != nil && w.standby.state == standbyWaits
}

// mergeIfDone counts the attempts of a second attempt that has ended without serving the request. The mutex is held, and the handler
// does not use its history at the time.
func (w *watchdog) mergeIfDone() {
	s := w.standby
	if s == nil || s.state == standbyServes {
		return
	}
	select {
	case <-s.done:
		w.merge(s)
	default:
	}
}

// merge counts the attempts of a second attempt that has ended.
func (w *watchdog) merge(s *standby) {
	r, child := w.handler, s.handler
	r.history.RecordAttempts(child.history.Attempts() - s.sent)
	r.history.RecordExecutions(child.history.PossibleExecutions() - s.ran)
	r.avoid, r.triedPeers, r.failedPeers = child.avoid, child.triedPeers, child.failedPeers
	r.placements, r.crowded, r.upstreamsEnded = child.placements, child.crowded, child.upstreamsEnded
	w.standby = nil
}

// endStandby waits for the second attempt after the first one has failed, or ends it if it has lost, and reports whether it served
// the request to its end.
func (w *watchdog) endStandby() (served bool) {
	w.mutex.Lock()
	s := w.standby
	w.mutex.Unlock()
	if s == nil {
		return false
	}
	<-s.done
	w.mutex.Lock()
	defer w.mutex.Unlock()
	served = s.state == standbyServes
	w.merge(s)
	if served {
		w.handler.adopt(s.handler)
	}
	return served
}

// adopt takes over what the handler that served the request has recorded of its end.
func (r *requestHandler) adopt(served *requestHandler) {
	r.lastEventNumber, r.delivery = served.lastEventNumber, served.delivery
	r.outcome, r.reason, r.status = served.outcome, served.reason, served.status
	r.longestPause, r.pauseEnd = served.longestPause, served.pauseEnd
}

// superseded ends an attempt whose stream goes on at another upstream, and waits for the request's end. reply is nil without a header.
func (r *requestHandler) superseded(ctx context.Context, decision *placement.Decision, reply Reply, watch *watchdog) nextAction {
	status := 0
	if reply != nil {
		status = reply.Status()
		reply.Abort()
	}
	r.exchange.config.Scheduler.End(decision.ID, placement.Neutral, "")
	r.logFailedAttempt(decision, errSuperseded.Error(), status)
	switch {
	case ctx.Err() != nil:
	case watch.ofPeer:
		r.exchange.config.Handover.Refused(decision.Lead.ID)
	default:
		r.recordSilentAttempt(decision, time.Now())
	}
	watch.endStandby()
	return actionDone
}

// logSilence logs what becomes of a silent upstream.
func (r *requestHandler) logSilence(upstream, message string) {
	r.exchange.config.Logger.Info().Str("request_id", r.request.ID).Str("upstream", upstream).Msg(message)
}

// isNext reports whether an event, or the end of a stream, shows that an upstream goes on: comments and events that the
// caller has do not.
func (r *requestHandler) isNext(events *eventReader, number int64) bool {
	return number == r.lastEventNumber+1 || number == 0 && !events.isComment
}

// standbyWriter passes a second attempt's events to the caller once the attempt serves the request.
type standbyWriter struct {
	watch   *watchdog
	standby *standby
	to      ResponseWriter
}

// SetAttempts implements ResponseWriter. The response has begun, so that its caller knows.
func (o *standbyWriter) SetAttempts(int, int) {}

// WriteResponse implements ResponseWriter. It is not called, as the response is a stream that has begun.
func (o *standbyWriter) WriteResponse(Reply, []byte) {}

// BeginStream implements ResponseWriter, like WriteResponse.
func (o *standbyWriter) BeginStream(Reply, bool) {}

// WriteFailure implements ResponseWriter, like WriteResponse.
func (o *standbyWriter) WriteFailure(Failure) {}

// WriteEvents implements ResponseWriter. Errors: errStandbyLost, those of the caller's connection.
func (o *standbyWriter) WriteEvents(data []byte) error {
	if !o.watch.takeOver(o.standby) {
		return errStandbyLost
	}
	return o.to.WriteEvents(data)
}

// EndStream implements ResponseWriter.
func (o *standbyWriter) EndStream() {
	if o.watch.takeOver(o.standby) {
		o.to.EndStream()
	}
}

// Abort implements ResponseWriter. A second attempt that fails leaves the response to the first.
func (o *standbyWriter) Abort() {
	o.watch.mutex.Lock()
	serves := o.standby.state == standbyServes
	o.watch.mutex.Unlock()
	if serves {
		o.to.Abort()
	}
}
