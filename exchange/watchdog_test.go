package exchange

import (
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/placement"
)

// TestWatchdogOfPeerRunsWhileNodeIsRecorded guards against a data race: a node that is silent for long is given up
// while the attempt learns which node it was.
func TestWatchdogOfPeerRunsWhileNodeIsRecorded(t *testing.T) {
	f := newFixture(t)
	handler := f.exchange.newHandler(f.request("safe"), &recordingWriter{})
	for range 100 {
		decision := &placement.Decision{ID: "r/handover", Lead: &fleet.Upstream{}}
		watch := handler.startWatchdog(t.Context(), decision, true, func() time.Duration { return 0 })
		watch.setPeer("edge-b")
		<-watch.ctx.Done()
		watch.stop()
	}
}

// TestSilentStreamIsKeptWhileNoRetryIsLeft guards against a stream that is broken off because its upstream was silent, although
// it can't be sent again.
func TestSilentStreamIsKeptWhileNoRetryIsLeft(t *testing.T) {
	for name, extra := range map[string]float64{"no retry left": 0, "one retry left": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reader, writer := io.Pipe()
			f := newFixture(t, attemptStep{status: 200, stream: reader}, attemptStep{status: 200, body: eventText(2, 3)})
			f.exchange.config.Retries.Ratio, f.exchange.config.Retries.Extra = 0, extra
			resumed := make(chan struct{})
			go func() {
				defer close(resumed)
				_, _ = io.WriteString(writer, eventText(1, 1))
				time.Sleep(2 * unresponsiveSlack)
				_, _ = io.WriteString(writer, eventText(2, 3))
				_ = writer.Close()
			}()
			got := f.serve(t, f.request("stream"))
			<-resumed
			is.True(got.ended)
			is.Equal(got.events, eventText(1, 3))
			is.Equal(len(f.sender.attempts), 1+int(extra))
			_, granted := f.retriesIn(time.Second, "llm")
			is.Equal(granted, 0.0)
		})
	}
}

// TestSilentRequestFailsInTimeWhileNoRetryIsLeft guards against a request that is held until its caller leaves, because it can't be
// sent again.
func TestSilentRequestFailsInTimeWhileNoRetryIsLeft(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, attemptStep{hang: true})
	f.exchange.config.Retries.Ratio, f.exchange.config.Retries.Extra = 0, 0
	started := time.Now()
	got := f.serve(t, f.request("stream"))
	is.Equal(got.failure.Reason, ReasonRetryBudgetSpent)
	is.True(time.Since(started) < 2*unresponsiveSlack)
}

// silentStream returns a stream that sends the first event, stands still for a time and sends the rest up to event 4. A time of 0 is
// for good.
func silentStream(t *testing.T, silence time.Duration) io.ReadCloser {
	t.Helper()
	reader, writer := io.Pipe()
	go func() {
		// Fails once the attempt is given up.
		_, _ = io.WriteString(writer, eventText(1, 1))
		if silence == 0 {
			return
		}
		time.Sleep(silence)
		_, _ = io.WriteString(writer, eventText(2, 4))
		_ = writer.Close()
	}()
	return reader
}

// TestStreamOfSilentUpstreamIsNotLostToOneThatFails guards against a stream that is taken from a silent upstream, which would have gone
// on, before it is sure that another one continues it.
func TestStreamOfSilentUpstreamIsNotLostToOneThatFails(t *testing.T) {
	const silence = 2 * unresponsiveSlack
	for name, second := range map[string]attemptStep{
		"fails":         {status: 500},
		"refuses":       {status: 503, verdict: NotExecuted},
		"can't be sent": {err: ErrNotSent},
		"breaks off":    {status: 200, body: "", bodyErr: errReset},
		"is silent":     {hang: true},
		"is slower":     {status: 200, stream: silentStream(t, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, attemptStep{status: 200, stream: silentStream(t, silence)}, second)
			got := f.serve(t, f.request("stream"))
			is.True(got.ended)
			is.Equal(got.events, eventText(1, 4))
			is.True(len(f.sender.attempts) >= 2)
		})
	}
}

