package engine

import (
	"bufio"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/wigeontiller/wigeontiller/standin/eventform"
	"github.com/wigeontiller/wigeontiller/standin/fault"
	"github.com/wigeontiller/wigeontiller/upstream"
)

// defaultGrace is the default of Config.Grace.
const defaultGrace = 15 * time.Second

// endMarker is the data of the last event.
const endMarker = "[DONE]"

// connFault is a fault injected into a reader's connection in mid-stream.
type connFault int

const (
	noFault connFault = iota
	// breakStream closes the connection and cancels the stream.
	breakStream
	// cutConnection closes the connection; the stream goes on.
	cutConnection
)

// appendEvent appends an event to a stream and wakes its readers.
func (e *Engine) appendEvent(s *stream, data []byte) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s.events = append(s.events, data)
	s.changed.Broadcast()
}

// finish frees an attempt's memory. A complete answer is retained for the grace period;
// it is added before the attempt leaves the running streams, so that a reader finds it.
func (e *Engine) finish(s *stream) {
	e.mutex.Lock()
	s.ended = true
	s.changed.Broadcast()
	if !s.canceled {
		e.retained[s.id] = s
		time.AfterFunc(e.config.Grace, func() { e.dropRetained(s) })
	}
	e.mutex.Unlock()
	e.release(s)
}

func (e *Engine) dropRetained(s *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.retained[s.id] == s {
		delete(e.retained, s.id)
	}
}

// attachReader adds a reader to a running or retained stream and returns it, or nil if
// there is none. owner, if not empty, becomes the stream's owner.
func (e *Engine) attachReader(id, owner string) *stream {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s := e.streams[id]
	if s == nil {
		s = e.retained[id]
	}
	if s == nil || s.canceled {
		return nil
	}
	s.readers++
	if owner != "" {
		s.owner = owner
	}
	return s
}

// detachReader removes a reader. A stream without readers for the grace period is canceled.
func (e *Engine) detachReader(s *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s.readers--
	s.detachments++
	if s.readers > 0 || s.ended {
		return
	}
	left := s.detachments
	time.AfterFunc(e.config.Grace, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if s.readers == 0 && s.detachments == left {
			s.canceled = true
			s.changed.Broadcast()
		}
	})
}

// waitForEvent waits for event number after+1. It returns false if the stream ends first.
func (e *Engine) waitForEvent(s *stream, after int) ([]byte, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for !s.ended && !s.canceled && len(s.events) <= after {
		s.changed.Wait()
	}
	if s.canceled || len(s.events) <= after {
		return nil, false
	}
	return s.events[after], true
}

// produce runs an attempt to its end, even without a reader.
func (s *Server) produce(admitted *stream, answer answerWriter) {
	defer s.finish(admitted)
	if !s.engine.runPrefill(admitted) {
		return
	}
	for s.engine.decodeToken(admitted) {
		s.appendCompletion(admitted, answer.chunk(admitted.producedTokens, ""))
	}
	if s.engine.isCanceled(admitted) {
		return
	}
	s.appendCompletion(admitted, answer.chunk(0, "stop"))
	s.appendCompletion(admitted, answer.usage(admitted))
	s.engine.appendEvent(admitted, []byte(endMarker))
}

func (s *Server) appendCompletion(admitted *stream, part completion) {
	data, err := json.Marshal(part)
	if err != nil {
		panic(err)
	}
	s.engine.appendEvent(admitted, data)
}

func (s *Server) serveStream(c *fiber.Ctx, admitted *stream, answer answerWriter) {
	injected := noFault
	if s.control.Take(func(k *fault.Knobs) *int { return &k.BreakStreams }) {
		injected = breakStream
	} else if s.control.Take(func(k *fault.Knobs) *int { return &k.CutStreams }) {
		injected = cutConnection
	}
	s.engine.attachReader(admitted.id, "")
	go s.produce(admitted, answer)
	s.writeEvents(c, admitted, 0, injected)
}

// events serves a stream from the event after the one given by the caller.
func (s *Server) events(c *fiber.Ctx) error {
	after, err := strconv.Atoi(c.Query("after", "0"))
	if err != nil || after < 0 {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	found := s.engine.attachReader(c.Params("id"), c.Get(upstream.HeaderOwner))
	if found == nil {
		return c.SendStatus(fiber.StatusNotFound)
	}
	s.writeEvents(c, found, after, noFault)
	return nil
}

// writeEvents writes events to one reader until the stream ends or the reader disconnects.
func (s *Server) writeEvents(c *fiber.Ctx, from *stream, after int, injected connFault) {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	conn := c.Context().Conn()
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.engine.detachReader(from)
		for number := after + 1; ; number++ {
			if injected != noFault && number > breakAfterTokens {
				if injected == breakStream {
					s.engine.cancel(from.id)
				}
				_ = conn.Close()
				return
			}
			data, ok := s.engine.waitForEvent(from, number-1)
			if !ok {
				_ = conn.Close()
				return
			}
			if !s.writeEvent(w, from.formKey, number, data) || string(data) == endMarker {
				return
			}
		}
	})
}

func (s *Server) writeEvent(w *bufio.Writer, formKey string, number int, data []byte) bool {
	text := "id: " + strconv.Itoa(number) + "\ndata: " + string(data) + "\n\n"
	if s.engine.config.VaryEvents {
		text = variedEvent(formKey, number, string(data))
	}
	_, _ = w.WriteString(text)
	return w.Flush() == nil
}

// variedEvent varies the length of the data by a member that callers don't know.
func variedEvent(formKey string, number int, data string) string {
	form := eventform.New(formKey, number)
	line := "data: " + data
	if members, ok := strings.CutPrefix(data, "{"); ok {
		line = form.Line(`data: {"filler":"`) + `",` + members
	}
	return form.Event(number, line)
}
