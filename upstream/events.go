package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	maxEventBytes   = 1 << 20
	readBufferBytes = 16 << 10
)

// ErrEvent is returned for a stream that is not well-formed SSE or holds an
// event over 1 MiB.
var ErrEvent = eris.New("malformed event stream")

// EndMarker is the data of the event that ends a whole answer.
var EndMarker = []byte("[DONE]")

// EventReader reads the data of server-sent events.
type EventReader struct {
	scanner *bufio.Scanner
	id      int
}

// NewEventReader reads events from r.
func NewEventReader(r io.Reader) *EventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, readBufferBytes), maxEventBytes)
	return &EventReader{scanner: scanner}
}

// ID returns the number in the last event's id field, or 0 without one.
func (e *EventReader) ID() int {
	return e.id
}

// Next returns a copy of the next event's data. At the end of the input it
// returns io.EOF; an event without its blank line is not returned.
func (e *EventReader) Next() ([]byte, error) {
	var data []byte
	seen := false
	e.id = 0
	for e.scanner.Scan() {
		line := bytes.TrimSuffix(e.scanner.Bytes(), []byte("\r"))
		if len(line) == 0 {
			if seen {
				return data, nil
			}
			continue
		}
		if number, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id, _ = strconv.Atoi(string(bytes.TrimSpace(number)))
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if seen {
			data = append(data, '\n')
		}
		seen = true
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		if len(data) > maxEventBytes {
			return nil, ErrEvent
		}
	}
	if err := e.scanner.Err(); err != nil {
		return nil, eris.Wrap(ErrEvent, err.Error())
	}
	return nil, io.EOF
}
