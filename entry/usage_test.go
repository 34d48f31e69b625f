package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/scheduling"
)

func TestParseUsageBoundsTokenCounts(t *testing.T) {
	is := is.New(t)
	for data, want := range map[string]scheduling.Outcome{
		`{"usage":{"prompt_tokens":7,"completion_tokens":3}}`:                                              {PromptTokens: 7, AnswerTokens: 3},
		`{"usage":{"prompt_tokens":7,"completion_tokens":-3}}`:                                             {PromptTokens: 7},
		`{"usage":{"prompt_tokens":7,"completion_tokens":3,"prompt_tokens_details":{"cached_tokens":5}}}`:  {PromptTokens: 7, AnswerTokens: 3, CachedTokens: 5},
		`{"usage":{"prompt_tokens":7,"completion_tokens":3,"prompt_tokens_details":{"cached_tokens":9}}}`:  {PromptTokens: 7, AnswerTokens: 3, CachedTokens: 7}, // at most the prompt's tokens
		`{"usage":{"prompt_tokens":7,"completion_tokens":3,"prompt_tokens_details":{"cached_tokens":-9}}}`: {PromptTokens: 7, AnswerTokens: 3},
		`{"usage":{"prompt_tokens":7,"prompt_tokens_details":null}}`:                                       {PromptTokens: 7},
		`{"usage":null}`: {},
		`{"usage":"text`: {},
		`{"choices":[]}`: {},
		`[DONE]`:         {},
	} {
		var got scheduling.Outcome
		parseUsage([]byte(data), &got)
		is.Equal(got, want)
	}
}
