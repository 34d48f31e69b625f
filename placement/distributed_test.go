package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// setPrefillLoad sets the share of recent time that each engine spent on prefill until now.
func (f *fixture) setPrefillLoad(now time.Duration, share float64) {
	for _, l := range f.loads {
		l.recentMs, l.recentAt = share*float64(recentPrefillTime.Milliseconds()), now
	}
}

// A prompt of 300,000 tokens takes 7.7 s of engine time; four engines finish it by its due time.
func TestSubmitPlacesDistributedPromptOnBusyFleetOnlyWhereItTakesAFewEngines(t *testing.T) {
	for name, test := range map[string]struct {
		engines int
		busy    float64
		placed  bool
	}{
		"idle small fleet":       {18, 0, true},
		"busy small fleet":       {18, 0.4, false},
		"busy large fleet":       {80, 0.4, true},
		"overloaded large fleet": {80, 0.8, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(test.engines, 0)
			const now = 10 * time.Second
			f.setPrefillLoad(now, test.busy)
			request := f.request(now, 300_000)
			request.AnswerDue, request.Deadline = now+3*time.Second, now+15*time.Second
			decision := f.Submit(now, request)
			is.Equal(decision.Lead != nil, test.placed)
			if test.placed {
				is.True(decision.ExpectedFirstEvent < 3*time.Second)
				return
			}
			is.Equal(decision.Reason, Reason(""))
			at := now
			for decision.ID == "" && at < request.Deadline {
				at += 100 * time.Millisecond
				f.setPrefillLoad(at, test.busy)
				for _, decided := range f.Advance(at) {
					decision = decided
				}
			}
			is.Equal(decision.Reason, Busy)
			is.True(decision.RetryAfter > 0)
			is.True(at < request.Deadline)
		})
	}
}

func TestLateDistributedPromptIsPlacedOnceEnginesAreCalm(t *testing.T) {
	is := is.New(t)
	f := newFixture(18, 0)
	const now = 10 * time.Second
	f.setPrefillLoad(now, 0.4)
	request := f.request(now, 300_000)
	request.AnswerDue, request.Deadline = now+3*time.Second, now+15*time.Second
	is.Equal(f.Submit(now, request), Decision{})
	is.Equal(len(f.Advance(now+100*time.Millisecond)), 0)
	f.setPrefillLoad(now+time.Second, 0.12)
	decisions := f.Advance(now + time.Second)
	is.Equal(len(decisions), 1)
	is.True(decisions[0].Lead != nil)
	is.Equal(len(decisions[0].Helpers)+1, len(decisions[0].Reservations)) // no more than hold it
}

func TestDistributedPromptTakesFewerHoldersWhereFewHaveRoom(t *testing.T) {
	is := is.New(t)
	f := newFixture(18, 0)
	const now = 10 * time.Second
	for i, l := range f.ordered {
		if i >= 2 {
			l.setNodeTotals("other", Totals{Running: 1, MemoryTokens: 200_000})
		}
	}
	request := f.request(now, 300_000)
	request.AnswerDue, request.Deadline = now+3*time.Second, now+15*time.Second
	decision := f.Submit(now, request)
	is.True(decision.Lead != nil)
	is.Equal(len(decision.Reservations), 2)
}

func TestRefusedMemoryIsNotReservedAgainUntilOthersAreHeard(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 0)
	now := 10 * time.Second
	request := f.request(now, 300_000)
	request.AnswerDue, request.Deadline = now+3*time.Second, now+15*time.Second
	f.RecordMemoryRefusal(now, "e0", 50_000)
	reserves := func(decision Decision) (ids []string) {
		for _, reservation := range decision.Reservations {
			ids = append(ids, reservation.Upstream.ID)
		}
		return ids
	}
	decision := f.Submit(now, request)
	is.Equal(len(decision.Reservations), 2)
	is.True(!slices.Contains(reserves(decision), "e0"))
	f.End(now, request.ID, Neutral, "")
	now += memoryRefusalTTL
	request.ID = "again"
	is.Equal(len(f.Submit(now, request).Reservations), 3)
}

func TestDistributedPromptPrefersEnginesWithFewStreams(t *testing.T) {
	is := is.New(t)
	f := newFixture(40, 0)
	const now = 10 * time.Second
	for i := range 100 {
		is.True(f.Submit(now, f.request(now, 1000)).Lead != nil) // i
		_ = i
	}
	later := now + 2*time.Second
	fewStreams := map[string]bool{}
	for id, l := range f.loads {
		if l.totalRunning() <= 2 {
			fewStreams[id] = true
		}
	}
	request := f.request(later, 250_000)
	request.AnswerDue, request.Deadline = later+3*time.Second, later+15*time.Second
	decision := f.Submit(later, request)
	is.True(decision.Lead != nil)
	for _, helper := range decision.Helpers {
		is.True(len(fewStreams) < len(decision.Helpers) || fewStreams[helper.ID]) // helper.ID
	}
}

func TestLongPromptSkipsEnginesWithALongBacklog(t *testing.T) {
	is := is.New(t)
	f := newFixture(18, 0)
	const now = 10 * time.Second
	for _, id := range []string{"e0", "e1", "e2"} {
		f.loads[id].addBacklog(now, 1500)
	}
	request := f.request(now, 90_000)
	request.AnswerDue = now + 2*time.Second
	decision := f.Submit(now, request)
	is.True(decision.Lead != nil)
	is.Equal(len(decision.Helpers)+1, 15)
	is.True(decision.ExpectedFirstEvent < 200*time.Millisecond)
}

// Long prompts that arrive together must not all be prefilled in one pass, which would
// exceed the pass limit of 220 ms.
func TestLongPromptWaitsForAPassWithRoom(t *testing.T) {
	is := is.New(t)
	f := newFixture(17, 0)
	now := 10 * time.Second
	for _, l := range f.loads {
		l.running = 1
		l.passes.passEnd = now + 40*time.Millisecond
	}
	placed := 0
	for range 4 {
		request := f.request(now, 120_000)
		request.AnswerDue = now + 2500*time.Millisecond
		if f.Submit(now, request).Lead != nil {
			placed++
		}
	}
	is.Equal(placed, 1) // two chunks of 92 ms and a pass of 44 ms exceed 220 ms
	placed += len(f.Advance(now + 41*time.Millisecond))
	is.Equal(placed, 2)
	for _, l := range f.loads {
		is.True(l.nextPass(now).duration(l.passes.pendingMs) <= 220*time.Millisecond)
	}
}
