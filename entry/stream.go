package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/wigeontiller/wigeontiller/apierror"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/upstream"
)

// writeGrace is the time that a slow caller has after its deadline to take the
// last event.
const writeGrace = time.Second

// streamEvent is one event, or the end of the events.
type streamEvent struct {
	data []byte
	err  error
}

// sendStream copies events to the caller after the handler has returned.
func (s *Server) sendStream(ctx context.Context, c *fiber.Ctx, accepted *call, got *answer, finish func()) {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	conn := c.Context().Conn()
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer finish()
		_ = conn.SetWriteDeadline(accepted.request.Deadline.Add(writeGrace))
		s.copyEvents(ctx, w, accepted, got)
		_ = conn.SetWriteDeadline(time.Time{})
	})
}

// copyEvents forwards events until the end marker. A stream that breaks off
// ends with an error event, so that the caller never takes it for whole.
func (s *Server) copyEvents(ctx context.Context, w *bufio.Writer, accepted *call, got *answer) {
	events := pump(ctx, got)
	var outcome scheduling.Outcome
	for {
		var next streamEvent
		select {
		case next = <-events:
		case <-ctx.Done():
			next.err = ctx.Err()
		}
		readUsage(next.data, &outcome)
		if next.err == nil {
			next.err = writeEvent(w, next.data)
		}
		if next.err != nil {
			s.endBroken(ctx, w, accepted, got, events)
			return
		}
		if bytes.Equal(next.data, upstream.EndMarker) {
			drain(events)
			got.close(outcome)
			return
		}
	}
}

// pump reads events on its own goroutine, so that a silent engine can't hold
// the caller past its deadline. The channel is closed when reading has ended.
func pump(ctx context.Context, got *answer) <-chan streamEvent {
	events := make(chan streamEvent)
	go func() {
		defer close(events)
		next := streamEvent{data: got.first}
		for {
			select {
			case events <- next:
			case <-ctx.Done():
				return
			}
			if next.err != nil {
				return
			}
			next.data, next.err = got.events.Next()
		}
	}()
	return events
}

func drain(events <-chan streamEvent) {
	for range events {
		continue
	}
}

func writeEvent(w *bufio.Writer, data []byte) error {
	for _, line := range bytes.Split(data, []byte("\n")) {
		_, _ = w.WriteString("data: ")
		_, _ = w.Write(line)
		_ = w.WriteByte('\n')
	}
	_ = w.WriteByte('\n')
	return w.Flush()
}

func (s *Server) endBroken(ctx context.Context, w *bufio.Writer, accepted *call, got *answer, events <-chan streamEvent) {
	failure := attemptFailure(ctx, apierror.MayHaveRun)
	failure.RequestID = accepted.callerID
	s.config.Metrics.Refusal(string(failure.Code))
	if data, err := json.Marshal(failure); err == nil {
		_ = writeEvent(w, data)
	}
	outcome := failedOutcome(ctx)
	attempt := &upstream.Attempt{ID: got.attemptID, Address: got.placement.Upstream.Address}
	s.cleanups.Add(1)
	go func() {
		defer s.cleanups.Done()
		s.cancelUntilGone(attempt)
		drain(events)
		got.close(outcome)
	}()
}
