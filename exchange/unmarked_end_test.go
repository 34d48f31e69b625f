package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// closedAfter is an attempt whose upstream writes events and then closes the connection, which alone marks the end.
func closedAfter(first, last int) attemptStep {
	step := attemptStep{status: 200, closeDelimited: true}
	if first <= last {
		step.body = eventText(first, last)
	}
	return step
}

func (f *fixture) trustStreamEnds() {
	config := &f.exchange.config
	const enough = 1000
	for range enough {
		config.StreamEnds.Confirm(config.Now(), "llm")
	}
}

func (f *fixture) trustsStreamEnds() bool {
	return f.exchange.config.StreamEnds.Trusted(f.exchange.config.Now(), "llm")
}

// Upstreams that frame by closing: no stream of theirs would ever be complete on a route with resumption.
func TestStreamsThatUpstreamsEndByClosingAreCompleteOnceConfirmed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	// All streams come in one instant, of which the budget's ratio counts nothing yet.
	f.exchange.config.Retries.Extra = 400
	broken, whole := 0, 0
	for range 400 {
		f.sender.steps = []attemptStep{closedAfter(1, 3), closedAfter(4, 3)}
		got := f.serve(t, f.request("stream"))
		is.Equal(got.events, eventText(1, 3))
		if got.ended {
			whole++
			is.True(f.trustsStreamEnds())
		} else {
			broken++
			is.True(!f.trustsStreamEnds())
			time.Sleep(time.Millisecond)
		}
		if whole > 60 {
			break
		}
	}
	t.Logf("%d broken off before the service was trusted, %d whole after it", broken, whole)
	is.True(broken <= 100)
	is.True(whole > 60)
}

// A stream of a trusted service must not look complete where its upstream shows, or another one, that it is not.
func TestStreamOfTrustedServiceThatIsCutDoesNotLookComplete(t *testing.T) {
	for name, c := range map[string]struct {
		first         attemptStep
		ended         bool
		complete      bool
		attempts      int
		keepsItsTrust bool
	}{
		"closed":                 {first: closedAfter(1, 3), complete: true, attempts: 1, keepsItsTrust: true},
		"reset":                  {first: attemptStep{status: 200, closeDelimited: true, body: eventText(1, 3), bodyErr: errReset}, attempts: 2, keepsItsTrust: true},
		"closed inside an event": {first: attemptStep{status: 200, closeDelimited: true, body: eventText(1, 3) + "id: 4\nda"}, attempts: 2, keepsItsTrust: true},
		"event missing":          {first: attemptStep{status: 200, closeDelimited: true, body: eventText(1, 2) + eventText(4, 4)}, attempts: 2, keepsItsTrust: true},
		"process has ended":      {first: closedAfter(1, 3), ended: true, attempts: 2, keepsItsTrust: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, c.first, attemptStep{status: 200, bodyErr: errReset})
			f.trustStreamEnds()
			f.sender.ended = c.ended
			got := f.serve(t, f.request("stream"))
			is.Equal(got.ended, c.complete)
			is.Equal(got.aborted, !c.complete)
			is.True(got.unmarked)
			is.Equal(len(f.sender.attempts), c.attempts)
			is.Equal(f.trustsStreamEnds(), c.keepsItsTrust)
		})
	}
}

// Some ends of a trusted service are still checked; one that was cut must be continued, and ends the trust.
func TestTruncatedStreamOfTrustedServiceIsContinuedAndEndsTrust(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.trustStreamEnds()
	checked := 0
	for range 200 {
		before := len(f.sender.attempts)
		f.sender.steps = []attemptStep{closedAfter(1, 2), {status: 200, body: eventText(3, 5)}}
		got := f.serve(t, f.request("stream"))
		is.True(got.ended)
		if len(f.sender.attempts)-before == 2 {
			checked++
			is.Equal(got.events, eventText(1, 5))
			is.True(!got.unmarked)
			break
		}
	}
	is.Equal(checked, 1)
	is.True(!f.trustsStreamEnds())
}

// Two upstreams that close after the same event prove too little by themselves.
func TestTwoUnmarkedEndsOfServiceThatIsNotTrustedCompleteNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, closedAfter(1, 3), closedAfter(4, 3))
	got := f.serve(t, f.request("stream"))
	is.True(got.aborted)
	is.True(!got.unmarked)
	is.Equal(len(f.sender.attempts), 2)
}

// An upstream that starts again from the first event and closes before the last one that the caller has confirms nothing.
func TestShorterSecondStreamConfirmsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, closedAfter(1, 3), closedAfter(1, 2))
	f.trustStreamEnds()
	for range 19 { // the next end is checked
		f.exchange.config.StreamEnds.Rely(f.exchange.config.Now(), "llm")
	}
	got := f.serve(t, f.request("stream"))
	is.True(got.aborted)
	is.Equal(len(f.sender.attempts), 2)
}

// The node that serves a handed-over request has looked at its upstream; the first node knows nothing of the service.
func TestUnmarkedEndThatAnotherNodeHandsOnIsHandedOn(t *testing.T) {
	is := is.New(t)
	f, _ := withPeers(t, peerStep{attemptStep: closedAfter(1, 3)})
	got := f.serve(t, f.request("stream"))
	is.True(got.ended)
	is.True(got.unmarked)
	is.Equal(got.events, eventText(1, 3))
	f, _ = withPeers(t, peerStep{attemptStep: attemptStep{status: 200, closeDelimited: true, body: eventText(1, 3), bodyErr: errReset}})
	is.True(f.serve(t, f.request("stream")).aborted)
}

// TestUpstreamsThatConfirmAnUnmarkedEndAreNoEvidence guards against a prompt part that is blocked, and with it all callers who share it,
// as sound upstreams that end their streams by closing had no event left for a continuation (review/10).
func TestUpstreamsThatConfirmAnUnmarkedEndAreNoEvidence(t *testing.T) {
	one := attemptStep{status: 200, closeDelimited: true, body: eventText(1, 1)}
	closed := attemptStep{status: 200, closeDelimited: true}
	reset := attemptStep{status: 200, closeDelimited: true, bodyErr: errReset}
	for name, c := range map[string]struct {
		steps []attemptStep
		// isEvidence is true if such ends count against the parts of the prompt, blocked if they block the part that all prompts share: the
		// third attempts reach two upstreams only.
		isEvidence, blocked bool
	}{
		"two upstreams":                        {[]attemptStep{one, closed}, false, false},
		"three upstreams":                      {[]attemptStep{one, closed, closed}, false, false},
		"the continuation is reset":            {[]attemptStep{one, reset}, true, true},
		"the third is reset":                   {[]attemptStep{one, closed, reset}, true, false},
		"the first is closed before its event": {[]attemptStep{closed, closed}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			blocked := false
			for i := range 20 {
				f.sender.steps = append([]attemptStep(nil), c.steps...)
				request := f.prompt(fmt.Sprint(i), 1)
				request.Route.MaxAttempts = len(c.steps)
				got := f.serve(t, request)
				is.True(!got.ended)
				blocked = blocked || got.failure != nil && got.failure.Code == RequestBlocked
			}
			is.Equal(f.exchange.config.Metrics.CounterValue("wigeontiller_streams_lost_before_first_event_total") > 0, c.isEvidence)
			is.Equal(blocked, c.blocked)
		})
	}
}
