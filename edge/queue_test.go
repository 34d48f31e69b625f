package edge

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/exchange"
	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/follow"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

func TestQueueMonitorLogsWaitOnceAndItsEnd(t *testing.T) {
	is := is.New(t)
	started := time.Now()
	scheduler := placement.New(placement.Config{Random: rand.New(rand.NewPCG(1, 1))})
	gate := exchange.NewSchedulerRunner(scheduler, func() time.Duration { return time.Since(started) }, func() {})
	gate.Configure(func() *follow.Snapshot {
		return &follow.Snapshot{View: fleet.View{
			Configuration: &fleet.Configuration{Services: map[string]*fleet.Service{"app": {Name: "app"}}},
			Upstreams:     map[string]*fleet.Upstream{"u": {ID: "u", Service: "app", Slots: 1}},
		}}
	})
	var log bytes.Buffer
	monitor := &queueMonitor{gate: gate, logger: zerolog.New(&log), metrics: telemetry.NewMetrics(), consecutive: map[string]int{}}
	ctx, disconnect := context.WithCancel(t.Context())
	done := make(chan struct{})
	const requests = 8
	for i := range requests {
		go func() {
			_, _ = gate.Place(ctx, &placement.Request{ID: string(rune('a' + i)), Service: "app", Deadline: time.Minute})
			done <- struct{}{}
		}()
	}
	awaitWaiting := func(want bool) {
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			waiting := 0
			gate.Do(func(s *placement.Scheduler, _ time.Duration) { waiting = s.Waiting() })
			if (waiting > 0) == want {
				return
			}
		}
		t.Fatal("the queue did not reach the wanted state within 10 s")
	}
	awaitWaiting(true)
	for range 2 * minConsecutiveChecks {
		monitor.check()
	}
	is.Equal(strings.Count(log.String(), telemetry.LogRequestsWaiting), 1)
	is.True(strings.Contains(log.String(), `"slots":1`))
	disconnect()
	for range requests {
		<-done
	}
	awaitWaiting(false)
	monitor.check()
	monitor.check()
	is.Equal(strings.Count(log.String(), telemetry.LogNoRequestWaiting), 1)
}
