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

// writeGrace is the time that a slow caller has after its deadline to take the
// last event.
const writeGrace = time.Second

// sendStream copies events to the caller after the handler has returned.
func (s *Server) sendStream(ctx context.Context, c *fiber.Ctx, r *relay, finish func()) {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Set(headerResumeToken, r.token)
	conn := c.Context().Conn()
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer finish()
		_ = conn.SetWriteDeadline(r.call.request.Deadline.Add(writeGrace))
		s.copyEvents(ctx, w, r)
		_ = conn.SetWriteDeadline(time.Time{})
	})
}

// copyEvents forwards events until the end marker. A stream that breaks off and
// can't be resumed ends with an error event, so that the caller never takes it
// for whole.
func (s *Server) copyEvents(ctx context.Context, w *bufio.Writer, r *relay) {
	whole := r.run(ctx, w)
	if !whole {
		s.endBroken(ctx, w, r)
		return
	}
	drain(r.events)
	s.countUsage(r.call.request, r.outcome)
	r.got.close(r.outcome)
}

func drain(events <-chan streamEvent) {
	for range events {
		continue
	}
}

// writeEvent writes one event; without an id it has no id field.
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

func (s *Server) endBroken(ctx context.Context, w *bufio.Writer, r *relay) {
	failure := attemptFailure(ctx, apierror.MayHaveRun)
	failure.RequestID = r.call.callerID
	s.config.Metrics.Refusal(string(failure.Code))
	if data, err := json.Marshal(failure); err == nil {
		_ = writeEvent(w, "", data)
	}
	outcome := failedOutcome(ctx)
	attempt := &upstream.Attempt{ID: r.got.attemptID, Address: r.got.address}
	s.cleanups.Add(1)
	go func() {
		defer s.cleanups.Done()
		s.cancelUntilGone(attempt)
		drain(r.events)
		r.got.close(outcome)
	}()
}
