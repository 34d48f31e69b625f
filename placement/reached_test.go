package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNodeThatReachesNoUpstreamTellsNobodyToAvoidThem guards against sound upstreams that all nodes avoid
// because one node is cut off from them.
func TestNodeThatReachesNoUpstreamTellsNobodyToAvoidThem(t *testing.T) {
	is := is.New(t)
	f, other := newFixture(4, 2), newFixture(4, 2)
	now := time.Second
	f.SetReached(now, "llm", false)
	f.ApplyReport(now, "e0", Report{}, false)
	placed := f.Submit(now, f.request(now, 1000))
	f.End(now, placed.ID, Unresponsive, "")
	plain := f.Submit(now, f.plainRequest(now))
	f.End(now, plain.ID, Unresponsive, "")
	avoided := 0
	for _, update := range f.LoadUpdates(now, true) {
		if update.AvoidFor > 0 {
			avoided++
			is.Equal(update.Hash, Hash(plain.Lead.ID)) // the other service is reached
		}
		other.ApplyLoadUpdates(now, "n", []LoadUpdate{update}, false)
	}
	is.Equal(avoided, 1)
	for _, id := range []string{"e0", placed.Lead.ID} {
		is.True(now >= other.loads[id].avoidUntil)
		is.True(now < f.loads[id].avoidUntil)
	}
	f.SetReached(now, "llm", true)
	is.True(now >= f.loads["e0"].avoidUntil) // its failures told nothing of the upstream
	is.Equal(f.loads[placed.Lead.ID].currentFailureShare(now), 0.0)
	is.True(now < f.loads[plain.Lead.ID].avoidUntil)
}
