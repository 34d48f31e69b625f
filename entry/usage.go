package entry

import (
	"bytes"

	"github.com/tidwall/gjson"

	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
)

// usageField is searched for before an event is parsed, since most have none.
var usageField = []byte(`"usage"`)

// readUsage takes the usage that an engine reports in an answer or event, if any.
func readUsage(data []byte, outcome *scheduling.Outcome) {
	if !bytes.Contains(data, usageField) {
		return
	}
	fields := gjson.GetManyBytes(data, "usage.prompt_tokens", "usage.completion_tokens")
	if prompt := fields[0].Int(); prompt > 0 {
		outcome.PromptTokens = int(prompt)
		outcome.AnswerTokens = max(0, int(fields[1].Int()))
	}
}

// wholeOutcome is the outcome of an answer that has arrived whole.
func wholeOutcome(got *answer) scheduling.Outcome {
	var outcome scheduling.Outcome
	if got.placement.Upstream.Kind == tables.EngineUpstream {
		readUsage(got.whole, &outcome)
	}
	return outcome
}
