package scheduling

import (
	"testing"
	"time"
)

// reportFirstEngine applies a load report of the first engine.
func (f *fixture) reportFirstEngine(change func(*Report)) {
	f.now = f.now.Add(time.Second)
	report := Report{UpstreamID: firstEngineID, At: f.now, Incarnation: 1}
	change(&report)
	f.Observe(f.now, report)
	f.checkInvariants()
}

func setDraining(r *Report) { r.Draining = true }

func keepDefaults(*Report) {}

const firstEngineID = "test/production/e0"

func TestDrainingUpstreamGetsNoNewRequests(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	sent := f.submit(f.request(0, 100))
	f.is.Equal(sent.Kind, Placed)
	f.is.True(f.InService(sent.RequestID))
	f.reportFirstEngine(setDraining)
	f.is.True(!f.InService(sent.RequestID)) // checked again before it is sent
	f.is.Equal(f.submit(f.request(0, 100)).Kind, Refused)
	f.configure()
	f.is.Equal(f.submit(f.request(0, 100)).Kind, Refused) // also after new tables
	f.finish(sent.RequestID, Outcome{})
	f.reportFirstEngine(keepDefaults)
	f.is.Equal(f.submit(f.request(0, 100)).Kind, Placed)
	f.is.Equal(f.submit(f.request(0, 100)).Kind, Queued) // it returns on a ramp
}

func TestWaitingRequestsAreRefusedWhenLastUpstreamDrains(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.document.Engines[0].Slots = 1
	f.configure()
	first := f.submit(f.request(0, 100))
	queued := f.submit(f.request(0, 100))
	f.is.Equal(queued.Kind, Queued)
	f.reportFirstEngine(setDraining)
	f.finish(first.RequestID, Outcome{})
	decisions := f.advance()
	f.is.Equal(len(decisions), 1)
	f.is.Equal(decisions[0].Kind, Refused)
}

func TestRestartedUpstreamStartsOnRamp(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	f.reportFirstEngine(keepDefaults)
	f.is.Equal(f.submit(f.request(0, 100)).Kind, Placed)
	f.is.Equal(f.submit(f.request(0, 100)).Kind, Placed)
	f.reportFirstEngine(func(r *Report) { r.Incarnation = 2 })
	f.is.Equal(f.submit(f.request(0, 100)).Kind, Queued)
}

func TestEngineGetsNoRequestsForModelNotLoaded(t *testing.T) {
	f := newFixture(t, 2, 1)
	f.configure()
	f.reportFirstEngine(func(r *Report) { r.Models = []string{"another"} })
	for range 8 {
		f.is.Equal(f.submit(f.request(0, 100)).Upstream.Name, "e1")
	}
	f.is.Equal(f.submit(f.request(0, 100)).Kind, Queued) // not placed on e0
	f.reportFirstEngine(func(r *Report) { r.Models = []string{"m"} })
	f.is.Equal(len(f.advance()), 1)
}

func TestDrainingEngineIsExcludedFromGroups(t *testing.T) {
	f := newFixture(t, 4, 1)
	f.configure()
	f.reportFirstEngine(setDraining)
	decision := f.submit(f.request(0, 850_000))
	f.is.Equal(decision.Kind, Placed)
	f.is.Equal(len(decision.Group), 3)
	for _, upstream := range decision.Group {
		f.is.True(upstream.ID != firstEngineID)
	}
	f = newFixture(t, 3, 1)
	f.configure()
	f.reportFirstEngine(setDraining)
	f.is.Equal(f.submit(f.request(0, 850_000)).Reason, NoUpstream) // two engines can't hold it
}
