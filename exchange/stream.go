package exchange

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/placement"
)

// relayStream forwards events as they arrive. Only complete events are forwarded, so that
// an interrupted stream can be resumed on another upstream.
func (r *requestHandler) relayStream(ctx context.Context, decision *placement.Decision, reply Reply, watch *watchdog) nextAction {
	scheduler := r.exchange.config.Scheduler
	if !reply.Authentic() {
		reply.Abort()
		scheduler.End(decision.ID, placement.Unresponsive, "")
		r.reason = "answer_not_whole"
		r.avoid = append(r.avoid, decision.Lead.ID)
		return r.retryOrFail(ctx)
	}
	events := newEventReader(reply.Body())
	events.reservation = r.exchange.openAnswer(r.request)
	defer events.reservation.Release()
	continuation := r.begun.Load()
	for first := true; ; first = false {
		data, number, waited, err := r.nextEvent(events, reply, watch)
		if errors.Is(err, errSuperseded) {
			return r.superseded(ctx, decision, reply, watch)
		}
		if err != nil {
			return r.onStreamEnd(ctx, decision, reply, data, err, watch)
		}
		if number != 0 && number <= r.lastEventNumber {
			r.repeated = number
			continue
		}
		if number == 0 && events.isComment && watch.waitsBeside() {
			continue
		}
		if number > r.lastEventNumber+1 {
			return r.onStreamEnd(ctx, decision, reply, data, errMissingEvent, watch)
		}
		if number == 0 && !events.isComment {
			if continuation {
				return r.onStreamEnd(ctx, decision, reply, data, errUnnumberedEvent, watch)
			}
			r.unnumbered = true
		}
		if first {
			scheduler.FirstEvent(decision.ID)
		}
		if number != 0 || events.hasData {
			watch.recordEvent()
			r.heardEvent(decision.Lead, waited)
			r.recordEvent()
			r.contradictUnmarkedEnd()
		}
		if failed := r.relayEvent(reply, data, number, events.isComment); failed != nil {
			reply.Abort()
			scheduler.End(decision.ID, placement.Neutral, "")
			r.outcome, r.reason = CallerDisconnected, "write_failed"
			r.writer.Abort()
			return actionDone
		}
	}
}

// nextEvent is eventReader.next, and returns how long this node has waited for the event. Errors besides: errSuperseded, and that of
// the attempt's context if the stream has not begun, as an attempt that was given up must not begin it.
func (r *requestHandler) nextEvent(events *eventReader, reply Reply, watch *watchdog) (data []byte, number int64, waited time.Duration, err error) {
	watch.beginWait()
	since := time.Now()
	data, number, err = events.next()
	waited = time.Since(since)
	if watch.endWait(err == nil && r.isNext(events, number) || err != nil && streamEndError(reply, data, err) == nil) {
		return nil, 0, waited, errSuperseded
	}
	if err == nil && !r.begun.Load() {
		err = watch.ctx.Err()
	}
	return data, number, waited, err
}

var (
	errMissingEvent    = errors.New("event missing from the stream")
	errUnfinishedEvent = errors.New("event without the blank line that ends it")
	errUnnumberedEvent = errors.New("event of a continued stream has no number")
)

// relayEvent sends one event, or comments, to the caller.
func (r *requestHandler) relayEvent(reply Reply, data []byte, number int64, isComment bool) error {
	if !r.inOrder(number) {
		return errMissingEvent
	}
	if !isComment && !r.isWhole(data) {
		return errUnfinishedEvent
	}
	now := time.Now()
	if r.begun.CompareAndSwap(false, true) {
		r.unmarked = reply.Delivery().Framing == CloseDelimited && r.takesUnmarkedEnd()
		r.writer.BeginStream(reply, r.unmarked)
		r.firstEventDelay = now.Sub(r.request.Arrived)
	} else if pause := now.Sub(r.lastEventAt); pause > r.longestPause {
		r.longestPause, r.pauseEnd = pause, now.Sub(r.request.Arrived)
	}
	r.lastEventAt = now
	if number != 0 {
		r.lastEventNumber = number
	}
	return r.writer.WriteEvents(data)
}

// streamEndError returns nil if the body has ended as a complete stream. remainder holds the bytes
// after the last complete event.
func streamEndError(reply Reply, remainder []byte, err error) error {
	switch {
	case !isBodyEnd(err):
		return err
	case len(remainder) > 0:
		return eris.Wrapf(io.ErrUnexpectedEOF, "stream ends %d bytes after its last complete event", len(remainder))
	case reply.Delivery().Framing == CloseDelimited:
		return errUnmarkedEnd
	}
	return nil
}

// endCompleteStream ends the attempt and the caller's stream after a complete body.
func (r *requestHandler) endCompleteStream(decision *placement.Decision, reply Reply) nextAction {
	reply.Finish()
	r.exchange.config.Scheduler.End(decision.ID, placement.Answered, "")
	r.confirmUnmarkedEnd(decision)
	r.recordWholeStream()
	r.recordRunTime()
	if r.begun.CompareAndSwap(false, true) {
		r.writer.BeginStream(reply, false)
	}
	r.writer.EndStream()
	r.outcome = Answered
	return actionDone
}

// onStreamEnd handles the end of a stream's body. remainder holds the bytes after the last
// complete event; a stream is complete only if there are none.
func (r *requestHandler) onStreamEnd(ctx context.Context, decision *placement.Decision, reply Reply, remainder []byte, err error, watch *watchdog) nextAction {
	scheduler := r.exchange.config.Scheduler
	err = streamEndError(reply, remainder, err)
	if err == nil {
		return r.endCompleteStream(decision, reply)
	}
	if errors.Is(err, errUnmarkedEnd) && watch.endStandby() {
		reply.Abort()
		scheduler.End(decision.ID, placement.Neutral, "")
		return actionDone
	}
	if errors.Is(err, errUnmarkedEnd) && r.unmarkedEndCompletes(ctx, decision) {
		reply.Finish()
		scheduler.End(decision.ID, placement.Neutral, "")
		r.writer.EndStream()
		r.outcome = Answered
		return actionDone
	}
	if !errors.Is(err, errUnmarkedEnd) {
		r.endConfirmed = false
	}
	reply.Abort()
	outcome := placement.Unresponsive
	// An upstream that marks no end is not at fault, unless it ends before the first event of the request.
	unmarked := errors.Is(err, errUnmarkedEnd) && (r.attemptEvents > 0 || r.begun.Load())
	if ctx.Err() != nil || watch.blocked() || unmarked {
		outcome = placement.Neutral
	}
	scheduler.End(decision.ID, outcome, "")
	r.avoid = append(r.avoid, decision.Lead.ID)
	r.reason = "stream_broke_off"
	r.logFailedAttempt(decision, err.Error(), reply.Status())
	upstreamEnded := false
	switch {
	case r.handedTo != "":
		r.failedPeers = append(r.failedPeers, r.handedTo)
		// A node that breaks off tells of its upstream; one that has ended refuses the next connection.
		if watch.ctx.Err() != nil {
			r.leaveOut(ctx, r.handedTo, watch)
		}
	case watch.ctx.Err() == nil && isUpstreamEnd(err):
		upstreamEnded = r.recordLostAttempt(ctx, decision)
	case unmarked:
	case ctx.Err() == nil && !watch.blocked():
		r.recordSilentAttempt(decision, time.Now())
		r.checkReach(ctx)
	}
	if watch.endStandby() {
		return actionDone
	}
	if (watch.blocked() || upstreamEnded || r.upstreamsEnded > 0) && r.isBlocked() {
		return actionBlocked
	}
	return r.retryOrFail(ctx)
}
