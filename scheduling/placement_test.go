package scheduling

import (
	"testing"
	"time"

	"github.com/wigeontiller/wigeontiller/environment"
)

func TestLongPromptsGetLowestEnginePriorityAndPrefillLimit(t *testing.T) {
	f := newFixture(t, 4, 1)
	f.document.Reserve.LongPrefillPerDataCentre = 3
	f.configure()
	var long []string
	for range 3 {
		request := f.request(0, 140_000)
		request.Priority = environment.Urgent
		decision := f.submit(request)
		f.is.Equal(decision.Kind, Placed)
		f.is.Equal(decision.Priority, environment.Batch) // the priority at the engine
		long = append(long, request.ID)
	}
	fourth := f.request(0, 140_000)
	f.is.Equal(f.submit(fourth).Kind, Queued) // the limit of long prefills
	for _, priority := range []environment.Priority{environment.Normal, environment.Urgent} {
		request := f.request(0, 1000)
		request.Priority = priority
		f.is.Equal(f.submit(request).Priority, priority)
	}
	f.FirstToken(f.now, long[0])
	decisions := f.advance()
	f.is.Equal(len(decisions), 1)
	f.is.Equal(decisions[0].RequestID, fourth.ID)
}

func TestShortPromptsSpreadByPendingPrefill(t *testing.T) {
	f := newFixture(t, 2, 1)
	f.configure()
	first := f.submit(f.request(0, 16_000))
	for range 3 { // the other engine is chosen until it has 16,000 tokens pending too
		f.is.True(f.submit(f.request(0, 4000)).Upstream != first.Upstream)
	}
}

func TestReserveOpensWithoutRecentShortPrompts(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.document.Reserve.LongPrefillPerDataCentre = 0
	f.configure()
	f.submit(f.request(0, 1000))
	placed := 0
	for range 8 {
		if f.submit(f.request(0, 20_000)).Kind == Placed {
			placed++
		}
	}
	f.is.Equal(placed, 6) // 75 % of 8 slots
	f.now = f.now.Add(2 * reserveIdleTimeout)
	f.is.Equal(len(f.advance()), 1) // a slot of the reserve is used
}

func TestReserveAppliesToMemory(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.document.Reserve.LongPrefillPerDataCentre = 0
	f.configure()
	f.submit(f.request(0, 1000))
	f.is.Equal(f.submit(f.request(0, 250_000)).Kind, Placed)
	f.is.Equal(f.submit(f.request(0, 100_000)).Kind, Queued) // over 300,000 of 400,000
	f.is.Equal(f.submit(f.request(0, 15_000)).Kind, Placed)
}

func TestReportedMemoryOfOtherNodesIsNotUsed(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	f.Observe(f.now, Report{UpstreamID: "test/production/e0", Running: 1, KVTokens: 300_000, At: f.now})
	f.is.Equal(f.submit(f.request(0, 150_000)).Kind, Queued)
	f.now = f.now.Add(reportLifetime)
	f.is.Equal(len(f.advance()), 1)
}

// Short prompts are waiting at all times.
func TestLongPromptIsPlacedUnderConstantShortPromptLoad(t *testing.T) {
	minWait := map[int]time.Duration{1: 40 * time.Second, 2: 0}
	maxWait := map[int]time.Duration{1: time.Minute, 2: 20 * time.Second}
	for engines := range minWait {
		f := newFixture(t, engines, 2)
		f.configure()
		var running []string
		for range 8 * engines {
			request := f.request(0, 15_000)
			f.submit(request)
			running = append(running, request.ID)
		}
		long := f.request(1, 390_000)
		f.is.Equal(f.submit(long).Kind, Queued)
		for f.Waiting() > 0 && f.waiting[long.ID] != nil {
			f.now = f.now.Add(100 * time.Millisecond)
			for f.Waiting() < 10 {
				f.submit(f.request(0, 15_000))
			}
			if len(running) > 0 {
				f.finish(running[0], Outcome{})
				running = running[1:]
			}
			for _, decision := range f.advance() {
				if decision.RequestID == long.ID {
					f.is.Equal(decision.Kind, Placed)
				}
				if decision.Kind == Placed {
					running = append(running, decision.RequestID)
				}
			}
		}
		waited := f.now.Sub(long.Arrived)
		f.is.True(waited >= minWait[engines])
		f.is.True(waited < maxWait[engines])
	}
}

