package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// TestRetryIsPendingWhileAnyAttemptMayBeTheArrivalBeyondTheFirst guards against first attempts that are read after their retries.
func TestRetryIsPendingWhileAnyAttemptMayBeTheArrivalBeyondTheFirst(t *testing.T) {
	is := is.New(t)
	var a requestArrivals
	a.send(false)
	a.send(true)
	is.Equal(a.settle(), 0) // either of them: the other one may be the arrival beyond the first
	is.Equal(a.pending(), 1)
	a.send(true)
	is.Equal(a.pending(), 2)
	is.Equal(a.settle(), 1)
	is.Equal(a.settle(), 1)
	is.Equal(a.pending(), 0)
}

func TestRetryAfterAnAnswerIsPendingUntilItsOwn(t *testing.T) {
	is := is.New(t)
	var a requestArrivals
	a.send(false)
	is.Equal(a.settle(), 0)
	a.send(true)
	is.Equal(a.pending(), 1)
	is.Equal(a.settle(), 1)
}

// TestSilentAttemptIsSettledByWhatItsUpstreamDoesLater covers each way to know that an attempt without an answer has arrived.
func TestSilentAttemptIsSettledByWhatItsUpstreamDoesLater(t *testing.T) {
	upstream, restarted := &fleet.Upstream{ID: "u", StartedMs: 1}, &fleet.Upstream{ID: "u", StartedMs: 2}
	const sentAt, until = time.Minute, time.Minute + 10*time.Second
	for name, test := range map[string]struct {
		learn func(o *openAttempts) []settlement
		want  settledBy
	}{
		"answer to one sent before": {func(o *openAttempts) []settlement {
			return o.heard(upstream, sentAt)
		}, ""},
		"answer to one sent later": {func(o *openAttempts) []settlement {
			return o.heard(upstream, sentAt+1)
		}, settledByLaterAnswer},
		"answer of another upstream": {func(o *openAttempts) []settlement {
			return o.heard(&fleet.Upstream{ID: "v"}, sentAt+time.Second)
		}, ""},
		"answer of the next process": {func(o *openAttempts) []settlement {
			return o.heard(restarted, 0)
		}, settledByEnd},
		"within the time": {func(o *openAttempts) []settlement { return o.expire(until - 1) }, ""},
		"after the time":  {func(o *openAttempts) []settlement { return o.expire(until) }, settledByTime},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var o openAttempts
			attempt := &sentAttempt{arrivals: &requestArrivals{}, upstream: upstream, sentAt: sentAt}
			o.add(attempt)
			o.giveUp(attempt, until)
			settled := test.learn(&o)
			if test.want == "" {
				is.Equal(len(settled), 0)
				is.Equal(len(o.byUpstream["u"]), 1)
				return
			}
			is.Equal(settled, []settlement{{attempt: attempt, by: test.want}})
			is.Equal(len(o.byUpstream), 0)
		})
	}
}

func TestAttemptUnderWayIsWaitedForWithoutALimit(t *testing.T) {
	is := is.New(t)
	var o openAttempts
	o.add(&sentAttempt{arrivals: &requestArrivals{}, upstream: &fleet.Upstream{ID: "u"}})
	is.Equal(len(o.expire(time.Hour)), 0)
}
