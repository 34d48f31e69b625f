package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// lastUpstreamFixture has one plain upstream, s0, which has drained since the given time.
func lastUpstreamFixture(plain int, drainingSince time.Duration) *fixture {
	f := newFixture(0, plain)
	f.config.DrainTime = 3 * time.Second
	f.drain("s0", drainingSince)
	return f
}

func (f *fixture) drain(id string, since time.Duration) {
	upstreams := map[string]*fleet.Upstream{}
	for known, entry := range f.view.Upstreams {
		upstreams[known] = entry
	}
	entry := *upstreams[id]
	entry.Draining, entry.DrainingSince = true, since
	upstreams[id] = &entry
	f.view.Upstreams = upstreams
	f.UpdateView(f.view)
}

func TestLastUpstreamIsUsedWhileItDrains(t *testing.T) {
	is := is.New(t)
	since := 10 * time.Second
	f := lastUpstreamFixture(1, since)
	placed := f.Submit(since, f.plainRequest(since))
	is.Equal(placed.Lead.ID, "s0")
	is.True(f.InService(since, &placed))
	end := since + 3*time.Second - drainMargin
	is.True(f.InService(end-time.Millisecond, &placed))
	is.True(!f.InService(end, &placed)) // checked again just before the send
	// Nothing is placed that the upstream may not end.
	is.Equal(f.Submit(end-minExecutionTime, f.plainRequest(since)).Lead.ID, "s0")
	is.Equal(f.Submit(end-minExecutionTime+1, f.plainRequest(since)).Reason, NoUpstream)
}

func TestDrainingUpstreamIsNotUsedBesideOthers(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	f := lastUpstreamFixture(2, now)
	for range 40 {
		if decision := f.Submit(now, f.plainRequest(now)); decision.Lead != nil {
			is.Equal(decision.Lead.ID, "s1")
		}
	}
	// A request that was placed while the upstream was ready is not sent: another takes it.
	f = newFixture(0, 1)
	f.config.DrainTime = 3 * time.Second
	placed := f.Submit(now, f.plainRequest(now))
	f.drain("s0", now)
	is.True(!f.InService(now, &placed))
}

func TestDrainingUpstreamIsNotUsedWithoutAKnownBound(t *testing.T) {
	now := time.Second
	for name, change := range map[string]func(f *fixture){
		"no drain time":                   func(f *fixture) { f.config.DrainTime = 0 },
		"report of unknown age":           func(f *fixture) { f.drain("s0", 0) },
		"it said that it leaves":          func(f *fixture) { f.MarkLeaving(now, "s0", 0) },
		"its zone is out":                 func(f *fixture) { f.view.ZonesOutOfService["z0"] = true },
		"it failed a request":             func(f *fixture) { f.loads["s0"].avoid(now) },
		"a shorter time than drainMargin": func(f *fixture) { f.config.DrainTime = drainMargin },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := lastUpstreamFixture(1, now)
			change(f)
			is.Equal(f.Submit(now, f.plainRequest(now)).Reason, NoUpstream)
		})
	}
}

func TestLongAnswerIsNotBegunAtDrainingEngine(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	f := newFixture(1, 0)
	f.config.DrainTime = 3 * time.Second
	f.drain("e0", now)
	// 1,400 tokens take 33 passes of 44 ms, and 60,000 tokens of a prompt 0.54 s.
	is.Equal(f.Submit(now, f.request(now, 5_000)).Lead.ID, "e0")
	is.Equal(f.Submit(now+900*time.Millisecond, f.request(now, 60_000)).Reason, NoUpstream)
}