func TestLocalDataCentreIsUsedBeforeRemote(t *testing.T) {
	f := newFixture(t, 2, 1)
	f.document.Engines[1].DataCentre = "dc2"
	f.configure()
	for range 8 {
		f.is.Equal(f.submit(f.request(0, 1000)).Upstream.DataCentre, "dc1")
	}
	over := f.request(0, 1000)
	f.is.Equal(f.submit(over).Kind, Queued) // no use of the link before minWaitForRemote
	f.now = f.now.Add(minWaitForRemote)
	decisions := f.advance()
	f.is.Equal(len(decisions), 1)
	f.is.Equal(decisions[0].Upstream.DataCentre, "dc2")
}

func TestPrefixAffinityYieldsToLoad(t *testing.T) {
	f := newFixture(t, 8, 1)
	f.document.PrefixAffinity = environment.AllAffinity
	f.configure()
	counts := map[string]int{}
	firstID := ""
	for i := range 16 {
		request := f.request(0, 1000)
		request.PrefixHash = 12345
		id := f.submit(request).Upstream.ID
		f.FirstToken(f.now, request.ID)
		if i == 0 {
			firstID = id
		}
		f.is.True(i >= 3 || id == firstID) // within affinitySlack, a quarter of the slots
		counts[id]++
	}
	highest := 0
	for _, count := range counts {
		highest = max(highest, count)
	}
	f.is.True(highest <= 6)    // bounded by load
	f.is.True(len(counts) > 2) // others spread
}

func TestPlacementUsesFreshReportsAndOwnLoad(t *testing.T) {
	f := newFixture(t, 2, 1)
	f.configure()
	f.Observe(f.now, Report{UpstreamID: "test/production/e0", Running: 6, At: f.now})
	for range 5 {
		request := f.request(0, 1000)
		f.is.Equal(f.submit(request).Upstream.Name, "e1")
		f.FirstToken(f.now, request.ID)
	}
	f.Observe(f.now, Report{UpstreamID: "test/production/e1", Running: 1, At: f.now.Add(-time.Second)})
	f.now = f.now.Add(reportLifetime)
	f.is.Equal(f.submit(f.request(0, 1000)).Upstream.Name, "e0") // the old report is stale
}

func TestSharesAndFallbackBoundPlacementsButNotDemand(t *testing.T) {
	f := newFixture(t, 2, 1)
	f.configure()
	first, second := "test/production/e0", "test/production/e1"
	f.SetFallback(f.now, func(string) Share { return Share{Slots: 1, KVTokens: 50_000} })
	f.SetShares(f.now, map[string]Share{
		first:  {Slots: 3, KVTokens: 400_000, Expires: f.now.Add(time.Second)},
		second: {},
	})
	var ids []string
	for range 10 {
		request := f.request(0, 900)
		request.Deadline = f.now.Add(time.Hour)
		f.submit(request)
		ids = append(ids, request.ID)
	}
	f.is.Equal(f.Running(), 4) // three by the share, one by the fallback
	demand := f.Demand(f.now)
	f.is.Equal(demand[first].Running+demand[second].Running, 4)
	f.is.Equal(demand[first].Waiting+demand[second].Waiting, 6)
	f.is.Equal(demand[first].KVTokens+demand[second].KVTokens, 10_000)
	f.now = f.now.Add(time.Second)
	f.finish(ids[0], Outcome{})
	f.finish(ids[1], Outcome{})
	f.advance()
	f.is.True(f.Running() <= 3) // the share has expired: one slot each by the fallback
	f.SetShares(f.now, map[string]Share{first: {Slots: 8, KVTokens: 400_000, Expires: f.now.Add(time.Second)}})
	f.advance()
	f.is.Equal(f.Waiting(), 0)
}

func TestDemandIncludesRemoteDataCentresAfterWait(t *testing.T) {
	f := newFixture(t, 4, 1)
	f.document.Engines[2].DataCentre = "dc2"
	f.document.Engines[3].DataCentre = "dc2"
	f.configure()
	f.SetFallback(f.now, func(string) Share { return Share{} })
	for range 40 {
		f.is.Equal(f.submit(f.request(0, 900)).Kind, Queued)
	}
	waitingByLocation := func() (local, remote int) {
		for id, demand := range f.Demand(f.now) {
			f.is.True(demand.Waiting >= 3) // spread over the upstreams of a data centre
			if f.tables.Upstreams[id].DataCentre == "dc1" {
				local += demand.Waiting
			} else {
				remote += demand.Waiting
			}
		}
		return local, remote
	}
	local, remote := waitingByLocation()
	f.is.Equal([]int{local, remote}, []int{40, 0})
	f.now = f.now.Add(minWaitForRemote)
	local, remote = waitingByLocation()
	f.is.Equal(local+remote, 40)
	f.is.True(remote >= 10)
}

