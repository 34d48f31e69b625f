package scheduling

import (
	"testing"
	"time"
)

// An upstream of 8 slots starts cold: 10 % of them is 1, and half of the ramp is
// 55 %, which is 4.
func TestRampIsNotAppliedTwiceToShare(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	u := f.ordered[0]
	share := Share{Slots: 3, KVTokens: 400_000, Expires: f.now.Add(time.Hour)}
	f.SetShares(f.now, map[string]Share{u.upstream.ID: share})
	f.startRamp(f.now, u)
	slots, _ := f.limit(f.now, u)
	f.is.Equal(slots, 1) // applies immediately, before the allocator knows
	f.now = f.now.Add(15 * time.Second)
	slots, _ = f.limit(f.now, u)
	f.is.Equal(slots, 3) // the whole share, not 55 % of it
}

// An upstream of 8 slots starts cold. Half of the ramp allows 4 of them to all
// nodes together.
func TestRampBoundsReportedLoadOfAllNodes(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	u := f.ordered[0]
	f.startRamp(f.now, u)
	f.now = f.now.Add(15 * time.Second)
	f.Observe(f.now, Report{UpstreamID: u.upstream.ID, Running: 3, At: f.now})
	f.is.Equal(len(f.fillSlots()), 1)
	// After the ramp, only the slots bound this node.
	f.now = f.now.Add(15 * time.Second)
	f.Observe(f.now, Report{UpstreamID: u.upstream.ID, Running: 4, At: f.now})
	f.advance()
	f.is.Equal(1+len(f.fillSlots()), 8)
}

// The only upstream fails as after a restart.
func TestTakeColdStartsReturnsEachStartOnce(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	var ids []string
	for range coldStartFailures {
		decision := f.submit(f.request(0, 100))
		f.is.Equal(decision.Kind, Placed)
		ids = append(ids, decision.RequestID)
	}
	f.is.Equal(len(f.TakeColdStarts()), 0)
	for _, id := range ids {
		f.finish(id, Outcome{Failed: true})
	}
	f.is.Equal(f.TakeColdStarts(), []string{f.ordered[0].upstream.ID})
	f.is.Equal(len(f.TakeColdStarts()), 0)
}

// Half of the ramp allows 4 slots, whatever reports say about other nodes.
func TestRampOfAddedUpstreamIgnoresReportedLoad(t *testing.T) {
	f := newFixture(t, 1, 1)
	engines := f.document.Engines
	f.document.Engines = nil
	f.configure()
	f.document.Engines = engines
	f.configure()
	f.now = f.now.Add(15 * time.Second)
	f.Observe(f.now, Report{UpstreamID: f.ordered[0].upstream.ID, Running: 3, At: f.now})
	f.is.Equal(len(f.fillSlots()), 4)
}

// The local data centre returns to service with cold engines. A warm engine over
// the link computes a short prompt sooner until the ramp is far enough. Long
// prompts stay local.
func TestShortPromptsUseRemoteEnginesWhileLocalOnesRamp(t *testing.T) {
	f := newFixture(t, 4, 1)
	f.document.Engines[2].DataCentre, f.document.Engines[3].DataCentre = "dc2", "dc2"
	f.site.OutOfServiceDataCentres["dc1"] = true
	f.configure()
	placedIn := func(prompt int) string {
		decision := f.submit(f.request(0, prompt))
		f.is.Equal(decision.Kind, Placed)
		f.finish(decision.RequestID, Outcome{})
		return decision.Upstream.DataCentre
	}
	f.is.Equal(placedIn(8000), "dc2")
	f.site.OutOfServiceDataCentres = map[string]bool{}
	f.configure()
	f.is.Equal(placedIn(8000), "dc2")
	f.is.Equal(placedIn(20_000), "dc1")
	f.now = f.now.Add(29 * time.Second)
	f.is.Equal(placedIn(8000), "dc1")
}
