package scheduling

import (
	"testing"
	"time"

	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/tables"
)

// trainEstimator runs requests whose first token takes 10 ms per thousand prompt
// tokens and whose 100 answer tokens take 1 s.
func (f *fixture) trainEstimator() {
	for i := range 10 {
		request := f.request(0, 1000+i*1000)
		f.is.Equal(f.submit(request).Kind, Placed)
		first := time.Duration(1+i) * 10 * time.Millisecond
		f.FirstToken(f.now.Add(first), request.ID)
		f.now = f.now.Add(first + time.Second)
		f.finish(request.ID, Outcome{PromptTokens: request.PromptTokens, AnswerTokens: 100})
	}
}

// fillSlots occupies all slots and returns the request IDs.
func (f *fixture) fillSlots() []string {
	var ids []string
	for {
		request := f.request(0, 1000)
		request.Deadline = f.now.Add(time.Hour)
		if f.submit(request).Kind != Placed {
			f.Cancel(f.now, request.ID)
			return ids
		}
		ids = append(ids, request.ID)
	}
}

func TestSubmitRefusesInfeasibleDeadlineImmediately(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	infeasible := f.request(0, 1000)
	infeasible.Deadline = f.now.Add(500 * time.Millisecond)
	f.is.Equal(f.submit(infeasible).Kind, Placed) // no estimate is known yet
	f.finish(infeasible.ID, Outcome{Abandoned: true})
	f.trainEstimator()
	infeasible = f.request(0, 1000)
	infeasible.Deadline = f.now.Add(500 * time.Millisecond)
	decision := f.submit(infeasible)
	f.is.Equal(decision.Kind, Refused)
	f.is.Equal(decision.Reason, DeadlineInfeasible)
	f.is.Equal(decision.RetryAfter, time.Duration(0)) // a repeat can't succeed either
	feasible := f.request(0, 1000)
	f.is.Equal(f.submit(feasible).Kind, Placed)
}

func TestAdvanceRefusesWhenDeadlineBecomesInfeasible(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	f.trainEstimator()
	f.fillSlots()
	request := f.request(0, 1000)
	request.Deadline = f.now.Add(5 * time.Second)
	f.is.Equal(f.submit(request).Kind, Queued)
	f.now = f.now.Add(4500 * time.Millisecond)
	decisions := f.advance()
	f.is.Equal(len(decisions), 1)
	f.is.Equal(decisions[0].Reason, DeadlineInfeasible) // refused 500 ms before the deadline, not at it
}

// Finishes one request every 100 ms.
func TestRetryAfterFollowsPoolThroughput(t *testing.T) {
	f := newFixture(t, 1, 2)
	f.document.Limits.QueueLength = 20
	f.configure()
	f.trainEstimator()
	running := f.fillSlots()
	for range 20 {
		request := f.request(0, 1000)
		f.is.Equal(f.submit(request).Kind, Queued)
	}
	for range 30 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.finish(running[0], Outcome{PromptTokens: 1000, AnswerTokens: 100})
		running = running[1:]
		for _, decision := range f.advance() {
			if decision.Kind == Placed {
				running = append(running, decision.RequestID)
			}
		}
		f.submit(f.request(0, 1000))
	}
	full := f.submit(f.request(0, 1000))
	f.is.Equal(full.Reason, QueueFull)
	f.is.True(full.RetryAfter > 80*time.Millisecond && full.RetryAfter < 130*time.Millisecond)
	late := f.request(0, 1000)
	late.Deadline = f.now.Add(2 * time.Second)
	decision := f.submit(late)
	f.is.Equal(decision.Reason == QueueFull || decision.Reason == DeadlineInfeasible, true)
	f.is.True(decision.RetryAfter > 0)
}

func TestFullQueueDisplacesLargestOrganisation(t *testing.T) {
	f := newFixture(t, 1, 2)
	f.document.Limits.QueueLength = 10
	f.configure()
	f.fillSlots()
	for range 10 {
		f.is.Equal(f.submit(f.request(0, 1000)).Kind, Queued)
	}
	f.is.Equal(f.submit(f.request(0, 1000)).Reason, QueueFull)
	f.is.Equal(f.submit(f.request(1, 1000)).Kind, Queued)
	decisions := f.advance()
	f.is.Equal(len(decisions), 1) // one request of the first organisation is displaced
	f.is.Equal(decisions[0].Reason, QueueFull)
	f.is.Equal(f.Waiting(), 10)
}

func TestQueueLimitAppliesPerLane(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.document.Limits.QueueLength = 5
	f.document.Trial.CapacityPercent = 50
	f.document.Engines[0].Slots = 16 // 8 for each lane
	f.site.Environments["test"] = configuration.Environment{ProductionDigest: "d", TrialDigest: "d"}
	f.configure()
	for lane := range f.tables.Plans {
		placed, queued := 0, 0
		for range 20 {
			request := f.request(0, 1000)
			request.Plan = f.tables.Plans[lane]
			switch f.submit(request).Kind {
			case Placed:
				placed++
			case Queued:
				queued++
			}
		}
		f.is.Equal([]int{placed, queued}, []int{8, 5})
	}
}

