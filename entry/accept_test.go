package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/scheduling/prefix"
)

func TestParsePromptReadsFieldsAndDefaultsMaxTokens(t *testing.T) {
	is := is.New(t)
	parsed, failure := parsePrompt([]byte(`{"model":"m","stream":true,"max_tokens":7,"prompt":"0123456789"}`), 512)
	is.True(failure == nil)
	is.Equal(parsed, parsedPrompt{model: "m", stream: true, maxTokens: 7, promptJSON: `"0123456789"`})
	parsed, failure = parsePrompt([]byte(`{"model":"m","prompt":"a"}`), 512)
	is.True(failure == nil)
	is.Equal(parsed.maxTokens, 512)
}

func FuzzParsePrompt(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":1e99}`))
	f.Add([]byte(`{"model":1,"prompt":{}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, failure := parsePrompt(body, 512)
		if failure != nil {
			return
		}
		if parsed.model == "" || parsed.maxTokens <= 0 || parsed.estimatedTokens() < 1 {
			t.Fatalf("accepted %+v", parsed)
		}
		prefix.Hash(prefix.Scope{}, parsed.promptJSON) // must not panic on any accepted prompt
	})
}
