// Package eventform varies the form in which stand-ins write server-sent events: the length of lines, their ends, the fields and
// their order, comments.
package eventform

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
)

// readBufferBytes is the usual size of a buffer by which lines are read. Lines of about a multiple of it, and text that
// begins a field or a comment there, are read wrongly by readers that take a part of a line for a line.
const readBufferBytes = 4096

// mostBuffers bounds the length of lines, in buffers.
const mostBuffers = 4

// Form draws the form of one event.
type Form struct {
	random  *rand.Rand
	lineEnd string
}

// New returns the form of an event of a stream, which the stream's key and the event's number determine. All events of a stream
// have the same line ends.
func New(stream string, number int) *Form {
	f := &Form{random: drawer(stream, number), lineEnd: "\n"}
	if drawer(stream, 0).IntN(3) == 0 {
		f.lineEnd = "\r\n"
	}
	return f
}

// Event returns the event with these data lines and its number in an id field. The fields' order varies, as do comments, other
// fields and comments between events.
func (f *Form) Event(number int, dataLines ...string) string {
	place := f.random.IntN(len(dataLines) + 1)
	lines := slices.Insert(dataLines, place, fmt.Sprintf("id: %d", number))
	switch f.random.IntN(4) {
	case 0:
		lines = append([]string{f.Line(":")}, lines...)
	case 1:
		lines = append([]string{"x-weight-versions: 3"}, lines...)
	case 2:
		lines = append(lines, f.Line("event:"))
	}
	if f.random.IntN(8) == 0 {
		lines = append([]string{f.Line(":"), ""}, lines...)
	}
	return strings.Join(lines, f.lineEnd) + f.lineEnd + f.lineEnd
}

// Lines returns up to two lines of a field.
func (f *Form) Lines(field string) (lines []string) {
	for range f.random.IntN(3) {
		lines = append(lines, f.Line(field))
	}
	return lines
}

func drawer(stream string, number int) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(stream))
	return rand.New(rand.NewPCG(hash.Sum64(), uint64(number)))
}

// Line returns a line that begins with a field and is short, or of about a multiple of readBufferBytes bytes.
func (f *Form) Line(field string) string {
	const slack = 8
	length := len(field) + f.random.IntN(slack)
	if f.random.IntN(2) == 0 {
		length = (1+f.random.IntN(mostBuffers))*readBufferBytes + f.random.IntN(2*slack) - slack
	}
	line := []byte(field + strings.Repeat("x", length-len(field)))
	after := []string{"", "id: 1", "id: 99", "data: y", ": y"}[f.random.IntN(5)]
	for offset := readBufferBytes; offset < length; offset += readBufferBytes {
		copy(line[offset:], after)
	}
	return string(line)
}
