package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// TestNodesTogetherSpareAnEngineThatReturnsCold lets an engine appear cold before the nodes of a
// fleet that all have waiting requests for it, and counts what it gets in any second. In the large
// site an engine got 28 requests where 26 are allowed: each of 295 nodes had a whole permit for it.
func TestNodesTogetherSpareAnEngineThatReturnsCold(t *testing.T) {
	const rate, overshoot, tolerance = 14, 1.5, 5
	for _, nodes := range []int{9, 78, 295} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%d nodes, seed %d", nodes, seed), func(t *testing.T) {
				engine := largeEngine()
				engine.Slots, engine.MemoryTokens = 10_000, 1<<40
				configuration := &fleet.Configuration{Services: map[string]*fleet.Service{"llm": {Name: "llm", ColdRatePerSecond: rate, Engine: engine}}}
				old := &fleet.Upstream{ID: "old", Service: "llm", Draining: true, Slots: 10}
				var all []*fixture
				for i := range nodes {
					s := New(Config{PrefillChunkMs: 50, MaxPrefillEngines: 17, MaxPassMs: 220, ColdRateFactor: overshoot * 0.85, Random: rand.New(rand.NewPCG(seed, uint64(i)))})
					s.SetNodeCount(nodes)
					s.UpdateView(fleet.View{Configuration: configuration, Upstreams: map[string]*fleet.Upstream{"old": old}})
					all = append(all, &fixture{Scheduler: s})
				}
				now := time.Minute
				cold := &fleet.Upstream{ID: "cold", Service: "llm", Slots: 10, StartedMs: 5, ColdFor: 3 * time.Second, SeenAt: now}
				for _, node := range all {
					node.UpdateView(fleet.View{Configuration: configuration, Upstreams: map[string]*fleet.Upstream{"old": old, "cold": cold}})
				}
				var placed []time.Duration
				for end := now + 3*time.Second; now < end; now += 50 * time.Millisecond {
					for _, node := range all {
						request := node.request(now, 2000)
						if node.Submit(now, request).Lead != nil {
							placed = append(placed, now)
						} else {
							node.Cancel(request.ID)
						}
					}
				}
				for i, first := range placed {
					last := i
					for last < len(placed) && placed[last]-first < time.Second {
						last++
					}
					if got := last - i; float64(got) > rate*overshoot+tolerance {
						t.Fatalf("%d requests in the second from %v", got, first)
					}
				}
				if len(placed) < rate {
					t.Fatalf("only %d requests in 3 s", len(placed))
				}
			})
		}
	}
}
