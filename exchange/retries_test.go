package exchange

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// retriesIn returns the retries of a service that the budget counts for a window that ends now: those that have arrived, and those
// that may.
func (f *fixture) retriesIn(window time.Duration, service string) (arrived, pending float64) {
	budget := f.exchange.config.Retries
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	step := budget.step(f.exchange.config.Now())
	w := budget.window(service)
	for i := range int64(window / budget.bucketLength()) {
		_, retries := w.counts(step - i)
		arrived += retries
	}
	return arrived, w.pending
}

// requestsCounted returns the requests of a service that the budget counts for a window that ends now.
func (f *fixture) requestsCounted(service string) (counted float64) {
	budget := f.exchange.config.Retries
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	for i := range int64(windowBuckets) {
		requests, _ := budget.window(service).counts(budget.step(f.exchange.config.Now()) - i)
		counted += requests
	}
	return counted
}

// TestRetryCountsWhenItIsSent guards against retries that wait, and arrive together with those of a later window.
func TestRetryCountsWhenItIsSent(t *testing.T) {
	is := is.New(t)
	const wait = 5 * time.Second
	f := newFixture(t, attemptStep{status: 500}, attemptStep{status: 200, body: "default", before: func() {}})
	f.sender.steps[1].before = func() {
		sent, granted := f.retriesIn(wait, "app")
		is.Equal(sent, 0.0)
		is.Equal(granted, 1.0)
		f.skew.Add(int64(wait))
	}
	// The jump of the clock is not taken for a suspension, as nothing ticks; the view is kept fresh.
	f.exchange.config.Freshness.MaxSendAge = time.Hour
	is.Equal(f.serve(t, f.request("safe")).status, 200)
	sent, granted := f.retriesIn(wait/2, "app")
	is.Equal(sent, 1.0)
	is.Equal(granted, 0.0)
}

func TestRetryThatIsNotSentIsReturned(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	f := newFixture(t, attemptStep{status: 500}, attemptStep{status: 200, before: cancel})
	f.exchange.Serve(ctx, f.request("safe"), &recordingWriter{})
	is.Equal(len(f.sender.attempts), 2)
	sent, granted := f.retriesIn(time.Second, "app")
	is.Equal(sent+granted, 0.0)
}

// TestRequestsOfPausedProcessEarnNoRetries guards against requests that came while the process stood still and that count
// as if they were sent when it goes on.
func TestRequestsOfPausedProcessEarnNoRetries(t *testing.T) {
	for _, pause := range []time.Duration{2 * pausedAfter, 2 * suspendedAfter} {
		is := is.New(t)
		f := newFixture(t)
		f.exchange.Tick()
		f.skew.Add(int64(pause))
		is.Equal(f.serve(t, f.request("safe")).status, 200)
		is.Equal(f.requestsCounted("app"), 0.0)
		for range 4 {
			f.exchange.Tick()
			f.skew.Add(int64(TickInterval))
		}
		f.exchange.Tick()
		is.Equal(f.serve(t, f.request("safe")).status, 200)
		is.Equal(f.requestsCounted("app"), 1.0)
	}
}
