package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// engine returns the pass model of the users' first data sheet.
func engine() *fleet.Engine {
	return &fleet.Engine{
		Slots: 16, MemoryTokens: 232_000, StepMs: 1.02, StepMsPerStream: 0.00226, StepMsPerContextK: 0.00431,
		PrefillTokensPerMs: 206, AttentionMsPerMPairs: 0.138, MaxPrefillTokensPerStep: 2048, StepsPerPass: 43, JointStepMs: 0.075,
	}
}

type fixture struct {
	*Scheduler
	view fleet.View
	next int
}

func newFixture(engines, services int) *fixture {
	configuration := &fleet.Configuration{Version: 1, Services: map[string]*fleet.Service{
		"llm": {Name: "llm", ColdRatePerSecond: 36, Engine: engine()}, "app": {Name: "app"},
	}}
	view := fleet.View{Configuration: configuration, ZonesOutOfService: map[string]bool{}, Upstreams: map[string]*fleet.Upstream{}}
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		view.Upstreams[id] = &fleet.Upstream{ID: id, Service: "llm", Address: id, Zone: fmt.Sprintf("z%d", i%3), Slots: 16}
	}
	for i := range services {
		id := fmt.Sprintf("s%d", i)
		view.Upstreams[id] = &fleet.Upstream{ID: id, Service: "app", Address: id, Zone: fmt.Sprintf("z%d", i%3), Slots: 6}
	}
	s := New(Config{
		Zone: "z0", PrefillChunkMs: 50, MaxPrefillEngines: 17, MaxPassMs: 220, ColdRateFactor: 1.2,
		Random: rand.New(rand.NewPCG(1, 2)),
	})
	s.UpdateView(view)
	return &fixture{Scheduler: s, view: view}
}

func (f *fixture) request(now time.Duration, tokens int) *Request {
	f.next++
	return &Request{
		ID: fmt.Sprintf("r%d", f.next), Service: "llm", Kind: fleet.Stream, PromptTokens: tokens, AnswerTokens: 1400,
		Arrived: now, AnswerDue: now + 300*time.Millisecond, Deadline: now + 10*time.Second,
	}
}

func (f *fixture) plainRequest(now time.Duration) *Request {
	request := f.request(now, 0)
	request.Service, request.Kind, request.AnswerTokens = "app", fleet.Safe, 0
	return request
}

func TestPrefillTimeAndChunkCountFollowThePassModel(t *testing.T) {
	is := is.New(t)
	// 133,000 tokens: 645.6 ms for the tokens and 1,220.5 ms for the pairs.
	is.True(prefillMs(engine(), 133_000) > 1866 && prefillMs(engine(), 133_000) < 1867)
	is.True(decodePassMs(engine(), 0, 0) > 43.8 && decodePassMs(engine(), 0, 0) < 43.9)
	is.Equal(chunkCount(engine(), 5_000, 50, 17), 1)
	is.Equal(chunkCount(engine(), 45_000, 50, 17), 8)
	is.Equal(chunkCount(engine(), 133_000, 50, 17), 17)
}

func TestSubmitSplitsLongPromptOverSeveralEngines(t *testing.T) {
	is := is.New(t)
	f := newFixture(18, 0)
	request := f.request(time.Second, 133_000)
	request.AnswerDue = 3500 * time.Millisecond
	decision := f.Submit(time.Second, request)
	is.True(decision.Lead != nil)
	is.Equal(len(decision.Helpers), 16)
	seen := map[string]bool{decision.Lead.ID: true}
	for _, helper := range decision.Helpers {
		is.True(!seen[helper.ID])
		seen[helper.ID] = true
	}
}

func TestSubmitSpreadsShortPromptsOverEngines(t *testing.T) {
	is := is.New(t)
	f := newFixture(9, 0)
	at := map[string]int{}
	for range 18 {
		decision := f.Submit(time.Second, f.request(time.Second, 5_000))
		is.True(decision.Lead != nil)
		at[decision.Lead.ID]++
	}
	for id, count := range at {
		is.True(count <= 3) // id
		_ = id
	}
}

