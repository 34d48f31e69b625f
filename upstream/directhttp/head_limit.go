package directhttp

import (
	"errors"
	"io"
)

// maxHeadBytes is the maximum size of the heads that are read for one request, interim and
// foreign ones included. Heads of engines and services have a few hundred bytes.
const maxHeadBytes = 32 << 10

// errHeadTooLong is returned for a response whose head does not end within maxHeadBytes.
var errHeadTooLong = errors.New("response head exceeds the size limit")

// headLimit bounds the bytes that are read while a head is expected: a peer may send bytes
// that are no response, without end. Bodies are bounded by their readers.
type headLimit struct {
	reader io.Reader
	// active is true while a head is read; left is the number of bytes that it may still have.
	active bool
	left   int
}

// begin starts the reading of the heads for one request.
func (l *headLimit) begin() { l.active, l.left = true, maxHeadBytes }

// end ends it.
func (l *headLimit) end() { l.active = false }

// Read reads from the connection. Errors: errHeadTooLong.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.active {
		return l.reader.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
