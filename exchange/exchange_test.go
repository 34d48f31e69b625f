package exchange

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/follow"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

func TestServeDoesNotRetryUnsafeRequestThatMayHaveRun(t *testing.T) {
	for name, s := range map[string]attemptStep{
		"no response": {err: ErrIncomplete}, "truncated response": {status: 200, body: "x", bodyErr: errReset}, "unsigned response": {status: 200, unsigned: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, s)
			got := f.serve(t, f.request("unsafe"))
			is.Equal(len(f.sender.attempts), 1)
			is.Equal(got.failure.Code, UpstreamFailed) // no guarantee: it may have run
			is.True(f.sender.attempts[0].AtMostOnce)
		})
	}
}

func TestServeRetriesUnsafeRequestThatWasNotExecuted(t *testing.T) {
	for name, s := range map[string]attemptStep{
		"not sent": {err: ErrNotSent}, "upstream full": {status: 503, verdict: NotExecuted}, "another process at the address": {status: 421, verdict: WrongUpstream},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, s, attemptStep{status: 200, body: "done"})
			got := f.serve(t, f.request("unsafe"))
			is.Equal(got.body, "done")
			is.True(f.sender.attempts[0].Upstream.ID != f.sender.attempts[1].Upstream.ID)
		})
	}
}

func TestServeReportsNotExecutedWhenAllUpstreamsRefuse(t *testing.T) {
	is := is.New(t)
	full := attemptStep{status: 503, verdict: NotExecuted}
	f := newFixture(t, full, full, full, full, full, full)
	got := f.serve(t, f.request("unsafe"))
	is.Equal(got.failure.Code, Overloaded)
	is.True(got.failure.RetryAfter > 0)
}

func TestServeRetriesSafeRequestUpToMaxAttempts(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, attemptStep{err: ErrIncomplete}, attemptStep{status: 200, body: "done"})
	is.Equal(f.serve(t, f.request("safe")).body, "done")
	f = newFixture(t, attemptStep{status: 500, body: "bad"}, attemptStep{status: 200, body: "done"})
	is.Equal(f.serve(t, f.request("safe")).body, "done")
	f = newFixture(t, attemptStep{status: 500, body: "bad"}, attemptStep{status: 500, body: "worse"}, attemptStep{status: 200, body: "no"})
	got := f.serve(t, f.request("safe"))
	is.Equal(got.status, 500) // the upstream's own response after MaxAttempts
	is.Equal(got.body, "worse")
	is.Equal(len(f.sender.attempts), 2)
}

func TestServeResumesStreamOnAnotherUpstreamWithoutGapOrDuplicate(t *testing.T) {
	is := is.New(t)
	f := newFixture(t,
		attemptStep{status: 200, body: eventText(1, 3) + "id: 4\nda", bodyErr: errReset},
		attemptStep{status: 200, body: eventText(3, 8)})
	got := f.serve(t, f.request("stream"))
	is.Equal(got.events, eventText(1, 8))
	is.True(got.ended)
	is.Equal(f.sender.attempts[1].After, int64(3))
}

func TestServeAbortsStreamWhenEveryUpstreamSkipsAnEvent(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, attemptStep{status: 200, body: eventText(1, 3) + eventText(5, 8)}, attemptStep{status: 200, body: eventText(6, 8)})
	got := f.serve(t, f.request("stream"))
	is.Equal(got.events, eventText(1, 3))
	is.True(got.aborted)
	is.True(!got.ended)
}

func TestServeResumesStreamBeforeMissingEvent(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, attemptStep{status: 200, body: eventText(1, 3) + eventText(5, 8)}, attemptStep{status: 200, body: eventText(4, 8)})
	got := f.serve(t, f.request("stream"))
	is.Equal(got.events, eventText(1, 8))
	is.True(got.ended)
	is.Equal(f.sender.attempts[1].After, int64(3))
}

func TestServeDoesNotRetryNonResumableStream(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, attemptStep{status: 200, body: eventText(1, 3), bodyErr: errReset}, attemptStep{status: 200, body: eventText(4, 8)})
	got := f.serve(t, f.request("once"))
	is.Equal(len(f.sender.attempts), 1)
	is.True(got.aborted)
	f = newFixture(t, attemptStep{status: 200, bodyErr: errReset}, attemptStep{status: 200, body: eventText(1, 8)})
	got = f.serve(t, f.request("once"))
	is.Equal(len(f.sender.attempts), 1)
	is.Equal(got.failure.Code, UpstreamFailed)
}

func TestServeResumesStreamThatEndsInsideAnEvent(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, attemptStep{status: 200, body: eventText(1, 2) + "id: 3\nda"}, attemptStep{status: 200, body: eventText(3, 4)})
	got := f.serve(t, f.request("stream"))
	is.Equal(got.events, eventText(1, 4))
}

