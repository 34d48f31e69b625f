package entry

import (
	"bytes"

	"github.com/tidwall/gjson"

	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
)

// usageField is searched for before an event is parsed, since most have none.
var usageField = []byte(`"usage"`)

// parseUsage takes the usage that an engine reports in an answer or event, if any.
func parseUsage(data []byte, outcome *scheduling.Outcome) {
	if !bytes.Contains(data, usageField) {
		return
	}
	fields := gjson.GetManyBytes(data, "usage.prompt_tokens", "usage.completion_tokens", "usage.prompt_tokens_details.cached_tokens")
	if prompt := fields[0].Int(); prompt > 0 {
		outcome.PromptTokens = int(prompt)
		outcome.AnswerTokens = max(0, int(fields[1].Int()))
		outcome.CachedTokens = min(max(0, int(fields[2].Int())), outcome.PromptTokens)
	}
}

// countUsage adds what an engine reported to its model's counters.
func (s *Server) countUsage(request *scheduling.Request, outcome scheduling.Outcome) {
	if outcome.PromptTokens == 0 || request.Model == "" {
		return
	}
	s.config.Metrics.Usage(request.Model, outcome.PromptTokens, outcome.CachedTokens)
}

// responseOutcome is the outcome of an answer that has arrived whole.
func responseOutcome(got *upstreamResponse) scheduling.Outcome {
	var outcome scheduling.Outcome
	if got.placement.Upstream.Kind == tables.EngineUpstream {
		parseUsage(got.body, &outcome)
	}
	return outcome
}
