package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPromptsAreCountedByTheMemoryThatTheyNeed(t *testing.T) {
	for _, test := range []struct {
		metric string
		tokens int
		aim    time.Duration
		steps  []attemptStep
	}{
		{`wigeontiller_prompts_total{memory="one_engine",result="on_time"}`, 1000, time.Minute, []attemptStep{answeredAttempt}},
		{`wigeontiller_prompts_total{memory="one_engine",result="late"}`, 1000, time.Nanosecond, []attemptStep{answeredAttempt}},
		{`wigeontiller_prompts_total{memory="one_engine",result="failed"}`, 1000, time.Minute, []attemptStep{{err: errReset}, {err: errReset}}},
		{`wigeontiller_prompts_total{memory="several_engines",result="on_time"}`, 300_000, time.Minute, []attemptStep{answeredAttempt}},
		{`wigeontiller_prompts_total{memory="several_engines",result="refused"}`, 3_000_000, time.Minute, nil},
	} {
		t.Run(test.metric, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, test.steps...)
			request := f.request("stream")
			route := *request.Route
			route.LatencyTarget = test.aim
			request.Route, request.PromptTokens = &route, test.tokens
			f.serve(t, request)
			is.Equal(f.exchange.config.Metrics.CounterValue(test.metric), int64(1))
		})
	}
}
