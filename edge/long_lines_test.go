package edge

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// rawBufferBytes is the size of the buffer by which nodes read the events of a stream.
const rawBufferBytes = 4096

// rawLine is a data line of a length without its end; the text after each full buffer is given.
func rawLine(length int, after string) string {
	line := []byte("data: " + strings.Repeat("x", length-len("data: ")))
	for offset := rawBufferBytes; offset < length; offset += rawBufferBytes {
		copy(line[offset:], after)
	}
	return string(line)
}

// TestStreamWithLongLinesOfSoundUpstreamIsWhole guards against text in a line longer than the read buffer that is taken for
// the end of an event or for its number: a stream without any fault lost a piece, broke off or ran twice.
func TestStreamWithLongLinesOfSoundUpstreamIsWhole(t *testing.T) {
	const events = 4
	everyEvent := func(int) bool { return true }
	second := func(number int) bool { return number == 2 }
	last := func(number int) bool { return number == events }
	forms := map[string]struct {
		length int
		after  string
		end    string
		isLong func(number int) bool
	}{
		"lines of 4,000 bytes":                {4000, "", "\n", everyEvent},
		"lines of 4,200 bytes":                {4200, "x", "\n", everyEvent},
		"lines of one buffer":                 {rawBufferBytes, "", "\n", everyEvent},
		"last line of one buffer":             {rawBufferBytes, "", "\n", last},
		"lines of two buffers":                {2 * rawBufferBytes, "x", "\n", everyEvent},
		"lines of one buffer with CRLF":       {rawBufferBytes, "", "\r\n", everyEvent},
		"CR of CRLF fills the buffer":         {rawBufferBytes - 1, "", "\r\n", everyEvent},
		"last line goes on with a low number": {rawBufferBytes + 5, "id: 1", "\n", last},
		"a line goes on with a low number":    {rawBufferBytes + 5, "id: 1", "\n", second},
		"a line goes on with a high number":   {rawBufferBytes + 6, "id: 77", "\n", second},
		"a line goes on as a comment":         {rawBufferBytes + 6, ": x", "\n", second},
	}
	names := slices.Sorted(maps.Keys(forms))
	texts := make([]string, len(names))
	for i, name := range names {
		form := forms[name]
		for number := 1; number <= events; number++ {
			line := "data: x"
			if form.isLong(number) {
				line = rawLine(form.length, form.after)
			}
			texts[i] += fmt.Sprintf("id: %d%s%s%s%s", number, form.end, line, form.end, form.end)
		}
	}
	forDirectAndHop(t, func(t *testing.T, hop bool) {
		const streams = 10
		f, upstreams := newRawFixture(t, hop, func(c *rawCall) bool {
			c.run()
			var place int
			if _, err := fmt.Sscanf(c.id, "long-%d-", &place); err != nil || c.after != "" {
				return false
			}
			c.write(rawHead(200, c.id) + chunkedHead + rawChunk(texts[place]) + "0\r\n\r\n")
			return true
		})
		for place, name := range names {
			for _, route := range []string{"chat", "talk"} {
				whole, runs := 0, 0
				for i := range streams {
					id := fmt.Sprintf("long-%d-%s-%t-%d", place, route, hop, i)
					got := f.call(0, route, "key-a", func(r *http.Request) { r.Header.Set("X-Attempt-Id", id) })
					if got.err == nil && got.body == texts[place] {
						whole++
					}
					for _, u := range upstreams {
						runs += u.runs(id)
					}
				}
				if whole != streams || runs != streams {
					t.Errorf("%s, route %s: %d of %d streams were whole, in %d runs", name, route, whole, streams, runs)
				}
			}
		}
	})
}
