package scheduling

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/scheduling/fairqueue"
)

// placeWithPrefix submits a short prompt with a prefix, finishes it and returns its
// engine.
func (f *fixture) placeWithPrefix(hash uint64) string {
	request := f.request(0, 1000)
	request.PrefixHash = hash
	decision := f.submit(request)
	f.is.Equal(decision.Kind, Placed)
	f.finish(request.ID, Outcome{FirstToken: time.Millisecond, PromptTokens: 1000, AnswerTokens: 2})
	return decision.Upstream.Name
}

func newAffinityFixture(t *testing.T, engines int) *fixture {
	f := newFixture(t, engines, 1)
	f.document.PrefixAffinity = environment.AllAffinity
	f.configure()
	return f
}

// The default, LongAffinity, applies to long prompts only.
func TestPrefixAffinitySettingSelectsPromptLengths(t *testing.T) {
	for _, test := range []struct {
		affinity    environment.PrefixAffinity
		short, long bool
	}{
		{environment.NoAffinity, false, false},
		{environment.LongAffinity, false, true},
		{environment.AllAffinity, true, true},
	} {
		f := newAffinityFixture(t, 4)
		f.document.PrefixAffinity = test.affinity
		f.configure()
		request := f.request(0, 1000)
		request.PrefixHash = 1
		short := waitingRequest{request: request, pool: f.orderedPools[0], entry: &fairqueue.Entry[*waitingRequest]{}}
		long := short
		long.entry = &fairqueue.Entry[*waitingRequest]{Class: longClass}
		f.is.Equal(short.usesAffinity(), test.short)
		f.is.Equal(long.usesAffinity(), test.long)
	}
}

func TestPrefixesSpreadEvenlyOverEngines(t *testing.T) {
	f := newAffinityFixture(t, 100) // more than maxAffinityCandidates
	random := rand.New(rand.NewPCG(4, 4))
	counts := map[*member]int{}
	const prefixes, engines = 20_000, 100
	for range prefixes {
		first, second := f.orderedPools[0].local.affinityTargets(random.Uint64())
		f.is.True(first != second)
		counts[first]++
	}
	f.is.Equal(len(counts), engines)
	for _, count := range counts {
		f.is.True(count < 2*prefixes/engines) // no engine has twice the mean
	}
}

// When an engine goes out of service, only its own prefixes move, to their second
// choices. They return with the engine.
func TestPrefixesOfEngineOutOfServiceMoveAndReturn(t *testing.T) {
	f := newAffinityFixture(t, 8)
	random := rand.New(rand.NewPCG(5, 5))
	var hashes []uint64
	var before []string
	for range 100 {
		hash := random.Uint64()
		hashes = append(hashes, hash)
		before = append(before, f.placeWithPrefix(hash))
	}
	f.site.OutOfServiceVMs["vm3"] = true
	f.configure()
	moved := map[string]bool{}
	for i, hash := range hashes {
		now := f.placeWithPrefix(hash)
		f.is.True(now != "e3")
		f.is.True(now == before[i] || before[i] == "e3")
		f.is.Equal(f.placeWithPrefix(hash), now) // the second choice stays the same
		if before[i] == "e3" {
			moved[now] = true
		}
	}
	f.is.True(len(moved) > 3) // spread over the others
	delete(f.site.OutOfServiceVMs, "vm3")
	f.configure()
	for i, hash := range hashes {
		f.is.Equal(f.placeWithPrefix(hash), before[i]) // one at a time fits within the ramp
	}
}

// During the ramp of a returned engine, prompts beyond its ramped slots go to the
// second choice.
func TestReturnedEngineTakesItsPrefixesWithinRamp(t *testing.T) {
	f := newAffinityFixture(t, 8)
	first := f.placeWithPrefix(77)
	vm := "vm" + first[1:]
	f.site.OutOfServiceVMs[vm] = true
	f.configure()
	second := f.placeWithPrefix(77)
	delete(f.site.OutOfServiceVMs, vm)
	f.configure()
	for i, want := range []string{first, second} { // a tenth of 8 slots is one
		request := f.request(0, 1000)
		request.PrefixHash = 77
		f.is.Equal(f.submit(request).Upstream.Name, want)
		f.is.True(i < 2)
	}
}

// Prompts of a full engine go to the second choice, not to any engine.
func TestFullEngineSpillsToSecondChoice(t *testing.T) {
	f := newAffinityFixture(t, 8)
	first := f.placeWithPrefix(42)
	u := f.upstreams["test/production/"+first]
	f.Observe(f.now, Report{UpstreamID: u.upstream.ID, Running: 8, KVTokens: 400_000, At: f.now})
	second := f.placeWithPrefix(42)
	f.is.True(second != first)
	for range 20 {
		f.is.Equal(f.placeWithPrefix(42), second)
	}
	f.now = f.now.Add(reportLifetime)
	f.is.Equal(f.placeWithPrefix(42), first)
}

// A hot prefix loads no engine above the mean by more than affinitySlack and one
// request.
func TestHotPrefixLoadIsBounded(t *testing.T) {
	f := newAffinityFixture(t, 8)
	const requests, engines, slots = 24, 8, 8
	counts := map[string]int{}
	for range requests {
		request := f.request(0, 1000)
		request.PrefixHash = 7
		id := f.submit(request).Upstream.ID
		f.FirstToken(f.now, request.ID)
		counts[id]++
	}
	f.is.Equal(len(counts), engines) // no engine stays idle
	for _, count := range counts {
		f.is.True(count <= requests/engines+affinitySlack*slots+1)
	}
}

// The same tables start ramps in the same order each time, so that choices agree.
func TestConfigureStartsRampsInFixedOrder(t *testing.T) {
	f := newAffinityFixture(t, 20)
	f.site.OutOfServiceDataCentres["dc1"] = true
	f.configure()
	delete(f.site.OutOfServiceDataCentres, "dc1")
	f.configure()
	f.is.Equal(len(f.ramping), 20)
	f.is.True(slices.IsSortedFunc(f.ramping, func(a, b *upstreamState) int { return strings.Compare(a.upstream.ID, b.upstream.ID) }))
}