func TestStreamOfSilentUpstreamGoesOnAtAnother(t *testing.T) {
	for name, first := range map[string]attemptStep{
		"silent for good": {status: 200, stream: silentStream(t, 0)},
		"silent for long": {status: 200, stream: silentStream(t, 8*unresponsiveSlack)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, first, attemptStep{status: 200, body: eventText(2, 4)})
			started := time.Now()
			got := f.serve(t, f.request("stream"))
			is.True(got.ended)
			is.Equal(got.events, eventText(1, 4))
			is.Equal(f.sender.attempts[1].After, int64(1))
			is.True(time.Since(started) < 4*unresponsiveSlack)
		})
	}
}

// TestStreamGoesOnAtAnotherWhenItsSilentUpstreamBreaksOff covers the end of a silent upstream while another one is asked.
func TestStreamGoesOnAtAnotherWhenItsSilentUpstreamBreaksOff(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	f := newFixture(t, attemptStep{status: 200, stream: reader}, attemptStep{status: 200, body: eventText(2, 4)})
	f.sender.steps[1].before = func() {
		_ = writer.CloseWithError(errReset)
		time.Sleep(100 * time.Millisecond)
	}
	go func() { _, _ = io.WriteString(writer, eventText(1, 1)) }()
	got := f.serve(t, f.request("stream"))
	is.True(got.ended)
	is.Equal(got.events, eventText(1, 4))
	is.True(len(f.sender.attempts) >= 2)
}

// TestStreamIsWholeWhicheverUpstreamGoesOnFirst lets both upstreams go on at about the same time, again and again.
func TestStreamIsWholeWhicheverUpstreamGoesOnFirst(t *testing.T) {
	const silence, streams = 2 * unresponsiveSlack, 60
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			reader, writer := io.Pipe()
			f := newFixture(t, attemptStep{status: 200, stream: silentStream(t, silence)}, attemptStep{status: 200, stream: reader})
			go func() {
				time.Sleep(silence + time.Duration(i-streams/2)*50*time.Microsecond)
				// Fails if the first upstream goes on before.
				_, _ = io.WriteString(writer, eventText(2, 4))
				_ = writer.Close()
			}()
			got := &recordingWriter{}
			f.exchange.Serve(t.Context(), f.request("stream"), got)
			if !got.ended || got.events != eventText(1, 4) || got.finalResponses != 1 {
				t.Errorf("ended %t with %d final responses: %q", got.ended, got.finalResponses, got.events)
			}
		})
	}
	group.Wait()
}

// TestStreamWhoseFirstEventArrivesIsNotGivenUp guards against a stream that is given up as it begins: what may be answered with a failure
// before its first event is broken off after it.
func TestStreamWhoseFirstEventArrivesIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	handler := f.exchange.newHandler(f.request("stream"), &recordingWriter{})
	watch := handler.startWatchdog(t.Context(), &placement.Decision{ID: "a", Lead: &fleet.Upstream{ID: "llm0"}}, false, func() time.Duration { return time.Minute })
	defer watch.stop()
	watch.timeout = func() time.Duration { return 0 }
	watch.beginWait()
	watch.endWait(true) // the event is here, and not yet sent to the caller
	watch.check()
	is.NoErr(watch.ctx.Err())
	watch.beginWait()
	watch.check()
	is.True(watch.ctx.Err() != nil)
}

// TestStreamThatIsGivenUpDoesNotBegin covers an event that arrives just after the decision.
func TestStreamThatIsGivenUpDoesNotBegin(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.exchange.config.Retries.Ratio, f.exchange.config.Retries.Extra = 0, 0
	reader, writer := io.Pipe()
	got := &recordingWriter{}
	handler := f.exchange.newHandler(f.request("stream"), got)
	decision := &placement.Decision{ID: "a", Lead: &fleet.Upstream{ID: "llm0"}}
	watch := handler.newWatchdog(t.Context(), decision)
	defer watch.stop()
	handler.stopBlockWatch = func() {}
	go func() {
		watch.cancelCause(nil)
		_, _ = io.WriteString(writer, eventText(1, 3))
		_ = writer.Close()
	}()
	reply := &fakeReply{attemptStep: attemptStep{status: 200}, body: reader}
	is.Equal(handler.relayStream(t.Context(), decision, reply, watch), actionFail)
	is.Equal(got.events, "")
}
