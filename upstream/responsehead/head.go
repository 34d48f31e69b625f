// Package responsehead checks the heads of HTTP/1.1 responses: HTTP libraries take heads that the protocol does not allow, and
// that mean another answer to other readers.
package responsehead

import (
	"bytes"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid is returned for bytes that are no head of a response.
var ErrInvalid = eris.New("invalid response head")

// maxLineBytes bounds a line that Checker holds.
const maxLineBytes = 64 << 10

// CheckLine checks one line of a head, without its end; first is true for the status line, and the line after the last field
// is empty. The version and the values are left to the library. Errors: ErrInvalid.
func CheckLine(line []byte, first bool) error {
	switch {
	case first && statusOf(line) == 0:
		return eris.Wrap(ErrInvalid, "status line")
	case !first && len(line) > 0 && !isFieldLine(line):
		return eris.Wrap(ErrInvalid, "field name")
	}
	return nil
}

// isFieldLine reports whether the line has a valid name, or continues the line before. A blank between name and colon would make the
// field unknown to this reader, and known to others.
func isFieldLine(line []byte) bool {
	if line[0] == ' ' || line[0] == '\t' {
		return true
	}
	name, _, found := bytes.Cut(line, []byte(":"))
	return found && httpguts.ValidHeaderFieldName(string(name))
}

// statusOf returns the status of a status line, or 0 if an answer can't have it. A peer must not switch protocols, as it was
// not asked to.
func statusOf(line []byte) int {
	const codeDigits, least, most = 3, 100, 599
	_, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	if len(code) != codeDigits {
		return 0
	}
	status := 0
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return 0
		}
		status = 10*status + int(digit-'0')
	}
	if status < least || status > most || status == http.StatusSwitchingProtocols {
		return 0
	}
	return status
}

// Checker checks the heads at the beginning of a stream of bytes as they are read: those of interim responses, and
// that of the final one. The zero value expects a head. It is not safe for concurrent use.
type Checker struct {
	line []byte
	// inFields is true after the status line, interim if that was one of an interim response, and done after the final head.
	inFields, interim, done bool
}

// Begin expects the next response's head.
func (c *Checker) Begin() { *c = Checker{line: c.line[:0]} }

// Check checks the next bytes; those after the head are ignored. Errors: ErrInvalid.
func (c *Checker) Check(data []byte) error {
	for len(data) > 0 && !c.done {
		part, rest, ended := bytes.Cut(data, []byte("\n"))
		if len(c.line)+len(part) > maxLineBytes {
			return eris.Wrap(ErrInvalid, "line too long")
		}
		c.line, data = append(c.line, part...), rest
		if !ended {
			return nil
		}
		line := bytes.TrimSuffix(c.line, []byte("\r"))
		if err := CheckLine(line, !c.inFields); err != nil {
			return err
		}
		switch {
		case !c.inFields:
			c.inFields, c.interim = true, statusOf(line) < http.StatusOK
		case len(line) == 0:
			c.inFields, c.done = false, !c.interim
		}
		c.line = c.line[:0]
	}
	return nil
}
