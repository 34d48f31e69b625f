package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// reading makes each engine spend a share of the last time on reading, and end it now.
func (w *world) reading(now time.Duration, share float64) {
	for _, l := range w.loads {
		l.lately, l.latelyAt = share*float64(recentTime.Milliseconds()), now
	}
}

// A prompt of 300,000 tokens takes 7.7 s of engines' time, four of them in its time.
func TestAFewEnginesOfALargeFleetReadAHugePromptAtAnyLoad(t *testing.T) {
	for name, test := range map[string]struct {
		engines int
		busy    float64
		placed  bool
	}{
		"idle small fleet":           {18, 0, true},
		"busy small fleet":           {18, 0.4, false},
		"busy large fleet":           {80, 0.4, true},
		"large fleet without a rest": {80, 0.8, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(test.engines, 0)
			const now = 10 * time.Second
			w.reading(now, test.busy)
			request := w.request(now, 300_000)
			request.AnswerDue, request.Deadline = now+3*time.Second, now+15*time.Second
			decision := w.Submit(now, request)
			is.Equal(decision.Lead != nil, test.placed)
			if !test.placed {
				is.Equal(decision.Reason, Busy)
				is.True(decision.RetryAfter > 0)
				return
			}
			is.True(decision.ExpectedFirstEvent < 3*time.Second)
		})
	}
}

func TestEnginesWithoutStreamsReadHugePrompts(t *testing.T) {
	is := is.New(t)
	w := newWorld(40, 0)
	const now = 10 * time.Second
	for i := range 100 {
		is.True(w.Submit(now, w.request(now, 1000)).Lead != nil) // i
		_ = i
	}
	later := now + 2*time.Second
	quiet := map[string]bool{}
	for id, l := range w.loads {
		if l.totalRunning() <= 2 {
			quiet[id] = true
		}
	}
	request := w.request(later, 250_000)
	request.AnswerDue, request.Deadline = later+3*time.Second, later+15*time.Second
	decision := w.Submit(later, request)
	is.True(decision.Lead != nil)
	for _, helper := range decision.Helpers {
		is.True(len(quiet) < len(decision.Helpers) || quiet[helper.ID]) // helper.ID
	}
}

func TestAReaderThatWouldHoldTheOthersUpIsLeftOut(t *testing.T) {
	is := is.New(t)
	w := newWorld(18, 0)
	const now = 10 * time.Second
	for _, id := range []string{"e0", "e1", "e2"} {
		w.loads[id].addBacklog(now, 1500)
	}
	request := w.request(now, 90_000)
	request.AnswerDue = now + 2*time.Second
	decision := w.Submit(now, request)
	is.True(decision.Lead != nil)
	is.Equal(len(decision.Helpers)+1, 15)
	is.True(decision.ExpectedFirstEvent < 200*time.Millisecond)
}

// Long prompts that come at once are not all read in one pass.
func TestALongPromptWaitsForAPassThatBearsIt(t *testing.T) {
	is := is.New(t)
	w := newWorld(17, 0)
	now := 10 * time.Second
	for _, l := range w.loads {
		l.running = 1
		l.passes.end = now + 40*time.Millisecond
	}
	placed := 0
	for range 4 {
		request := w.request(now, 120_000)
		request.AnswerDue = now + 2500*time.Millisecond
		if w.Submit(now, request).Lead != nil {
			placed++
		}
	}
	is.Equal(placed, 1) // two parts of 92 ms and a pass of 44 ms are over 220 ms
	placed += len(w.Advance(now + 41*time.Millisecond))
	is.Equal(placed, 2)
	for _, l := range w.loads {
		is.True(l.pass(now).takes(l.passes.pendingMs) <= 220*time.Millisecond)
	}
}