func TestSchedulerNeverExceedsSlotsOrMemory(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	f := newFixture(4, 0)
	now := time.Second
	type run struct {
		id   string
		need int
		at   string
	}
	var running []run
	memory, slots := map[string]int{}, map[string]int{}
	place := func(decision Decision, tokens int) {
		if decision.Lead == nil {
			return
		}
		running = append(running, run{decision.ID, tokens, decision.Lead.ID})
		memory[decision.Lead.ID] += tokens
		slots[decision.Lead.ID]++
		if memory[decision.Lead.ID] > 232_000 || slots[decision.Lead.ID] > 16 {
			t.Fatalf("engine %s has %d tokens reserved in %d slots, limits are 232000 and 16", decision.Lead.ID, memory[decision.Lead.ID], slots[decision.Lead.ID])
		}
	}
	sizes := map[string]int{}
	for range 5000 {
		now += time.Duration(random.IntN(30)) * time.Millisecond
		tokens := 1000 + random.IntN(6000)
		if random.IntN(5) == 0 {
			tokens = 20_000 + random.IntN(180_000)
		}
		request := f.request(now, tokens)
		sizes[request.ID] = tokens + 1400
		place(f.Submit(now, request), tokens+1400)
		for _, decision := range f.Advance(now) {
			place(decision, sizes[decision.ID])
		}
		for len(running) > 0 && random.IntN(3) > 0 {
			i := random.IntN(len(running))
			ended := running[i]
			running = append(running[:i], running[i+1:]...)
			memory[ended.at] -= ended.need
			slots[ended.at]--
			if random.IntN(2) == 0 {
				f.FirstEvent(now, ended.id)
			}
			f.End(now, ended.id, Outcome(random.IntN(6)), "")
		}
	}
	for _, ended := range running {
		f.End(now, ended.id, Answered, "")
	}
	for id, l := range f.loads {
		if l.running != 0 || l.memoryTokens != 0 || l.helperPrompts != 0 {
			t.Fatalf("engine %s not free after all requests ended: %d running, %d tokens, helper of %d prompts", id, l.running, l.memoryTokens, l.helperPrompts)
		}
	}
}

func TestEndRemovesBacklogOfPromptWithoutPrefill(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 0)
	decision := f.Submit(time.Second, f.request(time.Second, 100_000))
	is.True(f.loads[decision.Lead.ID].backlogMs(time.Second) > 100)
	f.End(time.Second, decision.ID, Refused, "")
	for _, l := range f.loads {
		is.True(l.backlogMs(time.Second) < 0.001)
	}
}

func TestFirstEventRemovesTheBacklogBeforeIt(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 0)
	first := f.Submit(time.Second, f.request(time.Second, 20_000))
	second := f.Submit(time.Second, f.request(time.Second, 5_000))
	f.FirstEvent(time.Second, first.ID)
	is.True(f.loads["e0"].backlogMs(time.Second) < prefillMs(engine(), 5_000)+0.001)
	f.FirstEvent(time.Second, second.ID)
	is.True(f.loads["e0"].backlogMs(time.Second) < 0.001)
}

func TestSubmitRefusesWhenUpstreamsAreDrainingOrOutOfService(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 0)
	placed := f.Submit(time.Second, f.request(time.Second, 5_000))
	is.True(f.InService(time.Second, &placed))
	draining := *f.view.Upstreams[placed.Lead.ID]
	draining.Draining = true
	f.view.Upstreams[draining.ID] = &draining
	for _, zone := range []string{"z0", "z1", "z2"} {
		f.view.ZonesOutOfService[zone] = zone != draining.Zone
	}
	f.UpdateView(f.view)
	is.True(!f.InService(time.Second, &placed)) // callers check this again before the send
	decision := f.Submit(time.Second, f.request(time.Second, 5_000))
	is.True(decision.Lead == nil)
	is.Equal(decision.Reason, NoUpstream)
	is.True(decision.RetryAfter > 0)
}

func TestRestartedUpstreamBeginsWithoutLoad(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 0)
	placed := f.Submit(time.Second, f.request(time.Second, 5_000))
	again := *f.view.Upstreams["e0"]
	again.StartedMs = 99
	f.view.Upstreams["e0"] = &again
	f.UpdateView(f.view)
	is.True(!f.InService(time.Second, &placed))
	is.Equal(f.loads["e0"].running, 0)
	f.End(time.Second, placed.ID, Unresponsive, "")
	is.Equal(f.loads["e0"].running, 0)
	is.True(time.Second >= f.loads["e0"].avoidUntil) // the earlier incarnation's failure does not count
}

