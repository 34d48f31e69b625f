package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/memorybudget"
)

// maxEventBytes is the maximum size of one event.
const maxEventBytes = 1 << 20

var errEventTooLong = eris.New("event exceeds 1 MiB")

// eventReader splits a stream of server-sent events into complete events.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
	// reservation holds the buffer beyond usualEventBytes, of which reserved bytes are counted.
	reservation *memorybudget.Reservation
	reserved    int
	// hasData is true if the last event has a data field; comments that keep a connection
	// alive have none.
	hasData bool
	// isComment is true if the last event has comment lines only.
	isComment bool
}

// usualEventBytes is the size up to which events are held with their connection.
const usualEventBytes = 16 << 10

// eventBufferBytes is several times the size of a usual event.
const eventBufferBytes = 4 << 10

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBufferBytes)}
}

// reserve counts the memory of a long event.
func (r *eventReader) reserve() bool {
	more := cap(r.buffer) - usualEventBytes - r.reserved
	if more <= 0 || r.reservation == nil {
		return true
	}
	r.reserved += more
	return r.reservation.Grow(int64(more))
}

// next returns one event, including the blank line that ends it, and the number in
// its id field, or 0 without one. The data is valid until the next call. At the end
// of the body the error is io.EOF and data holds the bytes after the last complete
// event; a complete stream has none. Comments and blank lines at the end of the body are
// returned like an event although no blank line has to follow them. Errors: those of readLine.
func (r *eventReader) next() (data []byte, number int64, err error) {
	r.buffer, r.hasData, r.isComment = r.buffer[:0], false, true
	for {
		begin := len(r.buffer)
		err := r.readLine()
		if isBodyEnd(err) && r.isComment && begin > 0 && begin == len(r.buffer) {
			return r.buffer, 0, nil
		}
		if err != nil {
			return r.buffer, 0, err
		}
		line := bytes.TrimRight(r.buffer[begin:], "\r\n")
		if len(line) == 0 {
			if begin > 0 {
				return r.buffer, number, nil
			}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		r.isComment = r.isComment && len(name) == 0
		switch string(name) {
		case "data":
			r.hasData = true
		case "id":
			if parsed, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				number = parsed
			}
		}
	}
}

// isBodyEnd reports whether an error of the body is its end.
func isBodyEnd(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}

// readLine appends one line, including its end, to the buffer. A line longer than the reader's buffer comes in several
// parts; no part alone tells what the line is. With an error the buffer holds what came of the line. Errors:
// errEventTooLong, errNoBuffer, those of the body.
func (r *eventReader) readLine() error {
	for {
		part, err := r.reader.ReadSlice('\n')
		r.buffer = append(r.buffer, part...)
		if len(r.buffer) > maxEventBytes {
			return errEventTooLong
		}
		if !r.reserve() {
			return errNoBuffer
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
