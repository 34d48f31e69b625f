package placement

import (
	"math"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// million is the number of token pairs that Engine.AttentionMsPerMPairs counts in.
const million = 1e6

// prefillMs is the time in ms in which an engine prefills a prompt when nothing else runs.
func prefillMs(e *fleet.Engine, tokens int) float64 {
	if e.PrefillTokensPerMs <= 0 {
		return 0
	}
	n := float64(tokens)
	return n/e.PrefillTokensPerMs + n*n/2/million*e.AttentionMsPerMPairs
}

// decodePassMs is the time in ms between two events of a stream when the engine
// prefills nothing.
func decodePassMs(e *fleet.Engine, streams, contextTokens int) float64 {
	step := e.StepMs + float64(streams)*e.StepMsPerStream + float64(contextTokens)/1000*e.StepMsPerContextK
	return step * float64(max(1, e.StepsPerPass))
}

// chunkCount is the number of engines over which a prompt is split so that each
// prefills for about targetMs, at most limit.
func chunkCount(e *fleet.Engine, tokens int, targetMs float64, limit int) int {
	return max(1, min(limit, int(math.Ceil(prefillMs(e, tokens)/targetMs))))
}
