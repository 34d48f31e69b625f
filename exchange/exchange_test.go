package exchange

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/follow"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

func TestAnUnsafeRequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	for name, s := range map[string]step{
		"no answer": {err: ErrIncomplete}, "cut": {status: 200, body: "x", ends: errReset}, "unsigned": {status: 200, unsound: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, s)
			got := f.serve(t, f.request("unsafe"))
			is.Equal(len(f.upstreams.attempts), 1)
			is.Equal(got.failure.Code, UpstreamFailed) // it promises nothing
			is.True(f.upstreams.attempts[0].AtMostOnce)
		})
	}
}

func TestAnUnsafeRequestThatDidNotRunGoesElsewhere(t *testing.T) {
	for name, s := range map[string]step{
		"not sent": {err: ErrNotSent}, "full": {status: 503, verdict: NotExecuted}, "another process": {status: 421, verdict: WrongUpstream},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, s, step{status: 200, body: "done"})
			got := f.serve(t, f.request("unsafe"))
			is.Equal(got.whole, "done")
			is.True(f.upstreams.attempts[0].Upstream.ID != f.upstreams.attempts[1].Upstream.ID)
		})
	}
}

func TestARefusedUnsafeRequestPromisesThatItHasNotRun(t *testing.T) {
	is := is.New(t)
	full := step{status: 503, verdict: NotExecuted}
	f := newFixture(t, full, full, full, full, full, full)
	got := f.serve(t, f.request("unsafe"))
	is.Equal(got.failure.Code, Overloaded)
	is.True(got.failure.RetryAfter > 0)
}

func TestASafeRequestIsSentAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{err: ErrIncomplete}, step{status: 200, body: "done"})
	is.Equal(f.serve(t, f.request("safe")).whole, "done")
	f = newFixture(t, step{status: 500, body: "bad"}, step{status: 200, body: "done"})
	is.Equal(f.serve(t, f.request("safe")).whole, "done")
	f = newFixture(t, step{status: 500, body: "bad"}, step{status: 500, body: "worse"}, step{status: 200, body: "no"})
	got := f.serve(t, f.request("safe"))
	is.Equal(got.status, 500) // the upstream's own answer, after the attempts allowed
	is.Equal(got.whole, "worse")
	is.Equal(len(f.upstreams.attempts), 2)
}

func TestAStreamGoesOnElsewhereWithoutGapOrDouble(t *testing.T) {
	is := is.New(t)
	f := newFixture(t,
		step{status: 200, body: events(1, 3) + "id: 4\nda", ends: errReset},
		step{status: 200, body: events(3, 8)})
	got := f.serve(t, f.request("stream"))
	is.Equal(got.events, events(1, 8))
	is.True(got.ended)
	is.Equal(f.upstreams.attempts[1].After, int64(3))
}

func TestAStreamWithAGapIsBroken(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{status: 200, body: events(1, 3) + events(5, 8)}, step{status: 200, body: events(6, 8)})
	got := f.serve(t, f.request("stream"))
	is.Equal(got.events, events(1, 3))
	is.True(got.broken)
	is.True(!got.ended)
}

func TestAStreamWithAGapGoesOnElsewhereBeforeIt(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{status: 200, body: events(1, 3) + events(5, 8)}, step{status: 200, body: events(4, 8)})
	got := f.serve(t, f.request("stream"))
	is.Equal(got.events, events(1, 8))
	is.True(got.ended)
	is.Equal(f.upstreams.attempts[1].After, int64(3))
}

func TestAStreamThatMayNotBeResumedRunsOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{status: 200, body: events(1, 3), ends: errReset}, step{status: 200, body: events(4, 8)})
	got := f.serve(t, f.request("once"))
	is.Equal(len(f.upstreams.attempts), 1)
	is.True(got.broken)
	f = newFixture(t, step{status: 200, ends: errReset}, step{status: 200, body: events(1, 8)})
	got = f.serve(t, f.request("once"))
	is.Equal(len(f.upstreams.attempts), 1)
	is.Equal(got.failure.Code, UpstreamFailed)
}

func TestAStreamThatEndsInTheMiddleOfAnEventIsNotWhole(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{status: 200, body: events(1, 2) + "id: 3\nda"}, step{status: 200, body: events(3, 4)})
	got := f.serve(t, f.request("stream"))
	is.Equal(got.events, events(1, 4))
}

func TestACallersOwnLastEventIsKept(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{status: 200, body: events(6, 8)})
	request := f.request("stream")
	request.After = 5
	is.Equal(f.serve(t, request).events, events(6, 8))
	is.Equal(f.upstreams.attempts[0].After, int64(5))
}

func TestNothingIsSentByBeliefsThatAreTooOld(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.skew.Store(int64(4600 * time.Millisecond))
	got := f.serve(t, f.request("safe"))
	is.Equal(len(f.upstreams.attempts), 0)
	is.Equal(got.failure.Code, Unavailable)
}

