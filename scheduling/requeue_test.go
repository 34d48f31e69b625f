package scheduling

import (
	"testing"
	"time"
)

// The upstream refuses far more often than the breaker or the retry budget would
// allow failures.
func TestRefusalsByFullUpstreamAreNotFailures(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	for range 20 {
		request := f.request(0, 1000)
		f.is.Equal(f.submit(request).Kind, Placed)
		f.finish(request.ID, Outcome{Refused: true})
		_, retry := f.Requeue(f.now, request)
		f.is.True(retry)
		queued := f.request(0, 1000)
		f.is.Equal(f.submit(queued).Kind, Queued) // backoff after the refusal
		f.Cancel(f.now, queued.ID)
		f.now = f.now.Add(time.Second)
	}
	f.is.Equal(len(f.LimitedUpstreams(f.now)), 0)
	for range 3 {
		f.is.True(f.MayRetry(f.now, f.request(0, 1000)))
	}
}

// Counts the attempts of one request at an upstream that stays full.
func TestRequeueBoundsAttemptsUntilDeadline(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.document.Organisations[0].TokensPerSecond = 1100
	f.configure()
	request := f.request(0, 1000)
	attempts := 0
	for retry := true; retry; {
		attempts++
		for decision := f.submit(request); decision.Kind != Placed; {
			f.is.Equal(decision.Kind, Queued) // neither the rate limit nor a budget refuses it
			f.now = f.now.Add(10 * time.Millisecond)
			if decided := f.advance(); len(decided) > 0 {
				decision = decided[0]
			}
		}
		f.finish(request.ID, Outcome{Refused: true})
		var pause time.Duration
		pause, retry = f.Requeue(f.now, request)
		f.is.True(!retry || f.now.Add(pause).Before(request.Deadline))
		f.now = f.now.Add(pause)
	}
	f.is.True(attempts > 30)  // retried until close to the deadline
	f.is.True(attempts < 130) // at most two per second, and a few more at the start
	f.is.True(request.Deadline.Sub(f.now) < time.Second)
}

// The upstream's report is older than its load.
func TestRefusalOverridesStaleReport(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.configure()
	f.Observe(f.now, Report{UpstreamID: "test/production/e0", At: f.now})
	large := f.request(0, 200_000)
	f.is.Equal(f.submit(large).Kind, Placed)
	f.finish(large.ID, Outcome{Refused: true})
	f.is.Equal(f.submit(f.request(0, 1000)).Kind, Placed) // a smaller request may fit
	f.now = f.now.Add(200 * time.Millisecond)
	second := f.request(0, 200_000)
	f.is.Equal(f.submit(second).Kind, Queued) // no report since the refusal
	f.Observe(f.now, Report{UpstreamID: "test/production/e0", Running: 1, KVTokens: 1100, At: f.now})
	f.is.Equal(len(f.advance()), 1)
}
