package soak

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func event(content string) string {
	return `data: {"choices":[{"delta":{"content":"` + content + `"}}]}` + "\n\n"
}

// TestStreamIsJudged feeds streams to the reader of answers.
func TestStreamIsJudged(t *testing.T) {
	for _, test := range []struct {
		name, text string
		ending     Ending
		tokens     int
		foreign    string
		code       string
		ends       bool
	}{
		{"whole", event("aa-1 ") + event("aa-2 ") + event("") + "data: [DONE]\n\n", Answered, 2, "", "", true},
		{"error event", event("aa-1 ") + `data: {"error":{"code":"upstream_failed","execution":"may_have_run"}}` + "\n\n", ErrorEvent, 1, "", "upstream_failed", true},
		{"no end", event("aa-1 "), "", 1, "", "", false},
		{"cut in an event", event("aa-1 ") + event("aa-2 ")[:40], "", 1, "", "", false},
		{"another's", event("aa-1 ") + event("bb-2 ") + "data: [DONE]\n\n", Answered, 1, "bb-2", "", true},
		{"a gap", event("aa-1 ") + event("aa-3 ") + "data: [DONE]\n\n", Answered, 1, "aa-3", "", true},
		{"doubled", event("aa-1 ") + event("aa-1 ") + "data: [DONE]\n\n", Answered, 1, "aa-1", "", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sent := &Send{Arrival: &Arrival{Kind: Stream, Mark: "aa"}}
			err := (&answerReader{sent: sent, clock: newClock()}).events(strings.NewReader(test.text))
			is.Equal(err == nil, test.ends)
			is.Equal(sent.Ending, test.ending)
			is.Equal(sent.Tokens, test.tokens)
			is.Equal(sent.Foreign, test.foreign)
			is.Equal(sent.Code, test.code)
		})
	}
}

func TestCountersAreSummed(t *testing.T) {
	is := is.New(t)
	text := "wigeontiller_attempts_total 7\n" +
		"wigeontiller_invariant_broken_total{invariant=\"scheduler\"} 2\n" +
		"wigeontiller_invariant_broken_total{invariant=\"other\"} 1\n"
	total, err := sumCounter(strings.NewReader(text))
	is.NoErr(err)
	is.Equal(total, 3.0)
}
