package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

var errEventTooLong = eris.New("event too long")

// eventReader splits a stream into whole events.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
}

// eventBuffer holds the usual event many times over.
const eventBuffer = 4 << 10

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBuffer)}
}

// next returns one event with the blank line that ends it, and its number, or 0
// when it has none. The data is valid until the next call. At the end of the body
// the error is io.EOF, with what follows the last whole event, which is empty on a
// sound stream.
func (r *eventReader) next() (data []byte, number int64, err error) {
	r.buffer = r.buffer[:0]
	for {
		line, err := r.reader.ReadSlice('\n')
		r.buffer = append(r.buffer, line...)
		if len(r.buffer) > maxEventBytes {
			return nil, 0, errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return r.buffer, number, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && len(r.buffer) > len(line) {
			return r.buffer, number, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			if parsed, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				number = parsed
			}
		}
	}
}
