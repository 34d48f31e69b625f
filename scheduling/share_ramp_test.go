package scheduling

import (
	"testing"
	"time"
)

// TestRampDoesNotCountTwiceUnderAShare starts an upstream of 8 slots cold; 10 %
// of them is 1 and half of the ramp 55 %, which is 4.
func TestRampDoesNotCountTwiceUnderAShare(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	u := f.ordered[0]
	share := Share{Slots: 3, KVTokens: 400_000, Expires: f.now.Add(time.Hour)}
	f.SetShares(f.now, map[string]Share{u.upstream.ID: share})
	f.startRamp(f.now, u)
	slots, _ := f.limit(f.now, u)
	f.is.Equal(slots, 1) // bites at once, before the keeper has heard
	f.now = f.now.Add(15 * time.Second)
	slots, _ = f.limit(f.now, u)
	f.is.Equal(slots, 3) // the whole share, not 55 % of it
}

// TestRampBoundsWhatReportsTellOfAllNodes starts an upstream of 8 slots cold.
// Half of the ramp allows 4 of them, all nodes together.
func TestRampBoundsWhatReportsTellOfAllNodes(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	u := f.ordered[0]
	f.startRamp(f.now, u)
	f.now = f.now.Add(15 * time.Second)
	f.Observe(f.now, Report{UpstreamID: u.upstream.ID, Running: 3, At: f.now})
	f.is.Equal(len(f.fill()), 1)
	// With the ramp over, only the slots bound this node.
	f.now = f.now.Add(15 * time.Second)
	f.Observe(f.now, Report{UpstreamID: u.upstream.ID, Running: 4, At: f.now})
	f.advance()
	f.is.Equal(1+len(f.fill()), 8)
}

// TestColdStartIsTakenOnce lets the only upstream fail as after a restart.
func TestColdStartIsTakenOnce(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	var ids []string
	for range coldFailures {
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