func TestServeForwardsCallersLastEventNumber(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, attemptStep{status: 200, body: eventText(6, 8)})
	request := f.request("stream")
	request.After = 5
	is.Equal(f.serve(t, request).events, eventText(6, 8))
	is.Equal(f.sender.attempts[0].After, int64(5))
}

func TestServeSendsNothingWhenViewIsTooOld(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.skew.Store(int64(4600 * time.Millisecond))
	got := f.serve(t, f.request("safe"))
	is.Equal(len(f.sender.attempts), 0)
	is.Equal(got.failure.Code, Unavailable)
}

func TestAdmitDeniesUnknownKeyOrRouteOnlyWhenViewIsFresh(t *testing.T) {
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

func TestAdmitReturnsUnavailableWithoutView(t *testing.T) {
	is := is.New(t)
	metrics := telemetry.NewMetrics()
	clock := func() time.Duration { return time.Minute }
	e := New(Config{Follower: follow.New(staticSource{}, clock, zerolog.Nop(), metrics), Now: clock, Metrics: metrics})
	_, failure := e.Admit("h", "/safe/x", "key")
	is.Equal(failure.Code, Unavailable)
}

func TestServeEndsAttemptWhenCallerDisconnects(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, attemptStep{hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	got := &recordingWriter{}
	started := time.Now()
	f.exchange.Serve(ctx, f.request("stream"), got)
	is.True(time.Since(started) < 500*time.Millisecond)
	is.True(got.aborted)
	f.exchange.config.Scheduler.Do(func(s *placement.Scheduler, now time.Duration) {
		for _, share := range s.LoadUpdates(now, true) {
			is.Equal(share.Totals, placement.Totals{}) // all resources are released
		}
	})
}

func TestServeFailsRequestAtDeadline(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, attemptStep{hang: true})
	request := f.request("unsafe")
	request.Deadline = time.Now().Add(60 * time.Millisecond)
	started := time.Now()
	got := f.serve(t, request)
	is.True(time.Since(started) < 300*time.Millisecond)
	is.Equal(got.failure.Code, Expired) // it may have run
}

func TestServeRetriesElsewhereWhenUpstreamIsUnresponsive(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, attemptStep{hang: true}, attemptStep{status: 200, body: "done"})
	got := f.serve(t, f.request("safe"))
	is.Equal(got.body, "done")
	f = newFixture(t, attemptStep{hang: true}, attemptStep{status: 200, body: "done"})
	request := f.request("unsafe")
	request.Deadline = time.Now().Add(700 * time.Millisecond)
	is.Equal(f.serve(t, request).failure.Code, Expired)
	is.Equal(len(f.sender.attempts), 1)
}

func TestShutdownFailsUnansweredRequestsAndNewStreams(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, attemptStep{hang: true}, attemptStep{hang: true})
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
	is.True(failure == nil) // a plain request can still finish in time
}

func TestServeReservesAllMemoryAndReleasesIt(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, attemptStep{status: 200, body: eventText(1, 4)})
	request := f.request("stream")
	request.PromptTokens = 300_000
	f.sender.refuseReservations = 1
	got := f.serve(t, request)
	is.Equal(got.events, eventText(1, 4))
	reserved := 0
	for _, ticket := range f.sender.attempts[0].Reservations {
		reserved += ticket.Tokens
	}
	is.True(reserved >= 300_000)
	for end := time.Now().Add(2 * time.Second); f.sender.reservationCount() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(f.sender.reservationCount(), 0)
}

func TestRetryBudgetIsSharedByNodes(t *testing.T) {
	is := is.New(t)
	budget := &RetryBudget{Ratio: 0.2, Extra: 90, Window: 10 * time.Second}
	budget.SetNodes(9)
	const perSecond = 10
	var now time.Duration
	spend := func() (spent int) {
		for budget.Take(now, "s").Granted {
			budget.Arrived(now, "s", 1)
			spent++
		}
		return spent
	}
	receive := func(length time.Duration) {
		for end := now + length; now < end; now += time.Second / perSecond {
			budget.RecordRequest(now, "s")
		}
	}
	receive(30 * time.Second)
	is.Equal(budget.Take(now, "other").Allowed, 10.0)
	spent := spend()
	is.Equal(spent, 19) // a fifth of what came in half a window, but for its first bucket, and a ninth of Extra
	for range 9 {
		receive(time.Second)
		spent += spend()
	}
	is.Equal(spent, 29) // the same with a whole window
	receive(20 * time.Second)
	is.Equal(spend(), 19)
	now += 30 * time.Second
	is.Equal(spend(), 10) // a ninth of Extra
}

