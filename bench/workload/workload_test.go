package workload

import (
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
)

func generated(seed uint64) []*Request {
	return Generate(Config{
		Seed: seed, Duration: 10 * time.Minute, PromptTokensPerSecond: 1_000_000, Nodes: 8, Organisations: 10,
	})
}

func TestLengthsFollowTheBrief(t *testing.T) {
	is := is.New(t)
	prompts, huge, short, tokens, large := 0, 0, 0, 0, 0
	for _, request := range generated(1) {
		if request.Call {
			continue
		}
		is.True(request.PromptTokens >= MinPromptTokens && request.PromptTokens <= MaxPromptTokens)
		prompts++
		tokens += request.PromptTokens
		if request.PromptTokens > HugePromptTokens {
			huge++
		}
		if request.IsShort() {
			short++
		}
		if request.Organisation < largeOrganisations {
			large++
		}
	}
	share := func(count int) float64 { return float64(count) / float64(prompts) }
	is.True(math.Abs(share(huge)-0.02) < 0.003) // one in fifty over 100,000
	is.True(share(short) > 0.9)
	is.True(share(large) > 0.75)
	rate := float64(tokens) / (10 * time.Minute).Seconds()
	is.True(math.Abs(rate-1_000_000) < 100_000) // the rate asked for
}

func TestSameSeedGivesSameRequests(t *testing.T) {
	is := is.New(t)
	is.True(reflect.DeepEqual(generated(1), generated(1)))
	is.True(!reflect.DeepEqual(generated(1), generated(2)))
}
