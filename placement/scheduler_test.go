package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// engine has the figures of the users' first sheet.
func engine() *fleet.Engine {
	return &fleet.Engine{
		Slots: 16, MemoryTokens: 232_000, StepMs: 1.02, StepMsPerStream: 0.00226, StepMsPerContextK: 0.00431,
		PrefillTokensPerMs: 206, AttentionMsPerMPairs: 0.138, MaxPrefillTokensPerStep: 2048, StepsPerPass: 43, JointStepMs: 0.075,
	}
}

type world struct {
	*Scheduler
	view fleet.View
	next int
}

func newWorld(engines, services int) *world {
	site := &fleet.Configuration{Version: 1, Services: map[string]*fleet.Service{
		"llm": {Name: "llm", ColdRatePerSecond: 36, Engine: engine()}, "app": {Name: "app"},
	}}
	view := fleet.View{Configuration: site, ZonesOutOfService: map[string]bool{}, Upstreams: map[string]*fleet.Upstream{}}
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
	return &world{Scheduler: s, view: view}
}

func (w *world) request(now time.Duration, tokens int) *Request {
	w.next++
	return &Request{
		ID: fmt.Sprintf("r%d", w.next), Service: "llm", Kind: fleet.Stream, PromptTokens: tokens, AnswerTokens: 1400,
		Arrived: now, AnswerDue: now + 300*time.Millisecond, Deadline: now + 10*time.Second,
	}
}

func (w *world) call(now time.Duration) *Request {
	request := w.request(now, 0)
	request.Service, request.Kind, request.AnswerTokens = "app", fleet.Safe, 0
	return request
}

func TestReadingTimeFollowsTheModel(t *testing.T) {
	is := is.New(t)
	// 133,000 tokens: 645.6 ms for the tokens and 1,220.5 ms for the pairs.
	is.True(readMs(engine(), 133_000) > 1866 && readMs(engine(), 133_000) < 1867)
	is.True(passMs(engine(), 0, 0) > 43.8 && passMs(engine(), 0, 0) < 43.9)
	is.Equal(parts(engine(), 5_000, 50, 17), 1)
	is.Equal(parts(engine(), 45_000, 50, 17), 8)
	is.Equal(parts(engine(), 133_000, 50, 17), 17)
}

func TestALongPromptIsReadByMany(t *testing.T) {
	is := is.New(t)
	w := newWorld(18, 0)
	request := w.request(time.Second, 133_000)
	request.AnswerDue = 3500 * time.Millisecond
	decision := w.Submit(time.Second, request)
	is.True(decision.Lead != nil)
	is.Equal(len(decision.Helpers), 16)
	seen := map[string]bool{decision.Lead.ID: true}
	for _, helper := range decision.Helpers {
		is.True(!seen[helper.ID])
		seen[helper.ID] = true
	}
}

func TestShortPromptsSpread(t *testing.T) {
	is := is.New(t)
	w := newWorld(9, 0)
	at := map[string]int{}
	for range 18 {
		decision := w.Submit(time.Second, w.request(time.Second, 5_000))
		is.True(decision.Lead != nil)
		at[decision.Lead.ID]++
	}
	for id, count := range at {
		is.True(count <= 3) // id
		_ = id
	}
}

func TestSlotsAndMemoryAreNeverExceeded(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	w := newWorld(4, 0)
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
			t.Fatalf("%s holds %d tokens in %d slots", decision.Lead.ID, memory[decision.Lead.ID], slots[decision.Lead.ID])
		}
	}
	sizes := map[string]int{}
	for range 5000 {
		now += time.Duration(random.IntN(30)) * time.Millisecond
		tokens := 1000 + random.IntN(6000)
		if random.IntN(5) == 0 {
			tokens = 20_000 + random.IntN(180_000)
		}
		request := w.request(now, tokens)
		sizes[request.ID] = tokens + 1400
		place(w.Submit(now, request), tokens+1400)
		for _, decision := range w.Advance(now) {
			place(decision, sizes[decision.ID])
		}
		for len(running) > 0 && random.IntN(3) > 0 {
			i := random.IntN(len(running))
			ended := running[i]
			running = append(running[:i], running[i+1:]...)
			memory[ended.at] -= ended.need
			slots[ended.at]--
			if random.IntN(2) == 0 {
				w.FirstEvent(now, ended.id)
			}
			w.End(now, ended.id, Outcome(random.IntN(6)), "")
		}
	}
	for _, ended := range running {
		w.End(now, ended.id, Answered, "")
	}
	for id, l := range w.loads {
		if l.running != 0 || l.memory != 0 || l.helping != 0 {
			t.Fatalf("%s keeps running %d, memory %d, helping %d", id, l.running, l.memory, l.helping)
		}
	}
}

