package placement

import (
	"math"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// million is the number of token pairs that an engine's rate for them counts in.
const million = 1e6

// readMs is the time that an engine reads at a prompt when nothing else runs.
func readMs(e *fleet.Engine, tokens int) float64 {
	if e.PrefillTokensPerMs <= 0 {
		return 0
	}
	n := float64(tokens)
	return n/e.PrefillTokensPerMs + n*n/2/million*e.AttentionMsPerMPairs
}

// passMs is the time between two events of a stream when nothing is read.
func passMs(e *fleet.Engine, writers, contextTokens int) float64 {
	step := e.StepMs + float64(writers)*e.StepMsPerStream + float64(contextTokens)/1000*e.StepMsPerContextK
	return step * float64(max(1, e.StepsPerPass))
}

// parts is the number of engines to read a prompt so that each reads for about
// target ms, at most limit.
func parts(e *fleet.Engine, tokens int, target float64, limit int) int {
	return max(1, min(limit, int(math.Ceil(readMs(e, tokens)/target))))
}
