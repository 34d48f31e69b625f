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
	// resumeAttempts bounds the attempts to resume between two events.
	resumeAttempts = 6
	// firstBackoff is the wait before the second attempt; it doubles.
	firstBackoff = 50 * time.Millisecond
)

// streamEvent is one event, or the end of the events.
type streamEvent struct {
	data []byte
	// number is the engine's number of the event, or 0 when it gives none.
	number int
	err    error
}

// relay copies one stream from its engine to its caller. When the connection to
// the engine breaks, it goes on after the last event sent.
type relay struct {
	server *Server
	call   *call
	got    *answer
	// token is the text of the resume token.
	token   string
	events  <-chan streamEvent
	outcome scheduling.Outcome
	// sent is the number of the last event that the caller was sent.
	sent int
	// failed counts the attempts to resume since then.
	failed int
}

// newRelay returns the relay of an answer whose first event has arrived.
func (s *Server) newRelay(accepted *call, got *answer) *relay {
	return &relay{server: s, call: accepted, got: got, token: s.tokenText(accepted, got)}
}

// run copies events and reports whether it sent the end marker.
func (r *relay) run(ctx context.Context, w *bufio.Writer) bool {
	if r.events == nil {
		first := streamEvent{data: r.got.first, number: r.got.events.ID()}
		r.events = pump(ctx, first, r.got.events)
	}
	for {
		next := r.receive(ctx)
		if next.err != nil {
			if r.reconnect(ctx) != nil {
				return false
			}
			continue
		}
		if next.number > 0 && next.number <= r.sent {
			r.server.config.Metrics.Count("wigeontiller_events_dropped_total", 1)
			continue
		}
		if next.number > r.sent+1 {
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
	readUsage(data, &r.outcome)
	r.sent++
	r.failed = 0
	return writeEvent(w, resume.EventID(r.sent, r.token), data)
}

// reconnect resumes the stream at its engine after the last event sent. The
// earlier connection must have failed or never have been. Errors: ErrGone,
// ErrIncomplete and ErrNotSent of package upstream, and the context's.
func (r *relay) reconnect(ctx context.Context) error {
	err := upstream.ErrIncomplete
	for r.failed < resumeAttempts && !errors.Is(err, upstream.ErrGone) {
		if waited := wait(ctx, r.failed); waited != nil {
			return waited
		}
		r.failed++
		var reply *upstream.Reply
		reply, err = r.ask(ctx)
		if err == nil {
			r.resumed(ctx, reply)
			return nil
		}
	}
	return err
}

func (r *relay) ask(ctx context.Context) (*upstream.Reply, error) {
	ctx, span := r.server.config.Tracer.Start(ctx, "resume")
	defer span.End()
	return r.server.config.Upstreams.Resume(ctx, &upstream.Attempt{
		ID:       r.got.attemptID,
		Address:  r.got.address,
		Header:   traced(ctx, map[string]string{upstream.HeaderOwner: r.server.config.Owner}),
		Deadline: r.call.request.Deadline,
	}, r.sent)
}

func (r *relay) resumed(ctx context.Context, reply *upstream.Reply) {
	if r.got.reply != nil {
		r.got.reply.Close()
	}
	r.got.reply = reply
	reader := upstream.NewEventReader(reply.Body())
	r.events = pump(ctx, streamEvent{}, reader)
	r.server.config.Metrics.Count("wigeontiller_streams_resumed_total", 1)
	r.server.config.Logger.Info().Str("request_id", r.call.callerID).Str("attempt_id", r.got.attemptID).
		Int("after", r.sent).Msg("stream resumed")
}

// wait spends the time before an attempt to resume: none before the first, then
// a random part of a doubling bound.
func wait(ctx context.Context, failed int) error {
	if failed == 0 {
		return ctx.Err()
	}
	bound := firstBackoff << (failed - 1)
	timer := time.NewTimer(bound/2 + rand.N(bound/2))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pump reads events on its own goroutine, so that a silent engine can't hold
// the caller past its deadline. It begins with first unless that is empty. The
// channel is closed when reading has ended.
func pump(ctx context.Context, first streamEvent, reader *upstream.EventReader) <-chan streamEvent {
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