func TestStreamWithoutEventNumbersIsNotStartedAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, attemptStep{status: 200, body: "data: a\n\n", bodyErr: errReset}, attemptStep{status: 200, body: "data: a\n\ndata: b\n\n"})
	got := f.serve(t, f.request("stream"))
	is.True(got.aborted)
	is.Equal(got.events, "data: a\n\n")
	is.Equal(len(f.sender.attempts), 1)
}

// A stream that can't be continued keeps the framing that it came with: its caller knows as much as the node. It
// never ends where the upstream shows that it is not complete.
func TestStreamThatMustNotBeResumedEndsAsItCame(t *testing.T) {
	numberless := "data: a\n\ndata: b\n\n"
	for name, c := range map[string]struct {
		route           string
		step            attemptStep
		ended, unmarked bool
	}{
		"closed after an event":       {"once", attemptStep{closeDelimited: true, body: eventText(1, 3)}, true, true},
		"closed, events not numbered": {"stream", attemptStep{closeDelimited: true, body: numberless}, true, true},
		"reset":                       {"once", attemptStep{closeDelimited: true, body: eventText(1, 3), bodyErr: errReset}, false, true},
		"reset, events not numbered":  {"stream", attemptStep{closeDelimited: true, body: numberless, bodyErr: errReset}, false, true},
		"closed inside an event":      {"once", attemptStep{closeDelimited: true, body: eventText(1, 3) + "id: 4\nda"}, false, true},
		"event missing":               {"once", attemptStep{closeDelimited: true, body: eventText(1, 2) + eventText(4, 4)}, false, true},
		"closed after comments":       {"once", attemptStep{closeDelimited: true, body: ": wait\n\n"}, false, true},
		"chunks, cut off":             {"once", attemptStep{body: eventText(1, 3), bodyErr: errReset}, false, false},
		"chunks, whole":               {"once", attemptStep{body: eventText(1, 3)}, true, false},
		"closed, may be resumed":      {"stream", attemptStep{closeDelimited: true, body: eventText(1, 3)}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.step.status = 200
			f := newFixture(t, c.step, attemptStep{status: 200})
			got := f.serve(t, f.request(c.route))
			is.Equal(got.ended, c.ended)
			is.Equal(got.aborted, !c.ended)
			is.Equal(got.unmarked, c.unmarked)
			is.True(got.failure == nil)
			if c.route == "once" || !strings.HasPrefix(c.step.body, "id") {
				is.Equal(len(f.sender.attempts), 1)
			} else {
				is.Equal(len(f.sender.attempts), 2)
			}
		})
	}
}

// A process that is killed closes its connections like one that has finished, and refuses new ones.
func TestStreamWhoseUpstreamHasEndedDoesNotEndAsItCame(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, attemptStep{status: 200, closeDelimited: true, body: eventText(1, 3)})
	f.sender.ended = true
	got := f.serve(t, f.request("once"))
	is.True(got.aborted)
	is.True(got.unmarked)
}

// A response without any event is none, also where only the closed connection marks its end.
func TestEmptyStreamThatMustNotBeResumedIsAFailure(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, attemptStep{status: 200, closeDelimited: true}, attemptStep{status: 200, body: eventText(1, 3)})
	got := f.serve(t, f.request("once"))
	is.Equal(got.failure.Code, UpstreamFailed)
	is.Equal(len(f.sender.attempts), 1)
}

func TestUnmarkedEndOfContinuationBlocksNoPrompt(t *testing.T) {
	is := is.New(t)
	one := attemptStep{status: 200, closeDelimited: true, body: eventText(1, 1)}
	empty := attemptStep{status: 200, closeDelimited: true}
	f := newFixture(t, one, empty, one, empty, one, empty, answeredAttempt)
	for _, own := range []string{"a", "b", "c"} {
		is.True(f.serve(t, f.prompt(own, 1)).aborted)
	}
	is.True(f.serve(t, f.prompt("d", 1)).ended)
}

// A request that is read after the node has given up those without a response must not be sent and cut.
func TestRequestReadAtTheEndIsNotSent(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.exchange.FailUnanswered()
	for range 200 {
		for _, route := range []string{"safe", "unsafe", "stream", "once"} {
			got := f.serve(t, f.request(route))
			is.Equal(got.failure.Code, Unavailable)
			is.Equal(got.failure.Reason, ReasonNodeShutdown)
		}
	}
	is.Equal(len(f.sender.attempts), 0)
}

// A caller that leaves during the dial, or a node that ends then, must not leave a run behind.
func TestRequestWhoseContextEndsBeforeTheWriteIsNotSent(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.sender.steps = []attemptStep{{status: 200, body: "done", before: f.exchange.FailUnanswered}}
	for f.exchange.shutdown.Err() == nil {
		got := f.serve(t, f.request("unsafe"))
		is.True(got.failure != nil)
		is.Equal(got.failure.Code, Unavailable) // true: nothing was written
	}
}
