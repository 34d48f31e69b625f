package exchange

import (
	"fmt"
	"net/http"
)

// countPrompt counts an ended prompt by the number of engines whose memory it needs, and by what its
// caller got.
func (r *requestHandler) countPrompt() {
	configuration := r.exchange.config.Follower.Current().Configuration
	if configuration == nil || r.request.PromptTokens == 0 {
		return
	}
	service := configuration.Services[r.service]
	if service == nil || service.Engine == nil {
		return
	}
	memory := "one_engine"
	if r.request.PromptTokens+r.request.AnswerTokens > service.Engine.MemoryTokens {
		memory = "several_engines"
	}
	r.exchange.config.Metrics.Count(fmt.Sprintf("wigeontiller_prompts_total{memory=%q,result=%q}", memory, r.promptResult()), 1)
}

func (r *requestHandler) promptResult() string {
	switch {
	case r.outcome == Answered && (r.status == 0 || r.status == http.StatusOK):
		if r.request.Route.LatencyTarget > 0 && r.firstEventDelay > r.request.Route.LatencyTarget {
			return "late"
		}
		return "on_time"
	case r.refusal != nil:
		return "refused"
	case r.outcome == CallerDisconnected:
		return "caller_left"
	}
	return "failed"
}
