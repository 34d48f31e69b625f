package entry

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/wigeontiller/wigeontiller/resume"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/upstream"
)

const (
	// maxResumeAttempts is the maximum number of attempts to resume between two events.
	maxResumeAttempts = 6
	// initialBackoff bounds the wait before the second attempt to resume; the bound
	// doubles with each further attempt.
	initialBackoff = 50 * time.Millisecond
)

// streamEvent is one event, or the error that ended the events.
type streamEvent struct {
	data []byte
	// number is the engine's number of the event, or 0 if it sends none.
	number int
	err    error
}

// relay copies a stream from its engine to its caller. When the connection to the
// engine breaks, it resumes the stream after the last event sent.
type relay struct {
	server   *Server
	call     *call
	response *upstreamResponse
	// resumeToken is the encoded resume token.
	resumeToken string
	events      <-chan streamEvent
	outcome     scheduling.Outcome
	// lastSent is the number of the last event sent to the caller.
	lastSent int
	// resumeAttempts counts the attempts to resume since that event was sent.
	resumeAttempts int
}

// newRelay returns the relay of a stream whose first event has arrived.
func (s *Server) newRelay(accepted *call, response *upstreamResponse) *relay {
	return &relay{server: s, call: accepted, response: response, resumeToken: s.signResumeToken(accepted, response)}
}

// run copies events to w and reports whether it sent the end marker.
func (r *relay) run(ctx context.Context, w *bufio.Writer) bool {
	if r.events == nil {
		first := streamEvent{data: r.response.firstEvent, number: r.response.events.ID()}
		r.events = readEvents(ctx, first, r.response.events)
	}
	for {
		next := r.receive(ctx)
		if next.err != nil {
			if r.reconnect(ctx) != nil {
				return false
			}
			continue
		}
		if next.number > 0 && next.number <= r.lastSent {
			r.server.config.Metrics.Count("wigeontiller_events_dropped_total", 1)
			continue
		}
		if next.number > r.lastSent+1 {
			return false
		}
		if r.send(w, next.data) != nil {
			return false
		}
		if bytes.Equal(next.data, upstream.EndMarker) {
			return true
		}
	}
}

func (r *relay) receive(ctx context.Context) streamEvent {
	select {
	case next, ok := <-r.events:
		if !ok {
			return streamEvent{err: upstream.ErrIncomplete}
		}
		return next
	case <-ctx.Done():
		return streamEvent{err: ctx.Err()}
	}
}

func (r *relay) send(w *bufio.Writer, data []byte) error {
	parseUsage(data, &r.outcome)
	r.lastSent++
	r.resumeAttempts = 0
	return writeEvent(w, resume.EventID(r.lastSent, r.resumeToken), data)
}

// reconnect resumes the stream at its engine after the last event sent. It is called
// when no connection was made yet or the last one failed. Errors: ErrGone, ErrIncomplete
// and ErrNotSent of package upstream, and those of the context.
func (r *relay) reconnect(ctx context.Context) error {
	err := upstream.ErrIncomplete
	for r.resumeAttempts < maxResumeAttempts && !errors.Is(err, upstream.ErrGone) {
		if waitErr := backOff(ctx, r.resumeAttempts); waitErr != nil {
			return waitErr
		}
		r.resumeAttempts++
		var reply *upstream.Reply
		reply, err = r.requestResume(ctx)
		if err == nil {
			r.useResumedReply(ctx, reply)
			return nil
		}
	}
	return err
}

func (r *relay) requestResume(ctx context.Context) (*upstream.Reply, error) {
	ctx, span := r.server.config.Tracer.Start(ctx, "resume")
	defer span.End()
	return r.server.config.Upstreams.Resume(ctx, &upstream.Attempt{
		ID:       r.response.attemptID,
		Address:  r.response.address,
		Header:   headerWithTrace(ctx, map[string]string{upstream.HeaderOwner: r.server.config.Owner}),
		Deadline: r.call.request.Deadline,
	}, r.lastSent)
}

func (r *relay) useResumedReply(ctx context.Context, reply *upstream.Reply) {
	if r.response.reply != nil {
		r.response.reply.Close()
	}
	r.response.reply = reply
	reader := upstream.NewEventReader(reply.Body())
	r.events = readEvents(ctx, streamEvent{}, reader)
	r.server.config.Metrics.Count("wigeontiller_streams_resumed_total", 1)
	r.server.config.Logger.Info().Str("request_id", r.call.requestID).Str("attempt_id", r.response.attemptID).
		Int("after", r.lastSent).Msg("stream resumed")
}

// backOff waits before an attempt to resume: not at all before the first, then a random
// time between half of a doubling bound and the whole.
func backOff(ctx context.Context, attempts int) error {
	if attempts == 0 {
		return ctx.Err()
	}
	bound := initialBackoff << (attempts - 1)
	timer := time.NewTimer(bound/2 + rand.N(bound/2))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readEvents reads events in a goroutine of its own, so that an unresponsive engine can't
// hold the caller past its deadline. It starts with first unless that is empty. The
// channel is closed when reading has ended.
func readEvents(ctx context.Context, first streamEvent, reader *upstream.EventReader) <-chan streamEvent {
	events := make(chan streamEvent)
	go func() {
		defer close(events)
		next := first
		if next.data == nil {
			next = readEvent(reader)
		}
		for {
			select {
			case events <- next:
			case <-ctx.Done():
				return
			}
			if next.err != nil {
				return
			}
			next = readEvent(reader)
		}
	}()
	return events
}

func readEvent(reader *upstream.EventReader) streamEvent {
	data, err := reader.Next()
	return streamEvent{data: data, number: reader.ID(), err: err}
}