func TestWhatIsNotReadIsTakenBack(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 0)
	decision := w.Submit(time.Second, w.request(time.Second, 100_000))
	is.True(w.loads[decision.Lead.ID].unread(time.Second) > 100)
	w.End(time.Second, decision.ID, Refused, "")
	for _, l := range w.loads {
		is.True(l.unread(time.Second) < 0.001)
	}
}

func TestAFirstEventEndsTheBacklogBeforeIt(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 0)
	first := w.Submit(time.Second, w.request(time.Second, 20_000))
	second := w.Submit(time.Second, w.request(time.Second, 5_000))
	w.FirstEvent(time.Second, first.ID)
	is.True(w.loads["e0"].unread(time.Second) < readMs(engine(), 5_000)+0.001)
	w.FirstEvent(time.Second, second.ID)
	is.True(w.loads["e0"].unread(time.Second) < 0.001)
}

func TestDrainingAndEvacuatedUpstreamsGetNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 0)
	placed := w.Submit(time.Second, w.request(time.Second, 5_000))
	is.True(w.InService(&placed))
	leaving := *w.view.Upstreams[placed.Lead.ID]
	leaving.Draining = true
	w.view.Upstreams[leaving.ID] = &leaving
	for _, zone := range []string{"z0", "z1", "z2"} {
		w.view.ZonesOutOfService[zone] = zone != leaving.Zone
	}
	w.UpdateView(w.view)
	is.True(!w.InService(&placed)) // it is looked at again before the send
	decision := w.Submit(time.Second, w.request(time.Second, 5_000))
	is.True(decision.Lead == nil)
	is.Equal(decision.Reason, NoUpstream)
	is.True(decision.RetryAfter > 0)
}

func TestAnUpstreamBornAgainBeginsAnew(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 0)
	placed := w.Submit(time.Second, w.request(time.Second, 5_000))
	again := *w.view.Upstreams["e0"]
	again.StartedMs = 99
	w.view.Upstreams["e0"] = &again
	w.UpdateView(w.view)
	is.True(!w.InService(&placed))
	is.Equal(w.loads["e0"].running, 0)
	w.End(time.Second, placed.ID, Unresponsive, "")
	is.Equal(w.loads["e0"].running, 0)
	is.True(time.Second >= w.loads["e0"].avoidUntil) // the dead one's failure is not its own
}

func TestThoseOnTimeGoFirst(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 0)
	var running []Decision
	for range 16 {
		decision := w.Submit(time.Second, w.request(time.Second, 2_000))
		is.True(decision.Lead != nil)
		running = append(running, decision)
	}
	late := w.request(time.Second, 2_000)
	is.True(w.Submit(time.Second, late).Lead == nil)
	now := time.Second + 400*time.Millisecond
	fresh := w.request(now, 2_000)
	is.True(w.Submit(now, fresh).Lead == nil)
	w.End(now, running[0].ID, Answered, "")
	decisions := w.Advance(now)
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].ID, fresh.ID)
}

func TestAWaitingRequestIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 0)
	for range 16 {
		w.Submit(time.Second, w.request(time.Second, 2_000))
	}
	waiting := w.request(time.Second, 2_000)
	waiting.CallerTimeoutAt = 3 * time.Second
	is.True(w.Submit(time.Second, waiting).Reason == "")
	is.Equal(len(w.Advance(2800*time.Millisecond)), 0)
	decisions := w.Advance(2950 * time.Millisecond)
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].Reason, TooLate)
	is.True(decisions[0].RetryAfter > 0)
	is.Equal(w.Waiting(), 0)
}

func TestAColdUpstreamsRateIsSharedByAllNodes(t *testing.T) {
	const nodes, rate, margin = 9, 36, 1.2
	w := newWorld(1, 0)
	w.SetNodeCount(nodes)
	sent := 0
	for now := time.Second; now < 11*time.Second; now += 5 * time.Millisecond {
		decision := w.Submit(now, w.request(now, 1_000))
		if decision.Lead != nil {
			sent++
			w.FirstEvent(now, decision.ID)
			w.End(now, decision.ID, Answered, "")
		} else {
			w.Cancel(decision.ID)
			w.queue = nil
		}
	}
	if most := 10*rate*margin/nodes + rate*margin/nodes; float64(sent) > most {
		t.Fatalf("one of %d nodes sent %d requests in 10 s, its part is %.0f", nodes, sent, most)
	}
	if sent < 40 {
		t.Fatalf("only %d requests were sent", sent)
	}
}

