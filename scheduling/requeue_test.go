package scheduling

import (
	"testing"
	"time"
)

// TestFullUpstreamIsNotAFailure has an upstream refuse far more often than a
// breaker or a retry budget bears.
func TestFullUpstreamIsNotAFailure(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	for range 20 {
		request := f.request(0, 1000)
		f.is.Equal(f.submit(request).Kind, Placed)
		f.finish(request.ID, Outcome{Refused: true})
		_, again := f.Requeue(f.now, request)
		f.is.True(again)
		waits := f.request(0, 1000)
		f.is.Equal(f.submit(waits).Kind, Queued) // the upstream is left alone for a moment
		f.Cancel(f.now, waits.ID)
		f.now = f.now.Add(time.Second)
	}
	f.is.Equal(len(f.LimitedUpstreams(f.now)), 0)
	for range 3 {
		f.is.True(f.MayRetry(f.now, f.request(0, 1000)))
	}
}

// TestRefusedAttemptsAreBounded counts the attempts of one request at an
// upstream that stays full.
func TestRefusedAttemptsAreBounded(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.document.Organisations[0].TokensPerSecond = 1100
	f.configure()
	request := f.request(0, 1000)
	attempts := 0
	for again := true; again; {
		attempts++
		for decision := f.submit(request); decision.Kind != Placed; {
			f.is.Equal(decision.Kind, Queued) // neither a rate nor a budget ends it
			f.now = f.now.Add(10 * time.Millisecond)
			if decided := f.advance(); len(decided) > 0 {
				decision = decided[0]
			}
		}
		f.finish(request.ID, Outcome{Refused: true})
		var pause time.Duration
		pause, again = f.Requeue(f.now, request)
		f.is.True(!again || f.now.Add(pause).Before(request.Deadline))
		f.now = f.now.Add(pause)
	}
	f.is.True(attempts > 30)  // it is tried until near its deadline
	f.is.True(attempts < 130) // at most two a second, and some in the beginning
	f.is.True(request.Deadline.Sub(f.now) < time.Second)
}

// TestRefusalCorrectsThePicture has a report that is older than the load.
func TestRefusalCorrectsThePicture(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	f.Observe(f.now, Report{UpstreamID: "test/production/e0", At: f.now})
	large := f.request(0, 200_000)
	f.is.Equal(f.submit(large).Kind, Placed)
	f.finish(large.ID, Outcome{Refused: true})
	f.is.Equal(f.submit(f.request(0, 1000)).Kind, Placed) // smaller work may fit
	f.now = f.now.Add(200 * time.Millisecond)
	again := f.request(0, 200_000)
	f.is.Equal(f.submit(again).Kind, Queued) // no report since
	f.Observe(f.now, Report{UpstreamID: "test/production/e0", Running: 1, KVTokens: 1100, At: f.now})
	f.is.Equal(len(f.advance()), 1)
}
