package entry

import (
	"bytes"

	"github.com/tidwall/gjson"

	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
)

// usageField is searched for before an event is parsed, since most events have no usage.
var usageField = []byte(`"usage"`)

// parseUsage adds the usage that an engine reports in a response or event, if any, to outcome.
func parseUsage(data []byte, outcome *scheduling.Outcome) {
	if !bytes.Contains(data, usageField) {
		return
	}
	fields := gjson.GetManyBytes(data, "usage.prompt_tokens", "usage.completion_tokens", "usage.prompt_tokens_details.cached_tokens")
	if promptTokens := fields[0].Int(); promptTokens > 0 {
		outcome.PromptTokens = int(promptTokens)
		outcome.AnswerTokens = max(0, int(fields[1].Int()))
		outcome.CachedTokens = min(max(0, int(fields[2].Int())), outcome.PromptTokens)
	}
}

// countUsage adds the reported usage to the counters of the model.
func (s *Server) countUsage(request *scheduling.Request, outcome scheduling.Outcome) {
	if outcome.PromptTokens == 0 || request.Model == "" {
		return
	}
	s.config.Metrics.Usage(request.Model, outcome.PromptTokens, outcome.CachedTokens)
}

// responseOutcome returns the outcome of a response that is not a stream.
func responseOutcome(response *upstreamResponse) scheduling.Outcome {
	var outcome scheduling.Outcome
	if response.placement.Upstream.Kind == tables.EngineUpstream {
		parseUsage(response.body, &outcome)
	}
	return outcome
}
