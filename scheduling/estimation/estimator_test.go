package estimation

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func TestEstimateUnknownWithoutSamples(t *testing.T) {
	is := is.New(t)
	e := New()
	is.True(!e.Estimate(start, "m", "u", 1000, 100).Known)
	is.Equal(e.PromptTokens("m", 1000), 1000)
}

func TestEstimatorLearnsTokensPrefillAndDecode(t *testing.T) {
	is := is.New(t)
	e := New()
	random := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		prompt := 1000 + random.IntN(50000)
		first := 0.1 + float64(prompt)/10000
		first *= 0.95 + 0.1*random.Float64()
		e.Observe(Sample{
			At:    start,
			Model: "m", Upstream: "u", EstimatedPrompt: prompt * 2, PromptTokens: prompt,
			AnswerTokens: 101, MaxTokens: 202, FirstToken: seconds(first), Decode: 3 * time.Second,
		})
	}
	corrected := e.PromptTokens("m", 20000)
	is.True(corrected > 9500 && corrected < 10500)
	got := e.Estimate(start, "m", "u", 100000, 200)
	is.True(got.Known)
	is.True(got.FirstToken > 9*time.Second && got.FirstToken < 11*time.Second)
	decode := got.Total - got.FirstToken
	is.True(decode > 2900*time.Millisecond && decode < 3100*time.Millisecond)
	is.True(e.RelativeError("m") < 0.1)
	is.True(!e.Estimate(start.Add(sampleLifetime), "m", "u", 100000, 200).Known)
	is.True(e.Estimate(start, "m", "new", 100000, 200).Known) // falls back to the model
}

func TestPredictWaitIgnoresIdleTime(t *testing.T) {
	is := is.New(t)
	var throughput Throughput
	now := time.Unix(1000, 0)
	throughput.Advance(now, false)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		throughput.Advance(now, true)
		throughput.AddCompleted(100)
	}
	before, ok := throughput.PredictWait(1000)
	is.True(ok)
	is.True(before > 900*time.Millisecond && before < 1100*time.Millisecond)
	now = now.Add(time.Hour)
	throughput.Advance(now, false)
	after, _ := throughput.PredictWait(1000)
	is.Equal(after, before)
}

// TestShortPromptsGiveNoEstimateForLongOnes guards against extrapolation from
// short prompts, whose times are only noise, to long ones.
func TestShortPromptsGiveNoEstimateForLongOnes(t *testing.T) {
	is := is.New(t)
	e := New()
	for i := range 50 {
		e.Observe(Sample{At: start, Model: "m", Upstream: "u", EstimatedPrompt: 1000 + i, FirstToken: seconds(0.1 + float64(i)/100)})
	}
	is.True(e.Estimate(start, "m", "u", 2000, 0).Known)
	is.True(!e.Estimate(start, "m", "u", 500_000, 0).Known)
	e.Observe(Sample{At: start, Model: "m", Upstream: "u", EstimatedPrompt: 200_000, FirstToken: 10 * time.Second})
	is.True(e.Estimate(start, "m", "u", 500_000, 0).Known)
}

// TestCachedPromptsDoNotShortenTheEstimate adds samples of prompts of which engines
// had nine tenths in their caches: an uncached prompt must not be predicted as fast.
func TestCachedPromptsDoNotShortenTheEstimate(t *testing.T) {
	is := is.New(t)
	e := New()
	random := rand.New(rand.NewPCG(2, 2))
	for i := range 400 {
		prompt := 1000 + random.IntN(15_000)
		cached := 0
		if i%4 != 0 {
			cached = prompt * 9 / 10
		}
		sample := Sample{
			At: start, Model: "m", Upstream: "u", EstimatedPrompt: prompt, PromptTokens: prompt,
			CachedTokens: cached, MayBeCached: true, FirstToken: seconds(0.1 + float64(prompt-cached)/10_000),
		}
		if i%8 == 7 { // an engine that does not report cached tokens
			sample.PromptTokens, sample.CachedTokens = 0, 0
		}
		e.Observe(sample)
	}
	got := e.Estimate(start, "m", "u", 12_000, 0)
	is.True(got.Known)
	is.True(got.FirstToken > 1200*time.Millisecond && got.FirstToken < 1400*time.Millisecond)
}
