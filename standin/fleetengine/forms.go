package fleetengine

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
)

// readBufferBytes is the usual size of a buffer by which lines are read. Lines of about a multiple of it, and text that
// begins a field or a comment there, are read wrongly by readers that take a part of a line for a line.
const readBufferBytes = 4096

// mostBuffers bounds the length of lines, in buffers.
const mostBuffers = 4

// EventText returns one event of the stream that answers a request. Each engine writes the same one. With varied forms, the request and
// the number determine the line ends, the fields and their order, comments, the number of data lines and their length.
func EventText(number int, target string, varied bool) string {
	data := fmt.Sprintf("piece %d of %s", number, target)
	if !varied {
		return fmt.Sprintf("id: %d\ndata: %s\n\n", number, data)
	}
	stream, event := drawer(target, 0), drawer(target, number)
	end := "\n"
	if stream.IntN(3) == 0 {
		end = "\r\n"
	}
	lines := []string{"data: " + data}
	for range event.IntN(3) {
		lines = append(lines, longLine("data:", event))
	}
	place := event.IntN(len(lines) + 1)
	lines = append(lines[:place], append([]string{fmt.Sprintf("id: %d", number)}, lines[place:]...)...)
	switch event.IntN(4) {
	case 0:
		lines = append([]string{longLine(":", event)}, lines...)
	case 1:
		lines = append([]string{"x-weight-versions: 3"}, lines...)
	case 2:
		lines = append(lines, longLine("event:", event))
	}
	if event.IntN(8) == 0 {
		lines = append([]string{longLine(":", event), ""}, lines...) // a comment of its own
	}
	return strings.Join(lines, end) + end + end
}

func drawer(target string, number int) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(target))
	return rand.New(rand.NewPCG(hash.Sum64(), uint64(number)))
}

// longLine returns a line of a field that is short, or of about a multiple of readBufferBytes bytes.
func longLine(field string, random *rand.Rand) string {
	const slack = 8
	length := len(field) + random.IntN(slack)
	if random.IntN(2) == 0 {
		length = (1+random.IntN(mostBuffers))*readBufferBytes + random.IntN(2*slack) - slack
	}
	line := []byte(field + strings.Repeat("x", length-len(field)))
	after := []string{"", "id: 1", "id: 99", "data: y", ": y"}[random.IntN(5)]
	for offset := readBufferBytes; offset < length; offset += readBufferBytes {
		copy(line[offset:], after)
	}
	return string(line)
}

// beginning returns what an engine that stops in an event has written of it: half of it, or all but the blank line that
// ends it.
func beginning(text string, unended bool) string {
	if !unended {
		return text[:len(text)/2]
	}
	text = strings.TrimSuffix(text, "\n")
	return strings.TrimSuffix(text, "\r")
}
