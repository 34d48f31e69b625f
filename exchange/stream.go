package exchange

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/wigeontiller/wigeontiller/placement"
)

// stream passes events on as they come. Only whole events are passed on, so that
// a stream that breaks off can go on elsewhere.
func (r *run) stream(ctx context.Context, decision *placement.Decision, reply Reply, watch *watch) next {
	gate := r.exchange.config.Scheduler
	if !reply.Authentic() {
		reply.Abort()
		gate.End(decision.ID, placement.Silent, "")
		r.reason = "answer_not_whole"
		r.avoid = append(r.avoid, decision.Lead.ID)
		return r.repeat(ctx)
	}
	events := newEventReader(reply.Body())
	for first := true; ; first = false {
		data, number, err := events.next()
		if err != nil {
			return r.ended(ctx, decision, reply, data, err)
		}
		if number != 0 && number <= r.sent {
			continue
		}
		if number > r.sent+1 {
			return r.ended(ctx, decision, reply, data, errGap)
		}
		if first {
			gate.FirstEvent(decision.ID)
		}
		watch.progress()
		if failed := r.pass(reply, data, number); failed != nil {
			reply.Abort()
			gate.End(decision.ID, placement.Neutral, "")
			r.outcome, r.reason = CallerDisconnected, "write_failed"
			r.caller.Break()
			return done
		}
	}
}

var errGap = errors.New("an event is missing")

// pass sends one event to the caller.
func (r *run) pass(reply Reply, data []byte, number int64) error {
	if !r.inOrder(number) {
		return errGap
	}
	now := time.Now()
	if r.begun.CompareAndSwap(false, true) {
		r.caller.Begin(reply)
		r.firstEvent = now.Sub(r.request.Arrived)
	} else if pause := now.Sub(r.lastEvent); pause > r.longestPause {
		r.longestPause, r.pauseEnd = pause, now.Sub(r.request.Arrived)
	}
	r.lastEvent = now
	if number != 0 {
		r.sent = number
	}
	return r.caller.Events(data)
}

// ended judges the end of a stream's body. rest is what followed the last event.
func (r *run) ended(ctx context.Context, decision *placement.Decision, reply Reply, rest []byte, err error) next {
	gate := r.exchange.config.Scheduler
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && len(rest) == 0 {
		reply.Finish()
		gate.End(decision.ID, placement.Answered, "")
		if r.begun.CompareAndSwap(false, true) {
			r.caller.Begin(reply)
		}
		r.caller.End()
		r.outcome = Answered
		return done
	}
	reply.Abort()
	outcome := placement.Silent
	if ctx.Err() != nil {
		outcome = placement.Neutral
	}
	gate.End(decision.ID, outcome, "")
	r.avoid = append(r.avoid, decision.Lead.ID)
	r.reason = "stream_broke_off"
	r.note(decision, err.Error(), reply.Status())
	return r.repeat(ctx)
}
