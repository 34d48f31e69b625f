package scheduling

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestEachUpstreamIsPreferredByOneNode(t *testing.T) {
	for nodes := 1; nodes <= 12; nodes++ {
		for upstreams := 1; upstreams <= 12; upstreams++ {
			t.Run(fmt.Sprintf("%d nodes/%d upstreams", nodes, upstreams), func(t *testing.T) {
				is := is.New(t)
				preferringNodes := map[*member]int{}
				all := make([]*member, upstreams)
				for i := range all {
					all[i] = &member{}
				}
				for position := range nodes {
					set := memberSet{all: all}
					set.setPreferred(position, nodes)
					is.True(len(set.preferred) > 0 && len(set.preferred) <= upstreams/nodes+1)
					for _, m := range set.preferred {
						preferringNodes[m]++
					}
				}
				is.Equal(len(preferringNodes), upstreams)
				for _, count := range preferringNodes {
					is.True(count == 1 || nodes > upstreams)
				}
			})
		}
	}
}

func TestShortPromptsUsePreferredUpstreamsWithinSwitchMargin(t *testing.T) {
	f := newFixture(t, 9, 1)
	f.configure()
	f.SetPosition(1, 3)
	p := f.orderedPools[0]
	is := is.New(t)
	is.Equal(len(p.local.preferred), 3)
	// Nine prompts of a tenth of the longest short one: three at each preferred
	// upstream, whose score is not yet above the others' by switchMargin.
	for range 9 {
		is.Equal(f.submit(f.request(0, 1600)).Kind, Placed)
	}
	for _, m := range p.local.preferred {
		is.Equal(m.state.requests, 3)
	}
	// More go to other upstreams before the preferred ones are full.
	for range 9 {
		is.Equal(f.submit(f.request(0, 1600)).Kind, Placed)
	}
	elsewhere := 0
	for _, m := range p.local.all {
		elsewhere += m.state.requests
	}
	for _, m := range p.local.preferred {
		is.True(m.state.requests < m.state.upstream.Slots)
		elsewhere -= m.state.requests
	}
	is.True(elsewhere > 0)
	// The position stays when the tables change.
	f.configure()
	is.Equal(len(f.orderedPools[0].local.preferred), 3)
}

// Used memory counts only by how it slows prefills, so that the upstream with less
// pending prefill wins.
func TestLessPendingPrefillWinsOverMoreFreeMemory(t *testing.T) {
	f := newFixture(t, 2, 1)
	f.configure()
	f.SetPosition(0, 1)
	is := is.New(t)
	first := f.submit(f.request(0, 8000)).Upstream.ID
	for _, u := range f.ordered {
		if u.upstream.ID != first {
			f.Observe(f.now, Report{UpstreamID: u.upstream.ID, Running: 1, KVTokens: 300_000, At: f.now})
		}
	}
	second := f.submit(f.request(0, 8000)).Upstream.ID
	is.True(second != first)
	// With the same pending prefill at both, the one with more free memory is chosen.
	third := f.submit(f.request(0, 8000)).Upstream.ID
	is.Equal(third, first)
}
