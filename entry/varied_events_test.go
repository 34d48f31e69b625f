package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/wigeontiller/wigeontiller/standin/engine"
)

// TestResumedStreamWithVariedEventsHasNoGapsOrDuplicates cuts connections anywhere in streams whose events have lines
// longer than read buffers, other fields and comments. Text in them reads like fields.
func TestResumedStreamWithVariedEventsHasNoGapsOrDuplicates(t *testing.T) {
	varied := fastEngine
	varied.VaryEvents = true
	random := rand.New(rand.NewPCG(3, 4))
	const streams, firstCut, otherCuts = 60, 60_000, 20_000
	for i := range streams {
		cuts := []int{random.IntN(firstCut), random.IntN(otherCuts), random.IntN(otherCuts)}
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			body := chatBody(fmt.Sprint(i), responseTokens, true)
			proxy := &cuttingProxy{cutAfterBytes: cuts}
			f := newFixtureWithProxy(t, varied, func(address string) string { return proxy.start(t, address) })
			text, _ := f.readStream(t, body)
			checkRemainingEvents(t, text, engine.Mark([]byte(body)), 0)
			if runs, connections := f.engine.Load().Runs, proxy.connections(); runs != 1 || connections < 2 {
				t.Fatalf("got %d executions and %d connections, want 1 and at least 2", runs, connections)
			}
		})
	}
}