func TestAdvancePlacesOnTimeRequestsBeforeLateOnes(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 0)
	var running []Decision
	for range 16 {
		decision := f.Submit(time.Second, f.request(time.Second, 2_000))
		is.True(decision.Lead != nil)
		running = append(running, decision)
	}
	late := f.request(time.Second, 2_000)
	is.True(f.Submit(time.Second, late).Lead == nil)
	now := time.Second + 400*time.Millisecond
	fresh := f.request(now, 2_000)
	is.True(f.Submit(now, fresh).Lead == nil)
	f.End(now, running[0].ID, Answered, "")
	decisions := f.Advance(now)
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].ID, fresh.ID)
}

func TestAdvanceRefusesQueuedRequestBeforeItsCallerDisconnects(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 0)
	for range 16 {
		f.Submit(time.Second, f.request(time.Second, 2_000))
	}
	waiting := f.request(time.Second, 2_000)
	waiting.CallerTimeoutAt = 3 * time.Second
	is.True(f.Submit(time.Second, waiting).Reason == "")
	is.Equal(len(f.Advance(2800*time.Millisecond)), 0)
	decisions := f.Advance(2950 * time.Millisecond)
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].Reason, TooLate)
	is.True(decisions[0].RetryAfter > 0)
	is.Equal(f.Waiting(), 0)
}

func TestNodeSendsOnlyItsPartOfTheColdRate(t *testing.T) {
	const nodes, rate, margin = 9, 36, 1.2
	f := newFixture(1, 0)
	f.SetNodeCount(nodes)
	sent := 0
	for now := time.Second; now < 11*time.Second; now += 5 * time.Millisecond {
		request := f.request(now, 1_000)
		decision := f.Submit(now, request)
		if decision.Lead != nil {
			sent++
			f.FirstEvent(now, decision.ID)
			f.End(now, decision.ID, Answered, "")
		} else {
			f.Cancel(request.ID)
		}
	}
	if most := 10*rate*margin/nodes + rate*margin/nodes; float64(sent) > most {
		t.Fatalf("one of %d nodes sent %d requests in 10 s, its part of the cold rate is %.0f", nodes, sent, most)
	}
	if sent < 40 {
		t.Fatalf("sent %d requests in 10 s, want at least 40", sent)
	}
}

func TestSubmitPrefersUpstreamsThatAreNotAvoided(t *testing.T) {
	is := is.New(t)
	f := newFixture(0, 2)
	first := f.Submit(time.Second, f.plainRequest(time.Second))
	f.End(time.Second, first.ID, Unresponsive, "")
	for range 20 {
		decision := f.Submit(time.Second, f.plainRequest(time.Second))
		is.True(decision.Lead.ID != first.Lead.ID)
		f.End(time.Second, decision.ID, Answered, "")
	}
	again := f.plainRequest(time.Second)
	again.IsRetry, again.Avoid = true, []string{"s0", "s1"}
	is.Equal(f.Submit(time.Second, again).Reason, NoUpstream)
}

// No named upstream means the lead. An entry with an empty ID took the blame for all failures, so that upstreams that
// could not be reached were tried again and again.
func TestEntryWithEmptyIDTakesNoBlameForOthers(t *testing.T) {
	is := is.New(t)
	f := newFixture(0, 2)
	f.view.Upstreams[""] = &fleet.Upstream{Service: "app", Zone: "z0", Slots: 6, Draining: true}
	f.UpdateView(f.view)
	decision := f.Submit(time.Second, f.plainRequest(time.Second))
	f.End(time.Second, decision.ID, Unresponsive, "")
	is.True(f.loads[decision.Lead.ID].avoidUntil > time.Second)
	is.Equal(f.loads[""].avoidUntil, time.Duration(0))
}

func TestEndAvoidsTheHelperThatFailed(t *testing.T) {
	is := is.New(t)
	f := newFixture(6, 0)
	decision := f.Submit(time.Second, f.request(time.Second, 60_000))
	failedID := decision.Helpers[0].ID
	f.End(time.Second, decision.ID, Unresponsive, failedID)
	is.True(f.loads[failedID].avoidUntil > time.Second)
	is.Equal(f.loads[decision.Lead.ID].avoidUntil, time.Duration(0))
	f.ApplyReport(2*time.Second, failedID, Report{SpeedFactor: 1}, true)
	is.Equal(f.loads[failedID].avoidUntil, time.Duration(0)) // a report ends the avoid time
}