func TestWhatIsUnknownIsDeniedOnlyByFreshBeliefs(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	_, failure := f.exchange.Admit("h", "/safe/x", "wrong")
	is.Equal(failure.Code, NoKey)
	_, failure = f.exchange.Admit("h", "/none/x", "key")
	is.Equal(failure.Code, NoRoute)
	admitted, failure := f.exchange.Admit("h", "/safe/x", "key")
	is.True(failure == nil)
	is.Equal(admitted.Organisation.Name, "works")
	f.skew.Store(int64(2500 * time.Millisecond))
	_, failure = f.exchange.Admit("h", "/safe/x", "wrong")
	is.Equal(failure.Code, Unavailable)
	_, failure = f.exchange.Admit("h", "/none/x", "key")
	is.Equal(failure.Code, Unavailable)
	f.skew.Store(int64(5 * time.Second))
	_, failure = f.exchange.Admit("h", "/safe/x", "key")
	is.Equal(failure.Code, Unavailable)
}

func TestANodeWithoutBeliefsDeniesNothing(t *testing.T) {
	is := is.New(t)
	metrics := telemetry.NewMetrics()
	clock := func() time.Duration { return time.Minute }
	e := New(Config{Follower: follow.New(source{}, clock, zerolog.Nop(), metrics), Now: clock, Metrics: metrics})
	_, failure := e.Admit("h", "/safe/x", "key")
	is.Equal(failure.Code, Unavailable)
}

func TestACallerThatLeavesEndsItsAttempt(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	got := &caller{}
	started := time.Now()
	f.exchange.Serve(ctx, f.request("stream"), got)
	is.True(time.Since(started) < 500*time.Millisecond)
	is.True(got.broken)
	f.exchange.config.Scheduler.Do(func(s *placement.Scheduler, now time.Duration) {
		for _, share := range s.Shares(now, true) {
			is.Equal(share.Totals, placement.Totals{}) // all is free again
		}
	})
}

func TestADeadlineEndsARequestAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{hang: true})
	request := f.request("unsafe")
	request.Deadline = time.Now().Add(60 * time.Millisecond)
	started := time.Now()
	got := f.serve(t, request)
	is.True(time.Since(started) < 300*time.Millisecond)
	is.Equal(got.failure.Code, Expired) // it may have run
}

func TestASilentUpstreamIsLeftWhereTheRequestMayBeRepeated(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{hang: true}, step{status: 200, body: "done"})
	got := f.serve(t, f.request("safe"))
	is.Equal(got.whole, "done")
	f = newFixture(t, step{hang: true}, step{status: 200, body: "done"})
	request := f.request("unsafe")
	request.Deadline = time.Now().Add(700 * time.Millisecond)
	is.Equal(f.serve(t, request).failure.Code, Expired)
	is.Equal(len(f.upstreams.attempts), 1)
}

func TestANodeThatEndsAnswersWhatHasNotBegun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{hang: true}, step{hang: true})
	time.AfterFunc(30*time.Millisecond, f.exchange.FailUnanswered)
	got := f.serve(t, f.request("unsafe"))
	is.Equal(got.failure.Code, UpstreamFailed) // it may have run
	f = newFixture(t)
	f.exchange.FailUnanswered()
	got = f.serve(t, f.request("unsafe"))
	is.True(got.failure == nil || got.failure.Code == Unavailable)
	f.exchange.RejectNewStreams()
	_, failure := f.exchange.Admit("h", "/stream/x", "key")
	is.Equal(failure.Code, Unavailable)
	_, failure = f.exchange.Admit("h", "/unsafe/x", "key")
	is.True(failure == nil) // a plain call still ends in time
}

func TestMemoryIsReservedWholeAndGivenBack(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{status: 200, body: events(1, 4)})
	request := f.request("stream")
	request.PromptTokens = 300_000
	f.upstreams.refuse = 1
	got := f.serve(t, request)
	is.Equal(got.events, events(1, 4))
	held := 0
	for _, ticket := range f.upstreams.attempts[0].Reservations {
		held += ticket.Tokens
	}
	is.True(held >= 300_000)
	for end := time.Now().Add(2 * time.Second); f.upstreams.heldTickets() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(f.upstreams.heldTickets(), 0)
}

func TestTheRetryBudgetIsSharedByNodes(t *testing.T) {
	is := is.New(t)
	budget := &RetryBudget{Ratio: 0.2, Extra: 90, Window: 10 * time.Second}
	budget.SetNodes(9)
	for range 100 {
		budget.First(time.Second, "s")
	}
	spent := 0
	for budget.Spend(time.Second, "s") {
		spent++
	}
	is.Equal(spent, 30) // a fifth of its own requests and a ninth of what all have beside
	is.True(!budget.Spend(9*time.Second, "s"))
	is.True(budget.Spend(22*time.Second, "s"))
	is.True(budget.Spend(time.Second, "other"))
}
