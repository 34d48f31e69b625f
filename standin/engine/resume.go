package engine

import (
	"bufio"
	"encoding/json"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/wigeontiller/wigeontiller/standin/fault"
	"github.com/wigeontiller/wigeontiller/upstream"
)

// defaultGrace is how long a stream without a reader is kept.
const defaultGrace = 15 * time.Second

// endMarker is the data of the last event.
const endMarker = "[DONE]"

// connFault is what a reader does to its connection in mid-stream.
type connFault int

const (
	noFault connFault = iota
	// breakStream closes the connection and ends the stream for good.
	breakStream
	// cutConnection closes the connection; the stream runs on.
	cutConnection
)

// keep adds an event to a stream and wakes its readers.
func (e *Engine) keep(s *stream, data []byte) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s.events = append(s.events, data)
	s.changed.Broadcast()
}

// end frees an attempt's memory. The events of a whole answer are kept for the
// grace period, from before the attempt is no longer listed as running.
func (e *Engine) end(s *stream) {
	e.mutex.Lock()
	s.ended = true
	s.changed.Broadcast()
	if !s.canceled {
		e.kept[s.id] = s
		time.AfterFunc(e.config.Grace, func() { e.drop(s) })
	}
	e.mutex.Unlock()
	e.release(s)
}

func (e *Engine) drop(s *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.kept[s.id] == s {
		delete(e.kept, s.id)
	}
}

// open adds a reader to a stream that runs or is kept, or returns nil. A reader
// that names an owner becomes the stream's.
func (e *Engine) open(id, owner string) *stream {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s := e.streams[id]
	if s == nil {
		s = e.kept[id]
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

// leave removes a reader. A stream that has none for the grace period ends.
func (e *Engine) leave(s *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s.readers--
	s.left++
	if s.readers > 0 || s.ended {
		return
	}
	left := s.left
	time.AfterFunc(e.config.Grace, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if s.readers == 0 && s.left == left {
			s.canceled = true
			s.changed.Broadcast()
		}
	})
}

// event waits for event number after+1. It reports false when there is none.
func (e *Engine) event(s *stream, after int) ([]byte, bool) {
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

// produce runs an attempt to its end, whether or not it has a reader.
func (s *Server) produce(admitted *stream, answer answerWriter) {
	defer s.end(admitted)
	if !s.engine.read(admitted) {
		return
	}
	for s.engine.next(admitted) {
		s.keep(admitted, answer.chunk(admitted.produced, ""))
	}
	if s.engine.isCanceled(admitted) {
		return
	}
	s.keep(admitted, answer.chunk(0, "stop"))
	s.keep(admitted, answer.usage(admitted))
	s.engine.keep(admitted, []byte(endMarker))
}

func (s *Server) keep(admitted *stream, part completion) {
	data, err := json.Marshal(part)
	if err != nil {
		panic(err)
	}
	s.engine.keep(admitted, data)
}

func (s *Server) stream(c *fiber.Ctx, admitted *stream, answer answerWriter) {
	chosen := noFault
	if s.control.Take(func(k *fault.Knobs) *int { return &k.BreakStreams }) {
		chosen = breakStream
	} else if s.control.Take(func(k *fault.Knobs) *int { return &k.CutStreams }) {
		chosen = cutConnection
	}
	s.engine.open(admitted.id, "")
	go s.produce(admitted, answer)
	s.send(c, admitted, 0, chosen)
}

// events serves a stream from the event after the one that the caller names.
func (s *Server) events(c *fiber.Ctx) error {
	after, err := strconv.Atoi(c.Query("after", "0"))
	if err != nil || after < 0 {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	found := s.engine.open(c.Params("id"), c.Get(upstream.HeaderOwner))
	if found == nil {
		return c.SendStatus(fiber.StatusNotFound)
	}
	s.send(c, found, after, noFault)
	return nil
}

// send writes events to one reader until the stream ends or the reader is gone.
func (s *Server) send(c *fiber.Ctx, from *stream, after int, chosen connFault) {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	conn := c.Context().Conn()
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.engine.leave(from)
		for number := after + 1; ; number++ {
			if chosen != noFault && number > breakAfterTokens {
				if chosen == breakStream {
					s.engine.cancel(from.id)
				}
				_ = conn.Close()
				return
			}
			data, ok := s.engine.event(from, number-1)
			if !ok {
				_ = conn.Close()
				return
			}
			if !writeEvent(w, number, data) || string(data) == endMarker {
				return
			}
		}
	})
}

func writeEvent(w *bufio.Writer, number int, data []byte) bool {
	_, _ = w.WriteString("id: " + strconv.Itoa(number) + "\ndata: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	return w.Flush() == nil
}
