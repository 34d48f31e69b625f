package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	maxEventBytes    = 1 << 20
	eventBufferBytes = 16 << 10
)

// ErrEvent is returned for a stream of server-sent events that is malformed, can't
// be read or has an event over 1 MiB.
var ErrEvent = eris.New("malformed event stream")

// EndMarker is the data of the event that ends a complete response.
var EndMarker = []byte("[DONE]")

// EventReader reads the data of server-sent events.
type EventReader struct {
	scanner *bufio.Scanner
	id      int
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, eventBufferBytes), maxEventBytes)
	return &EventReader{scanner: scanner}
}

// ID returns the number in the last event's id field, or 0 if it has none.
func (e *EventReader) ID() int {
	return e.id
}

// Next returns a copy of the next event's data. At the end of the input it
// returns io.EOF; an event without its final blank line is not returned. Errors:
// ErrEvent, io.EOF.
func (e *EventReader) Next() ([]byte, error) {
	var data []byte
	hasData := false
	e.id = 0
	for e.scanner.Scan() {
		line := bytes.TrimSuffix(e.scanner.Bytes(), []byte("\r"))
		if len(line) == 0 {
			if hasData {
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
		if hasData {
			data = append(data, '\n')
		}
		hasData = true
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