func TestCancelDiscardsPendingDecision(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	running := f.fillSlots()
	waiting := f.request(0, 1000)
	f.is.Equal(f.submit(waiting).Kind, Queued)
	f.finish(running[0], Outcome{})
	f.is.Equal(f.submit(f.request(0, 1000)).Kind, Queued) // this Submit places the earlier request
	f.is.True(f.Pending())
	f.Cancel(f.now, waiting.ID)
	f.checkInvariants()
	f.is.Equal(f.Running(), 7)
	for _, decision := range f.advance() {
		f.is.True(decision.RequestID != waiting.ID)
	}
	f.is.Equal(f.Running(), 8)
}

func TestQueuedRequestsArePlacedInPriorityOrder(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	running := f.fillSlots()
	batch := f.request(0, 1000)
	batch.Priority = environment.Batch
	normal := f.request(0, 1000)
	urgent := f.request(0, 1000)
	urgent.Priority = environment.Urgent
	for _, request := range []*Request{batch, normal, urgent} {
		request.Deadline = f.now.Add(time.Hour)
		f.is.Equal(f.submit(request).Kind, Queued)
	}
	for i, want := range []*Request{urgent, normal, batch} {
		f.finish(running[i], Outcome{})
		decisions := f.advance()
		f.is.Equal(decisions[0].RequestID, want.ID)
	}
}

// Keeps urgent requests of another organisation waiting at all times.
func TestBatchIsPromotedUnderConstantUrgentLoad(t *testing.T) {
	f := newFixture(t, 1, 2)
	f.configure()
	running := f.fillSlots()
	batch := f.request(1, 1000)
	batch.Priority = environment.Batch
	batch.Deadline = f.now.Add(30 * time.Second)
	f.is.Equal(f.submit(batch).Kind, Queued)
	for f.now.Before(batch.Deadline) {
		for f.Waiting() < 20 {
			urgent := f.request(0, 1000)
			urgent.Priority = environment.Urgent
			f.submit(urgent)
		}
		f.now = f.now.Add(100 * time.Millisecond)
		f.finish(running[0], Outcome{PromptTokens: 1000, AnswerTokens: 100})
		running = running[1:]
		for _, decision := range f.advance() {
			if decision.RequestID == batch.ID {
				f.is.Equal(decision.Kind, Placed)
				f.is.True(f.now.After(batch.Arrived.Add(15 * time.Second))) // not placed before its deadline is near
				return
			}
			running = append(running, decision.RequestID)
		}
	}
	t.Fatal("batch was not placed before its deadline")
}

func TestRateLimitedRefusalGivesRetryAfter(t *testing.T) {
	f := newFixture(t, 1, 2)
	f.document.Organisations[0].TokensPerSecond = 1000
	f.configure()
	f.is.Equal(f.submit(f.request(0, 9900)).Kind, Placed) // 10,000 tokens, 8,000 over the burst
	refused := f.submit(f.request(0, 100))
	f.is.Equal(refused.Reason, RateLimited)
	f.is.True(refused.RetryAfter > 7900*time.Millisecond && refused.RetryAfter < 8100*time.Millisecond)
	f.is.Equal(f.submit(f.request(1, 100)).Kind, Placed)
	f.now = f.now.Add(refused.RetryAfter + time.Millisecond)
	f.is.Equal(f.submit(f.request(0, 100)).Kind, Placed)
	f.SetOrganisationRates(f.now, map[string]float64{OrganisationKey("test", tables.Production, "o1"): 1})
	f.is.Equal(f.submit(f.request(1, 1000)).Kind, Placed)
	f.is.Equal(f.submit(f.request(1, 1000)).Reason, RateLimited)
}

func TestOrganisationsShareTokensByWeight(t *testing.T) {
	f := newFixture(t, 1, 2)
	f.document.Organisations[1].Weight = 2
	f.configure()
	running := f.fillSlots()
	prompts := [2]int{900, 7900}
	var waiting, served [2]int
	owner := map[string]int{}
	for range 400 {
		for organisation, prompt := range prompts { // both always have waiting requests
			for ; waiting[organisation] < 20; waiting[organisation]++ {
				request := f.request(organisation, prompt)
				request.Deadline = f.now.Add(time.Hour)
				owner[request.ID] = organisation
				f.is.Equal(f.submit(request).Kind, Queued)
			}
		}
		f.finish(running[0], Outcome{})
		running = running[1:]
		for _, decision := range f.advance() {
			f.is.Equal(decision.Kind, Placed)
			organisation := owner[decision.RequestID]
			waiting[organisation]--
			served[organisation] += prompts[organisation] + 100
			running = append(running, decision.RequestID)
		}
	}
	ratio := float64(served[1]) / float64(served[0])
	f.is.True(ratio > 1.8 && ratio < 2.2)
}
