package scheduling

import (
	"testing"
	"time"
)

// report lets the first engine tell of itself.
func (f *fixture) report(change func(*Report)) {
	f.now = f.now.Add(time.Second)
	report := Report{UpstreamID: engineID, At: f.now, Incarnation: 1}
	change(&report)
	f.Observe(f.now, report)
	f.check()
}

func leaves(r *Report) { r.Draining = true }

func idle(*Report) {}

const engineID = "test/production/e0"

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	sent := f.submit(f.request(0, 100))
	f.is.Equal(sent.Kind, Placed)
	f.is.True(f.InService(sent.RequestID))
	f.report(leaves)
	f.is.True(!f.InService(sent.RequestID)) // asked again before it is sent
	f.is.Equal(f.submit(f.request(0, 100)).Kind, Refused)
	f.configure()
	f.is.Equal(f.submit(f.request(0, 100)).Kind, Refused) // also under new tables
	f.finish(sent.RequestID, Outcome{})
	f.report(idle)
	f.is.Equal(f.submit(f.request(0, 100)).Kind, Placed)
	f.is.Equal(f.submit(f.request(0, 100)).Kind, Queued) // it returns on a ramp
}

func TestWaitingRequestsAreRefusedWhenTheLastUpstreamLeaves(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.document.Engines[0].Slots = 1
	f.configure()
	first := f.submit(f.request(0, 100))
	waits := f.submit(f.request(0, 100))
	f.is.Equal(waits.Kind, Queued)
	f.report(leaves)
	f.finish(first.RequestID, Outcome{})
	decisions := f.advance()
	f.is.Equal(len(decisions), 1)
	f.is.Equal(decisions[0].Kind, Refused)
}

func TestRestartedUpstreamIsRamped(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	f.report(idle)
	f.is.Equal(f.submit(f.request(0, 100)).Kind, Placed)
	f.is.Equal(f.submit(f.request(0, 100)).Kind, Placed)
	f.report(func(r *Report) { r.Incarnation = 2 })
	f.is.Equal(f.submit(f.request(0, 100)).Kind, Queued)
}

func TestEngineGetsNoTrafficForAModelThatItHasNotLoaded(t *testing.T) {
	f := newFixture(t, 2, 1)
	f.configure()
	f.report(func(r *Report) { r.Models = []string{"another"} })
	for range 8 {
		f.is.Equal(f.submit(f.request(0, 100)).Upstream.Name, "e1")
	}
	f.is.Equal(f.submit(f.request(0, 100)).Kind, Queued) // rather than at e0
	f.report(func(r *Report) { r.Models = []string{"m"} })
	f.is.Equal(len(f.advance()), 1)
}

func TestLeavingEngineIsInNoGroup(t *testing.T) {
	f := newFixture(t, 4, 1)
	f.configure()
	f.report(leaves)
	decision := f.submit(f.request(0, 850_000))
	f.is.Equal(decision.Kind, Placed)
	f.is.Equal(len(decision.Group), 3)
	for _, upstream := range decision.Group {
		f.is.True(upstream.ID != engineID)
	}
	f = newFixture(t, 3, 1)
	f.configure()
	f.report(leaves)
	f.is.Equal(f.submit(f.request(0, 850_000)).Reason, NoUpstream) // two can't hold it
}
