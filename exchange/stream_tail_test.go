package exchange

import (
	"testing"

	"github.com/matryer/is"
)

// TestBlankLinesAndCommentsAfterTheLastEventAreNoPartOfAnEvent guards against whole streams that are broken off, or run twice, as
// what follows the last event was taken for an event that is not whole.
func TestBlankLinesAndCommentsAfterTheLastEventAreNoPartOfAnEvent(t *testing.T) {
	const fields = "id: 4\n"
	for name, c := range map[string]struct {
		end     string
		partial bool
	}{
		"blank line":               {end: "\n"},
		"three blank lines":        {end: "\n\n\n"},
		"blank line with CRLF":     {end: "\r\n"},
		"comment":                  {end: ": x\n"},
		"comment and blank line":   {end: ": x\n\n"},
		"comments":                 {end: "\n: x\n:\n"},
		"part of a comment":        {end: ": x", partial: true},
		"part of a line end":       {end: "\r", partial: true},
		"field":                    {end: fields, partial: true},
		"comment and field":        {end: ": x\n" + fields, partial: true},
		"field and comment":        {end: fields + ": x\n", partial: true},
		"field and blank line end": {end: fields + "\r", partial: true},
	} {
		for _, route := range []string{"stream", "once"} {
			t.Run(name+"/"+route, func(t *testing.T) {
				is := is.New(t)
				body := eventText(1, 3) + c.end
				f := newFixture(t, attemptStep{status: 200, body: body}, attemptStep{status: 200, bodyErr: errReset})
				got := f.serve(t, f.request(route))
				is.Equal(got.ended, !c.partial)
				if !c.partial {
					is.Equal(got.events, body)
					is.Equal(len(f.sender.attempts), 1)
				}
			})
		}
	}
}