func TestSubmitReservesLargePromptOnSeveralEngines(t *testing.T) {
	is := is.New(t)
	f := newFixture(18, 0)
	request := f.request(time.Second, 400_000)
	request.AnswerDue, request.Deadline = 4*time.Second, 16*time.Second
	decision := f.Submit(time.Second, request)
	is.True(decision.Lead != nil)
	held := 0
	for i, reservation := range decision.Reservations {
		is.True(reservation.Tokens+request.AnswerTokens <= 232_000)
		held += reservation.Tokens
		if i == 0 {
			is.Equal(reservation.Upstream.ID, decision.Lead.ID)
		}
	}
	is.True(held >= 400_000)
	is.True(len(decision.Helpers)+1 <= 16)
	f.End(time.Second, decision.ID, Answered, "")
	for _, l := range f.loads {
		is.Equal(l.memoryTokens, 0)
	}
	oversized := f.request(time.Second, 3_000_000)
	is.Equal(f.Submit(time.Second, oversized).Reason, TooLarge)
}

func TestDistributedPromptIsNotPlacedWhileEnginesAreBusy(t *testing.T) {
	is := is.New(t)
	f := newFixture(18, 0)
	for i := range 10 {
		now := time.Second + time.Duration(i)*100*time.Millisecond
		request := f.request(now, 133_000)
		request.AnswerDue = now + 2500*time.Millisecond
		if decision := f.Submit(now, request); decision.Lead != nil {
			f.FirstEvent(now, decision.ID)
			f.End(now, decision.ID, Answered, "")
		}
	}
	is.Equal(f.Submit(2*time.Second, f.request(2*time.Second, 400_000)), Decision{})
	is.Equal(len(f.Advance(2100*time.Millisecond)), 0)
	is.Equal(len(f.Advance(5*time.Second)), 1) // calm by then
}

func TestLoadUpdatesMakeNodesAgree(t *testing.T) {
	is := is.New(t)
	a, b := newFixture(3, 0), newFixture(3, 0)
	decision := a.Submit(time.Second, a.request(time.Second, 20_000))
	b.ApplyLoadUpdates(time.Second, "a", a.LoadUpdates(time.Second, false), false)
	lead := b.loads[decision.Lead.ID]
	is.Equal(lead.totalRunning(), 1)
	is.True(lead.backlogMs(time.Second) > 40)
	a.FirstEvent(time.Second, decision.ID)
	a.End(time.Second, decision.ID, Answered, "")
	b.ApplyLoadUpdates(time.Second, "a", a.LoadUpdates(time.Second, false), false)
	is.Equal(lead.totalRunning(), 0)
	is.Equal(lead.otherNodes, Totals{})
	// RemoveNode removes a node's totals even if the end of its request was never received.
	a.Submit(time.Second, a.request(time.Second, 20_000))
	b.ApplyLoadUpdates(time.Second, "a", a.LoadUpdates(time.Second, false), false)
	b.RemoveNode("a")
	for _, l := range b.loads {
		is.Equal(l.otherNodes, Totals{})
	}
	// A full set of totals also corrects those whose updates were lost.
	b.ApplyLoadUpdates(time.Second, "a", []LoadUpdate{{Hash: Hash("e1"), Totals: Totals{Running: 2}}}, true)
	b.ApplyLoadUpdates(time.Second, "a", []LoadUpdate{{Hash: Hash("e2"), Totals: Totals{Running: 1}}}, true)
	is.Equal(b.loads["e1"].totalRunning(), 0)
	is.Equal(b.loads["e2"].totalRunning(), 1)
}

func TestUnattributedRequestsTakeSlotsUntilTheReportExpires(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 0)
	f.ApplyReport(time.Second, "e0", Report{SpeedFactor: 1, Active: 16}, true)
	is.True(f.Submit(time.Second, f.request(time.Second, 1_000)).Lead == nil)
	now := time.Second + unattributedTTL + time.Millisecond
	is.Equal(len(f.Advance(now)), 1) // the count is valid for unattributedTTL only
}
