package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/fleet"
)

func TestPreviewTellsTheDecisionAndChangesNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(4, 3)
	now := time.Second
	for range 30 {
		f.Submit(now, f.request(now, 5000))
	}
	f.LoadUpdates(now, false)
	queued := f.Waiting()
	for _, tokens := range []int{5000, 45_000, 133_000} {
		before := f.LoadUpdates(now, true)
		preview := f.Preview(now, f.request(now, tokens))
		is.Equal(f.LoadUpdates(now, true), before)
		is.Equal(f.Waiting(), queued)
		is.Equal(len(f.running), 30)
		is.Equal(len(preview.Upstreams), 4)
		is.True(preview.Decision.Lead != nil)
	}
}

func TestPreviewTellsWhyUpstreamsAreNotUsable(t *testing.T) {
	is := is.New(t)
	f := newFixture(4, 0)
	now := time.Second
	f.view.Upstreams["e0"] = &fleet.Upstream{ID: "e0", Service: "llm", Address: "e0", Zone: "z0", Slots: 16, Draining: true}
	f.view.ZonesOutOfService["z1"] = true
	f.UpdateView(f.view)
	f.loads["e2"].avoid(now)
	preview := f.Preview(now, f.request(now, 2000))
	exclusions := map[string]Exclusion{}
	for _, u := range preview.Upstreams {
		exclusions[u.ID] = u.Exclusion
	}
	is.Equal(exclusions, map[string]Exclusion{"e0": ExcludedDraining, "e1": ExcludedZone, "e2": ExcludedFailedBefore, "e3": ""})
	is.Equal(preview.Decision.Lead.ID, "e3")
	for range 16 {
		f.Submit(now, f.request(now, 2000))
	}
	is.Equal(f.Preview(now, f.request(now, 2000)).Upstreams[3].Exclusion, ExcludedSlots)
}