func TestAvoidedUpstreamsAreTheLastResort(t *testing.T) {
	is := is.New(t)
	w := newWorld(0, 2)
	first := w.Submit(time.Second, w.call(time.Second))
	w.End(time.Second, first.ID, Unresponsive, "")
	for range 20 {
		decision := w.Submit(time.Second, w.call(time.Second))
		is.True(decision.Lead.ID != first.Lead.ID)
		w.End(time.Second, decision.ID, Answered, "")
	}
	again := w.call(time.Second)
	again.IsRetry, again.Avoid = true, []string{"s0", "s1"}
	is.Equal(w.Submit(time.Second, again).Reason, NoUpstream)
}

func TestTheGuiltyUpstreamIsAvoided(t *testing.T) {
	is := is.New(t)
	w := newWorld(6, 0)
	decision := w.Submit(time.Second, w.request(time.Second, 60_000))
	guilty := decision.Helpers[0].ID
	w.End(time.Second, decision.ID, Unresponsive, guilty)
	is.True(w.loads[guilty].avoidUntil > time.Second)
	is.Equal(w.loads[decision.Lead.ID].avoidUntil, time.Duration(0))
	w.ApplyReport(2*time.Second, guilty, Report{SpeedFactor: 1}, true)
	is.Equal(w.loads[guilty].avoidUntil, time.Duration(0)) // it answers again
}

func TestAPromptOverOneEnginesMemoryIsHeldBySeveral(t *testing.T) {
	is := is.New(t)
	w := newWorld(18, 0)
	request := w.request(time.Second, 400_000)
	request.AnswerDue, request.Deadline = 4*time.Second, 16*time.Second
	decision := w.Submit(time.Second, request)
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
	w.End(time.Second, decision.ID, Answered, "")
	for _, l := range w.loads {
		is.Equal(l.memory, 0)
	}
	huge := w.request(time.Second, 3_000_000)
	is.Equal(w.Submit(time.Second, huge).Reason, TooLarge)
}

func TestAHugePromptIsRefusedWhileEnginesReadMuch(t *testing.T) {
	is := is.New(t)
	w := newWorld(18, 0)
	for i := range 10 {
		now := time.Second + time.Duration(i)*100*time.Millisecond
		request := w.request(now, 133_000)
		request.AnswerDue = now + 2500*time.Millisecond
		if decision := w.Submit(now, request); decision.Lead != nil {
			w.FirstEvent(now, decision.ID)
			w.End(now, decision.ID, Answered, "")
		}
	}
	decision := w.Submit(2*time.Second, w.request(2*time.Second, 400_000))
	is.Equal(decision.Reason, Busy)
	is.True(decision.RetryAfter > 0)
}

func TestSharesMakeNodesAgree(t *testing.T) {
	is := is.New(t)
	a, b := newWorld(3, 0), newWorld(3, 0)
	decision := a.Submit(time.Second, a.request(time.Second, 20_000))
	b.ApplyLoadUpdates(time.Second, "a", a.LoadUpdates(time.Second, false), false)
	lead := b.loads[decision.Lead.ID]
	is.Equal(lead.totalRunning(), 1)
	is.True(lead.unread(time.Second) > 40)
	a.FirstEvent(time.Second, decision.ID)
	a.End(time.Second, decision.ID, Answered, "")
	b.ApplyLoadUpdates(time.Second, "a", a.LoadUpdates(time.Second, false), false)
	is.Equal(lead.totalRunning(), 0)
	is.Equal(lead.sums, Totals{})
	// What a node that is gone had told is forgotten, also when its end was lost.
	a.Submit(time.Second, a.request(time.Second, 20_000))
	b.ApplyLoadUpdates(time.Second, "a", a.LoadUpdates(time.Second, false), false)
	b.RemoveNode("a")
	for _, l := range b.loads {
		is.Equal(l.sums, Totals{})
	}
	// All totals at once also correct those that were lost.
	b.ApplyLoadUpdates(time.Second, "a", []LoadUpdate{{Hash: Hash("e1"), Totals: Totals{Running: 2}}}, true)
	b.ApplyLoadUpdates(time.Second, "a", []LoadUpdate{{Hash: Hash("e2"), Totals: Totals{Running: 1}}}, true)
	is.Equal(b.loads["e1"].totalRunning(), 0)
	is.Equal(b.loads["e2"].totalRunning(), 1)
}

func TestRequestsNobodyKnowsTakeSlots(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 0)
	w.ApplyReport(time.Second, "e0", Report{SpeedFactor: 1, Active: 16}, true)
	is.True(w.Submit(time.Second, w.request(time.Second, 1_000)).Lead == nil)
	now := time.Second + unknownLife + time.Millisecond
	is.Equal(len(w.Advance(now)), 1) // a report is believed for a while only
}
