package fleetengine

import (
	"fmt"
	"strings"

	"github.com/wigeontiller/wigeontiller/standin/eventform"
)

// EventText returns one event of the stream that answers a request. Each engine writes the same one. With varied forms, the request and
// the number determine the form, and further data lines.
func EventText(number int, target string, varied bool) string {
	data := fmt.Sprintf("data: piece %d of %s", number, target)
	if !varied {
		return fmt.Sprintf("id: %d\n%s\n\n", number, data)
	}
	form := eventform.New(target, number)
	return form.Event(number, append([]string{data}, form.Lines("data:")...)...)
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
