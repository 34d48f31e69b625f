package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLongestPromptsDoNotMeetOnOneEngine plays more of the longest prompts than the engines read at once, so
// that most of them wait, at nodes that hear of each other 60 ms late. Without claims up to six are read by
// one engine at once, and 0.45 to 0.73 of them are in aim.
func TestLongestPromptsDoNotMeetOnOneEngine(t *testing.T) {
	const end, most = 12 * time.Second, 40 * time.Second
	for _, d := range []*dividedLoad{&longAimOfOneEngine, &shortAimOfThree} {
		l := d.prepare(45, 1)
		d.arrive(l, 1, 3, end)
		for at := time.Duration(0); at < most; at += 100 * time.Millisecond {
			l.at(at, func(now time.Duration) {
				for id, engine := range l.byID {
					reading := map[*simulatedRequest]bool{}
					for _, chunk := range append(engine.waiting[:len(engine.waiting):len(engine.waiting)], engine.reading...) {
						if chunk.ms > minLongChunkMs {
							reading[chunk.request] = true
						}
					}
					if len(reading) > 1 {
						t.Errorf("%s: %s reads %d of the longest prompts at %v", d.name, id, len(reading), now)
					}
				}
			})
		}
		l.run(most)
		served, count := 0, 0
		for _, request := range l.all {
			if request.aim == d.longAim {
				count++
				if request.done {
					served++
				}
			}
		}
		got := d.shares(l)
		t.Logf("%s: in aim: %.3f of the short, %.3f of the longest; %d of %d longest served", d.name, got[0], got[2], served, count)
		if got[0] < 0.85 || got[2] < 0.75*0.85 {
			t.Errorf("%s: too few in aim", d.name)
		}
	}
}

// claimFixture is a node of several with idle engines of a divided service, and a request for them.
func claimFixture() (*fixture, *Request) {
	l := longAimOfOneEngine.prepare(40, 1)
	f := l.nodes[0]
	request := f.request(time.Second, 220_000)
	request.AnswerDue, request.Deadline = time.Second+8*time.Second, time.Second+15*time.Second
	return f, request
}

func claimed(f *fixture) (engines []*load) {
	for _, l := range f.ordered {
		if l.helperPrompts > 0 {
			engines = append(engines, l)
		}
	}
	return engines
}

func TestClaimIsToldAndUsedWhenAllHaveHeardOfIt(t *testing.T) {
	is := is.New(t)
	f, request := claimFixture()
	now := time.Second
	is.True(f.Submit(now, request).Lead == nil)
	engines := claimed(f)
	is.Equal(len(engines), 1)
	updates := f.LoadUpdates(now, false)
	is.Equal(len(updates), 1)
	is.Equal(updates[0].Totals.HelperPrompts, 1)
	is.Equal(len(f.Advance(now+claimTime-time.Millisecond)), 0)
	decisions := f.Advance(now + claimTime)
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].Lead.ID, engines[0].entry.ID)
	is.Equal(len(claimed(f)), 0)
}

func TestClaimOfAnEngineThatAnotherNodeUsesIsGivenUp(t *testing.T) {
	is := is.New(t)
	f, request := claimFixture()
	now := time.Second
	f.Submit(now, request)
	taken := claimed(f)[0]
	f.ApplyLoadUpdates(now, "n1", []LoadUpdate{{Hash: taken.hash, Totals: Totals{Running: 1}, AddedPrefillMs: 4000}}, false)
	is.Equal(len(f.Advance(now+claimTime)), 0)
	is.Equal(taken.helperPrompts, 0)
	f.Advance(now + claimTime + 5*time.Millisecond)
	is.True(len(claimed(f)) == 1 && claimed(f)[0] != taken)
}

func TestClaimOfARequestThatWaitsNoMoreEnds(t *testing.T) {
	is := is.New(t)
	f, request := claimFixture()
	now := time.Second
	f.Submit(now, request)
	f.LoadUpdates(now, false)
	f.Cancel(request.ID)
	updates := f.LoadUpdates(now+claimTTL+time.Millisecond, false)
	is.Equal(len(claimed(f)), 0)
	is.Equal(len(updates), 1) // the others are told
	is.Equal(updates[0].Totals.HelperPrompts, 0)
}

// Equal claims of several nodes end with one of them: eight prompts of 3.3 s are read by four engines, one
// after the other, before their callers leave.
func TestOneOfSeveralClaimsIsLeft(t *testing.T) {
	is := is.New(t)
	l := longAimOfOneEngine.prepare(40, 1) // 13 nodes
	l.keepInService(4)
	for i := range 8 {
		l.submit(time.Duration(i)*time.Millisecond, 160_000, 8*time.Second)
	}
	l.run(30 * time.Second)
	for _, request := range l.all {
		is.True(request.done && request.firstEventAt < 15*time.Second)
	}
}

// A prompt that cannot be read before its caller leaves is refused at once, and takes no engine.
func TestLongestPromptThatCannotBeAnsweredIsRefused(t *testing.T) {
	is := is.New(t)
	f, request := claimFixture()
	now := time.Second
	for _, l := range f.ordered { // all engines have streams
		f.ApplyLoadUpdates(now, "n1", []LoadUpdate{{Hash: l.hash, Totals: Totals{Running: 1, MemoryTokens: 5_000}}}, false)
	}
	is.Equal(f.Submit(now, request).Reason, Reason(""))
	late := request.AnswerDue + 3*time.Second // 6 engines need 0.95 s, and the answer 1.4 s
	is.Equal(len(f.Advance(late)), 0)
	late = request.Deadline - 2500*time.Millisecond
	decisions := f.Advance(late)
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].Reason, TooLate)
}

// A prompt that cannot be in time any more gives its claim up where another claims the same engine.
func TestLateClaimGivesWay(t *testing.T) {
	is := is.New(t)
	f, request := claimFixture()
	late := request.AnswerDue
	f.Submit(late, request)
	mine := claimed(f)
	is.True(len(mine) > 0)
	f.ApplyLoadUpdates(late, "n1", []LoadUpdate{{Hash: mine[0].hash, Totals: Totals{HelperPrompts: 1}}}, false)
	is.Equal(len(f.Advance(late+claimTime)), 0)
	is.Equal(mine[0].helperPrompts, 0)
}
