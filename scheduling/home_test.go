package scheduling

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestEachUpstreamHasOneHome(t *testing.T) {
	for nodes := 1; nodes <= 12; nodes++ {
		for upstreams := 1; upstreams <= 12; upstreams++ {
			t.Run(fmt.Sprintf("%d nodes/%d upstreams", nodes, upstreams), func(t *testing.T) {
				is := is.New(t)
				homes := map[*member]int{}
				all := make([]*member, upstreams)
				for i := range all {
					all[i] = &member{}
				}
				for position := range nodes {
					g := group{all: all}
					g.setHome(position, nodes)
					is.True(len(g.home) > 0 && len(g.home) <= upstreams/nodes+1)
					for _, m := range g.home {
						homes[m]++
					}
				}
				is.Equal(len(homes), upstreams)
				for _, count := range homes {
					is.True(count == 1 || nodes > upstreams)
				}
			})
		}
	}
}

func TestShortPromptsStayAtHomeUntilItIsWorse(t *testing.T) {
	f := newFixture(t, 9, 1)
	f.configure()
	f.SetPosition(1, 3)
	p := f.orderedPools[0]
	is := is.New(t)
	is.Equal(len(p.local.home), 3)
	// Nine prompts of a tenth of the longest short one: three at each home
	// upstream, which is not yet worse than elsewhere by the cost of leaving.
	for range 9 {
		is.Equal(f.submit(f.request(0, 1600)).Kind, Placed)
	}
	for _, m := range p.local.home {
		is.Equal(m.state.requests, 3)
	}
	// More go elsewhere before the home upstreams are full.
	for range 9 {
		is.Equal(f.submit(f.request(0, 1600)).Kind, Placed)
	}
	away := 0
	for _, m := range p.local.all {
		away += m.state.requests
	}
	for _, m := range p.local.home {
		is.True(m.state.requests < m.state.upstream.Slots)
		away -= m.state.requests
	}
	is.True(away > 0)
	// The position outlives a change of the tables.
	f.configure()
	is.Equal(len(f.orderedPools[0].local.home), 3)
}

// The memory in use counts by what it slows, so that less to read wins.
func TestLessToReadWinsOverLessMemory(t *testing.T) {
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
	// With as much to read at both, the one with more free memory is chosen.
	third := f.submit(f.request(0, 8000)).Upstream.ID
	is.Equal(third, first)
}
