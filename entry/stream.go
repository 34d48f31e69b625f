package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/wigeontiller/wigeontiller/apierror"
	"github.com/wigeontiller/wigeontiller/upstream"
)

// finalWriteGrace is the time after the deadline that a slow caller has to receive the
// last event.
const finalWriteGrace = time.Second

// sendStream copies events to the caller after the handler has returned.
func (s *Server) sendStream(ctx context.Context, c *fiber.Ctx, r *relay, finish func()) {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Set(headerResumeToken, r.resumeToken)
	conn := c.Context().Conn()
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer finish()
		_ = conn.SetWriteDeadline(r.call.request.Deadline.Add(finalWriteGrace))
		s.copyEvents(ctx, w, r)
		_ = conn.SetWriteDeadline(time.Time{})
	})
}

// copyEvents forwards events up to the end marker. A stream that breaks and can't be
// resumed ends with an error event, so that the caller can't take it for complete.
func (s *Server) copyEvents(ctx context.Context, w *bufio.Writer, r *relay) {
	complete := r.run(ctx, w)
	if !complete {
		s.endIncompleteStream(ctx, w, r)
		return
	}
	discardEvents(r.events)
	s.countUsage(r.call.request, r.outcome)
	r.response.close(r.outcome)
}

func discardEvents(events <-chan streamEvent) {
	for range events {
		continue
	}
}

// writeEvent writes one event; if id is empty, the event has no id field.
func writeEvent(w *bufio.Writer, id string, data []byte) error {
	if id != "" {
		_, _ = w.WriteString("id: " + id + "\n")
	}
	for _, line := range bytes.Split(data, []byte("\n")) {
		_, _ = w.WriteString("data: ")
		_, _ = w.Write(line)
		_ = w.WriteByte('\n')
	}
	_ = w.WriteByte('\n')
	return w.Flush()
}

func (s *Server) endIncompleteStream(ctx context.Context, w *bufio.Writer, r *relay) {
	failure := attemptFailure(ctx, apierror.MayHaveExecuted)
	failure.RequestID = r.call.requestID
	s.config.Metrics.Refusal(string(failure.Code))
	if data, err := json.Marshal(failure); err == nil {
		_ = writeEvent(w, "", data)
	}
	outcome := failedOutcome(ctx)
	attempt := &upstream.Attempt{ID: r.response.attemptID, Address: r.response.address}
	s.backgroundCancels.Add(1)
	go func() {
		defer s.backgroundCancels.Done()
		s.cancelUntilConfirmed(attempt)
		discardEvents(r.events)
		r.response.close(outcome)
	}()
}
