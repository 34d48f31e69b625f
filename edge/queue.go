package edge

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/exchange"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// queueInterval is how often the queue is looked at: a small part of the shortest
// time after which callers leave, 2 s.
const queueInterval = 250 * time.Millisecond

// queueLooks is how many looks in a row find requests waiting before it is logged:
// a long prompt may wait for a pass or two in calm times.
const queueLooks = 2

// queueWatch tells which services have requests that wait, and how full they are.
type queueWatch struct {
	gate    *exchange.SchedulerRunner
	logger  zerolog.Logger
	metrics *telemetry.Metrics
	// looks counts the looks in a row that found requests of a service waiting.
	looks map[string]int
}

func (q *queueWatch) look() {
	var full map[string]*placement.Pressure
	q.gate.Do(func(s *placement.Scheduler, now time.Duration) { full = s.Pressures(now) })
	waiting := 0
	for service, p := range full {
		waiting += p.Waiting
		q.looks[service]++
		if q.looks[service] == queueLooks {
			q.logger.Info().Str("service", service).Int("waiting", p.Waiting).Int("upstreams", p.Upstreams).
				Int("slots", p.Slots).Int("occupied", p.Occupied).Msg(telemetry.LogRequestsWait)
		}
	}
	for service, looks := range q.looks {
		if full[service] != nil {
			continue
		}
		delete(q.looks, service)
		if looks >= queueLooks {
			q.logger.Info().Str("service", service).Dur("waited_ms", time.Duration(looks)*queueInterval).Msg(telemetry.LogNoneWaits)
		}
	}
	q.metrics.Gauge("wigeontiller_waiting_requests", int64(waiting))
}
