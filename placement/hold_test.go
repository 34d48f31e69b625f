package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// withEntry replaces the entry of e0 in the view.
func (f *fixture) withEntry(change func(entry *fleet.Upstream)) {
	const id = "e0"
	entry := *f.view.Upstreams[id]
	change(&entry)
	upstreams := map[string]*fleet.Upstream{}
	for known, other := range f.view.Upstreams {
		upstreams[known] = other
	}
	upstreams[id] = &entry
	f.view.Upstreams = upstreams
	f.UpdateView(f.view)
}

func TestLeavingUpstreamGetsNothingUntilItStartsAnew(t *testing.T) {
	is := is.New(t)
	now := time.Second
	f := newFixture(1, 0)
	f.withEntry(func(entry *fleet.Upstream) { entry.StartedMs, entry.SeenAt = 100, time.Millisecond })
	placed := f.Submit(now, f.request(now, 5_000))
	is.Equal(placed.Lead.ID, "e0")
	f.MarkLeaving(now, "e0", 100)
	is.True(!f.InService(now, &placed)) // a placed request is not sent any more
	is.Equal(f.Submit(now, f.request(now, 5_000)).Reason, NoUpstream)
	// The store may be restored with an older entry, and then with the same again.
	for _, started := range []int64{50, 100} {
		f.withEntry(func(entry *fleet.Upstream) { entry.StartedMs = started })
		is.Equal(f.Submit(now, f.request(now, 5_000)).Reason, NoUpstream)
	}
	f.withEntry(func(entry *fleet.Upstream) { entry.StartedMs, entry.SeenAt = 200, now })
	later := now + time.Second // a permit for an upstream that has just started takes some ms
	is.Equal(f.Submit(later, f.request(later, 5_000)).Lead.ID, "e0")
}

func TestLeavingUpstreamIsNoHelperAndHoldsNoMemory(t *testing.T) {
	is := is.New(t)
	now := time.Second
	f := newFixture(6, 0)
	f.MarkLeaving(now, "e3", 0)
	for _, tokens := range []int{5_000, 60_000, 300_000} {
		for range 10 {
			request := f.request(now, tokens)
			request.AnswerDue = now + 3*time.Second
			decision := f.Submit(now, request)
			if decision.Lead == nil {
				continue
			}
			is.True(decision.Lead.ID != "e3")
			for _, helper := range decision.Helpers {
				is.True(helper.ID != "e3")
			}
			f.End(now, request.ID, Answered, "")
		}
	}
}

func TestPausedUpstreamGetsNothingAtOnceAndUntilItsTime(t *testing.T) {
	is := is.New(t)
	now := time.Second
	f := newFixture(0, 2)
	f.Pause(now, "s0", 0, 3*time.Second)
	for range 6 {
		is.Equal(f.Submit(now, f.plainRequest(now)).Lead.ID, "s1")
	}
	f.Pause(now, "s1", 0, 1500*time.Millisecond)
	decision := f.Submit(now, f.plainRequest(now))
	is.Equal(decision.Reason, NoUpstream) // refused at once, with the earliest time
	is.Equal(decision.RetryAfter, 1500*time.Millisecond)
	is.Equal(f.Submit(now+1600*time.Millisecond, f.plainRequest(now+1600*time.Millisecond)).Lead.ID, "s1")
	is.True(f.Submit(now+3100*time.Millisecond, f.plainRequest(now+3100*time.Millisecond)).Lead != nil)
}

func TestPauseIsNotForever(t *testing.T) {
	is := is.New(t)
	f := newFixture(0, 1)
	f.Pause(time.Second, "s0", 0, 1_000_000*time.Second)
	later := time.Second + maxPause + time.Millisecond
	is.Equal(f.Submit(later, f.plainRequest(later)).Lead.ID, "s0")
}

func TestOtherNodesTryAPausedOrLeavingUpstreamLast(t *testing.T) {
	is := is.New(t)
	now := time.Second
	for name, ask := range map[string]func(f *fixture){
		"leaving": func(f *fixture) { f.MarkLeaving(now, "s0", 0) },
		"paused":  func(f *fixture) { f.Pause(now, "s0", 0, 3*time.Second) },
	} {
		t.Run(name, func(*testing.T) {
			asked, other := newFixture(0, 2), newFixture(0, 2)
			ask(asked)
			other.ApplyLoadUpdates(now, "n", asked.LoadUpdates(now, false), false)
			is.Equal(other.Submit(now, other.plainRequest(now)).Lead.ID, "s1")
		})
	}
}
