package processes

import (
	"strings"

	"github.com/wigeontiller/wigeontiller/standin/fleetengine"
)

// wholeEvents returns the number of the last event that a caller got whole and in its turn, and what follows it. Comments may come
// twice, as nothing numbers them, and blank lines mean nothing between events.
func wholeEvents(a attempt) (last int, rest string) {
	rest = withoutComments(a.body)
	for last = a.after; last < soakEvents; last++ {
		after, found := strings.CutPrefix(strings.TrimLeft(rest, "\r\n"), streamEvent(last+1, a.path))
		if !found {
			break
		}
		rest = after
	}
	return last, strings.TrimLeft(rest, "\r\n")
}

// streamEvent is an event of a soak's stream, without comments before it.
func streamEvent(number int, path string) string {
	return strings.TrimLeft(withoutComments(fleetengine.EventText(number, path, true)), "\r\n")
}

func withoutComments(text string) string {
	var fields strings.Builder
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, ":") {
			fields.WriteString(line)
		}
	}
	return fields.String()
}