func TestUpstreamReturnsToServiceOnRamp(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.document.Engines[0].Slots = 40
	f.document.Engines[0].KVTokens = 4_000_000
	f.configure()
	f.is.Equal(len(f.fillSlots()), 40) // the first tables start no ramp
	for id := range f.running {
		f.finish(id, Outcome{})
	}
	f.site.OutOfServiceVMs["vm0"] = true
	f.configure()
	f.is.Equal(f.submit(f.request(0, 1000)).Reason, NoUpstream)
	f.site.OutOfServiceVMs["vm0"] = false
	f.configure()
	f.is.Equal(len(f.fillSlots()), 4)
	f.is.Equal(f.LimitedUpstreams(f.now), []LimitedUpstream{{
		UpstreamID: "test/production/e0", Running: 4, Slots: 4, WholeSlots: 40, Ramping: true,
	}})
	f.now = f.now.Add(15 * time.Second)
	f.advance()
	f.is.Equal(4+len(f.fillSlots()), 22)
	f.now = f.now.Add(15 * time.Second)
	f.advance()
	f.is.Equal(22+len(f.fillSlots()), 40)
	f.is.Equal(len(f.LimitedUpstreams(f.now)), 0)
}

func TestWaitingRequestIsRefusedWhenUpstreamGoesOutOfService(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	f.fillSlots()
	request := f.request(0, 1000)
	f.is.Equal(f.submit(request).Kind, Queued)
	f.site.OutOfServiceVMs["vm0"] = true
	f.configure()
	decisions := f.advance()
	f.is.Equal(len(decisions), 1)
	f.is.Equal(decisions[0].Reason, NoUpstream) // immediately, not at the deadline
}

func TestColdStartIsInferredFromFailuresOrSlowFirstToken(t *testing.T) {
	for _, sign := range []string{"failures", "slow first token"} {
		f := newFixture(t, 1, 1)
		f.document.Engines[0].Slots = 20
		f.configure()
		f.trainEstimator()
		for range 2 {
			request := f.request(0, 1000)
			f.submit(request)
			if sign == "failures" {
				f.finish(request.ID, Outcome{Failed: true})
				continue
			}
			f.now = f.now.Add(3 * time.Second)
			f.FirstToken(f.now, request.ID)
			f.finish(request.ID, Outcome{})
			break // one slow first token is enough
		}
		f.is.Equal(len(f.fillSlots()), 2) // a tenth of 20
	}
}

func TestOpenBreakerRefusesUntilTrialIsAllowed(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	for range 5 {
		request := f.request(0, 1000)
		f.is.Equal(f.submit(request).Kind, Placed)
		f.finish(request.ID, Outcome{Failed: true})
	}
	refused := f.submit(f.request(0, 1000))
	f.is.Equal(refused.Reason, Unavailable)
	f.is.Equal(f.LimitedUpstreams(f.now)[0].BrokenModels, []string{"m"})
	f.is.True(refused.RetryAfter > time.Second)
	f.now = f.now.Add(refused.RetryAfter)
	f.is.Equal(f.submit(f.request(0, 1000)).Kind, Placed)
	retry := f.request(0, 1000)
	retry.Avoid = []string{"test/production/e0"}
	f.is.Equal(f.submit(retry).Reason, Unavailable) // not NoUpstream: the upstream exists but is avoided
}

func TestRetryIsNotPlacedOnRampingUpstream(t *testing.T) {
	f := newFixture(t, 2, 1)
	f.site.OutOfServiceVMs["vm1"] = true
	f.configure()
	f.site.OutOfServiceVMs["vm1"] = false
	f.configure()
	retry := f.request(0, 1000)
	retry.Avoid = []string{"test/production/e0"}
	f.is.Equal(f.submit(retry).Kind, Queued)
	f.now = f.now.Add(30 * time.Second)
	f.is.Equal(len(f.advance()), 1)
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	retries := 0
	for range 200 {
		request := f.request(0, 1000)
		f.submit(request)
		if f.MayRetry(f.now, request) {
			retries++
		}
		f.finish(request.ID, Outcome{})
	}
	f.is.True(retries <= 23) // a tenth and the burst
	late := f.request(0, 1000)
	late.Deadline = f.now
	f.is.True(!f.MayRetry(f.now, late))
}
