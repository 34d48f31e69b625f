package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// newLargeFixture has the upstreams of the large site: 150 engines and 11 plain services.
func newLargeFixture() *fixture {
	configuration := &fleet.Configuration{Services: map[string]*fleet.Service{
		"llm": {Name: "llm", ColdRatePerSecond: 1000, Engine: largeEngine()}, "app": {Name: "app"},
	}}
	view := fleet.View{Configuration: configuration, ZonesOutOfService: map[string]bool{}, Upstreams: map[string]*fleet.Upstream{}}
	for i := range 161 {
		service := "llm"
		if i >= 150 {
			service = "app"
		}
		id := fmt.Sprintf("u%d", i)
		view.Upstreams[id] = &fleet.Upstream{ID: id, Service: service, Address: id, Zone: fmt.Sprintf("z%d", i%5), Slots: 10}
	}
	s := New(Config{Zone: "z0", PrefillChunkMs: 50, MaxPrefillEngines: 17, MaxPassMs: 220, ColdRateFactor: 1000, Random: rand.New(rand.NewPCG(1, 2))})
	s.UpdateView(view)
	return &fixture{Scheduler: s, view: view}
}

func benchmarkDecision(b *testing.B, tokens int) {
	f := newLargeFixture()
	now := time.Second
	for b.Loop() {
		now += 50 * time.Millisecond
		request := f.request(now, tokens)
		if f.Submit(now, request).Lead == nil {
			f.Cancel(request.ID)
		}
		f.End(now, request.ID, Answered, "")
	}
}

func BenchmarkDecisionShort(b *testing.B) { benchmarkDecision(b, 5_000) }
func BenchmarkDecisionLong(b *testing.B)  { benchmarkDecision(b, 190_000) }

// BenchmarkApplyZoneSums applies the sums of another zone, for each of 30 upstreams.
func BenchmarkApplyZoneSums(b *testing.B) {
	f := newLargeFixture()
	var updates []LoadUpdate
	for i := range 30 {
		updates = append(updates, LoadUpdate{Hash: Hash(fmt.Sprintf("u%d", i)), Totals: Totals{Running: 3, MemoryTokens: 15_000}, AddedPrefillMs: 1})
	}
	now := time.Second
	for b.Loop() {
		now += 40 * time.Millisecond
		f.ApplyLoadUpdates(now, "zone/z1", updates, false)
	}
}

// benchmarkDivided decides on prompts for 100 engines that are divided.
func benchmarkDivided(b *testing.B, tokens int) {
	f := longAimOfOneEngine.prepare(100, 1).nodes[0]
	now := time.Second
	for b.Loop() {
		now += 50 * time.Millisecond
		request := f.request(now, tokens)
		if f.Submit(now, request).Lead == nil {
			f.Cancel(request.ID)
			f.LoadUpdates(now, false)
		}
		f.End(now, request.ID, Answered, "")
	}
}

func BenchmarkDecisionShortDivided(b *testing.B)  { benchmarkDivided(b, 5_000) }
func BenchmarkDecisionMiddleDivided(b *testing.B) { benchmarkDivided(b, 45_000) }
func BenchmarkDecisionLongDivided(b *testing.B)   { benchmarkDivided(b, 220_000) }
