package soak

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tidwall/gjson"
)

const (
	dataPrefix = "data: "
	idPrefix   = "id: "
	endMarker  = "[DONE]"
	// maxLineBytes bounds one line of a stream.
	maxLineBytes = 1 << 20
)

// errNoEnd is returned for a stream that ended without its end or an error.
var errNoEnd = eris.New("the stream has no end")

func formatSeconds(length time.Duration) string {
	return strconv.FormatFloat(length.Seconds(), 'f', -1, 64)
}

// events reads a stream to its end. A line that the break cut is no event.
func (r *answerReader) events(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	id := ""
	for lines.Scan() {
		if given, ok := strings.CutPrefix(lines.Text(), idPrefix); ok {
			id = given
			continue
		}
		data, ok := strings.CutPrefix(lines.Text(), dataPrefix)
		if !ok || data != endMarker && !gjson.Valid(data) {
			continue
		}
		if r.event(data) {
			return drainBody(body)
		}
		r.sent.resume.lastEvent = id
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errNoEnd
}

// event keeps what one event says and reports whether it is the last.
func (r *answerReader) event(data string) bool {
	if data == endMarker {
		r.sent.Ending = Answered
		return true
	}
	if r.error([]byte(data)) {
		r.sent.Ending = ErrorEvent
		return true
	}
	r.tokens(gjson.Get(data, "choices.0.delta.content").String())
	return false
}

// drainBody reads what is left; nothing should be.
func drainBody(body io.Reader) error {
	_, err := io.Copy(io.Discard, body)
	return err
}

// tokens compares a text with the next tokens of the own answer.
func (r *answerReader) tokens(text string) {
	for _, word := range strings.Fields(text) {
		if r.sent.Tokens == 0 && r.sent.FirstToken == 0 {
			r.sent.FirstToken = r.clock.now()
		}
		if word != r.sent.Arrival.Mark+"-"+strconv.Itoa(r.sent.Tokens+1) {
			r.sent.Foreign = word
			return
		}
		r.sent.Tokens++
	}
	if r.sent.Arrival.Leave == LeavesInStream && r.sent.Tokens >= r.sent.Arrival.LeaveToken {
		r.leave()
	}
}
