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

// TestOldEventTellsNothingOfItsUpstream guards against events that were written before an attempt was sent and read later, because the
// caller had not read the ones before, or this process stood still.
func TestOldEventTellsNothingOfItsUpstream(t *testing.T) {
	upstream := &fleet.Upstream{ID: "llm0"}
	for name, test := range map[string]struct {
		waited, pause time.Duration
		open          int
	}{
		"waited for":           {waited: time.Second, open: 0},
		"had arrived":          {waited: 0, open: 1},
		"process stood still":  {waited: time.Second, pause: 2 * pausedAfter, open: 1},
		"long before the read": {waited: time.Second, pause: 2 * suspendedAfter, open: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			handler := f.exchange.newHandler(f.request("stream"), &recordingWriter{})
			f.exchange.Tick()
			handler.beginSend(upstream)
			handler.giveUpSend()
			f.skew.Add(int64(max(test.pause, eventMargin)))
			if test.pause == 0 {
				// Ticks go on.
				for range int(pausedAfter/TickInterval) + 1 {
					f.exchange.Tick()
					f.skew.Add(int64(TickInterval))
				}
				f.exchange.Tick()
			}
			f.exchange.config.Freshness.MaxSendAge = time.Hour
			handler.heardEvent(upstream, test.waited)
			is.Equal(len(f.exchange.openAttempts.byUpstream["llm0"]), test.open)
		})
	}
}
