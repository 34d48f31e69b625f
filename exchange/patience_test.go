package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/periodic"
	"github.com/wigeontiller/wigeontiller/placement"
)

// An engine that hangs on a request and answers polls for its load counted as busy until the caller had left.
func TestStreamIsMovedBeforeItsCallerLeaves(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, attemptStep{hang: true}, attemptStep{status: 200, body: eventText(1, 3)})
	go periodic.RunNow(t.Context(), 100*time.Millisecond, func() {
		f.exchange.config.Scheduler.Do(func(s *placement.Scheduler, now time.Duration) {
			for _, id := range []string{"llm0", "llm1", "llm2", "llm3"} {
				s.ApplyReport(now, id, placement.Report{SpeedFactor: 1}, true)
			}
		})
	})
	request := f.request("stream")
	route := *request.Route
	route.CallerTimeout = 1200 * time.Millisecond
	request.Route = &route
	started := time.Now()
	got := f.serve(t, request)
	is.Equal(got.events, eventText(1, 3))
	is.True(time.Since(started) < route.CallerTimeout)
}
