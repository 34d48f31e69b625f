package exchange

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// longEvent is an event with a data line of a length, without its end.
func longEvent(number, length int, after string) string {
	return fmt.Sprintf("id: %d\n%s\n\n", number, longLine("data: ", length, after))
}

// TestStreamThatBreaksOffAfterLongLineContinuesWithItsEvent guards against an event that is taken as ended before
// its blank line: it and the next one, of another upstream, reached the caller as one (review/8).
func TestStreamThatBreaksOffAfterLongLineContinuesWithItsEvent(t *testing.T) {
	for _, length := range []int{eventBufferBytes, 2 * eventBufferBytes, 16 * eventBufferBytes} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			is := is.New(t)
			event := longEvent(3, length, "x")
			f := newFixture(t,
				attemptStep{status: 200, body: eventText(1, 2) + strings.TrimSuffix(event, "\n"), bodyErr: errReset},
				attemptStep{status: 200, body: event + eventText(4, 5)})
			got := f.serve(t, f.request("stream"))
			is.True(got.ended)
			is.True(got.events == eventText(1, 2)+event+eventText(4, 5))
			is.Equal(f.sender.attempts[1].After, int64(2))
		})
	}
}

// TestStreamOfSoundUpstreamWithLongLinesIsWhole guards against streams without any fault that lose a piece, break off
// or cost a second run, as text in a long line is taken for an event's end or its number.
func TestStreamOfSoundUpstreamWithLongLinesIsWhole(t *testing.T) {
	for name, body := range map[string]string{
		"last event ends with a full part":        eventText(1, 3) + longEvent(4, eventBufferBytes, ""),
		"each event ends with a full part":        longEvent(1, eventBufferBytes, "") + longEvent(2, 2*eventBufferBytes, ""),
		"line ends in CRLF after a full part":     strings.ReplaceAll(eventText(1, 3)+longEvent(4, eventBufferBytes, ""), "\n", "\r\n"),
		"last event reads like an earlier number": eventText(1, 3) + longEvent(4, eventBufferBytes+5, "id: 1"),
		"event reads like an earlier number":      eventText(1, 1) + longEvent(2, eventBufferBytes+5, "id: 1") + eventText(3, 4),
		"event of 1 MiB":                          eventText(1, 1) + longEvent(2, maxEventBytes-len("id: 2\n\n\n"), "id: 1") + eventText(3, 3),
		"event reads like a later number":         eventText(1, 1) + longEvent(2, eventBufferBytes+6, "id: 77") + eventText(3, 4),
	} {
		for _, route := range []string{"stream", "once"} {
			t.Run(name+"/"+route, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, attemptStep{status: 200, body: body}, attemptStep{status: 200, body: body})
				got := f.serve(t, f.request(route))
				is.True(got.ended)
				is.True(got.events == body)
				is.Equal(len(f.sender.attempts), 1)
			})
		}
	}
}

// TestLongCommentIsNoEvent guards against a stream that can't be resumed, since a comment longer than the read buffer
// counted as an event without a number.
func TestLongCommentIsNoEvent(t *testing.T) {
	comment := longLine(": ", 2*eventBufferBytes+10, "x") + "\n\n"
	t.Run("before the break", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, attemptStep{status: 200, body: eventText(1, 2) + comment, bodyErr: errReset}, attemptStep{status: 200, body: eventText(3, 4)})
		got := f.serve(t, f.request("stream"))
		is.True(got.ended)
		is.True(got.events == eventText(1, 2)+comment+eventText(3, 4))
	})
	t.Run("in the continuation", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, attemptStep{status: 200, body: eventText(1, 2), bodyErr: errReset}, attemptStep{status: 200, body: comment + eventText(3, 4)})
		got := f.serve(t, f.request("stream"))
		is.True(got.ended)
		is.True(got.events == eventText(1, 2)+comment+eventText(3, 4))
	})
}

// TestStalledStreamThatSendsLongCommentsGoesOnElsewhere guards against comments longer than the read buffer that make a
// stalled stream look alive.
func TestStalledStreamThatSendsLongCommentsGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	comment := longLine(": ", eventBufferBytes+10, "data: x") + "\n\n"
	f := newFixture(t, attemptStep{status: 200, stream: slowStream(eventText(1, 1), comment)}, attemptStep{status: 200, body: eventText(2, 3)})
	started := time.Now()
	got := f.serve(t, f.request("stream"))
	is.True(got.ended)
	is.True(strings.HasSuffix(got.events, eventText(2, 3)))
	is.True(time.Since(started) < 4*time.Second)
}

const streamInterval = 100 * time.Millisecond

// slowStream is a body that begins with a text, and has another one at each interval until it is closed.
func slowStream(begin, repeated string) io.ReadCloser {
	reader, writer := io.Pipe()
	go func() {
		_, err := io.WriteString(writer, begin)
		for err == nil {
			time.Sleep(streamInterval)
			_, err = io.WriteString(writer, repeated)
		}
	}()
	return reader
}
