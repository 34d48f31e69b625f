package edge

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/exchange"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// queueCheckInterval is how often the queue is checked: a small part of the shortest time
// after which callers disconnect, 2 s.
const queueCheckInterval = 250 * time.Millisecond

// minConsecutiveChecks is how many consecutive checks must find waiting requests before
// it is logged: a long prompt may wait for one or two passes under low load.
const minConsecutiveChecks = 2

// queueMonitor logs which services have waiting requests, and how full they are.
type queueMonitor struct {
	gate    *exchange.SchedulerRunner
	logger  zerolog.Logger
	metrics *telemetry.Metrics
	// consecutive counts, by service, the consecutive checks that found requests waiting.
	consecutive map[string]int
	divisions   divisionMonitor
}

func (q *queueMonitor) check() {
	var pressures map[string]*placement.Occupancy
	var divisions []placement.Division
	q.gate.Do(func(s *placement.Scheduler, now time.Duration) {
		pressures, divisions = s.Occupancies(now), s.Divisions()
	})
	q.divisions.record(divisions)
	waiting := 0
	for service, p := range pressures {
		waiting += p.Waiting
		q.consecutive[service]++
		if q.consecutive[service] == minConsecutiveChecks {
			q.logger.Info().Str("service", service).Int("waiting", p.Waiting).Int("upstreams", p.Upstreams).
				Int("slots", p.Slots).Int("occupied", p.Occupied).Msg(telemetry.LogRequestsWaiting)
		}
	}
	for service, checks := range q.consecutive {
		if pressures[service] != nil {
			continue
		}
		delete(q.consecutive, service)
		if checks >= minConsecutiveChecks {
			q.logger.Info().Str("service", service).Dur("waited_ms", time.Duration(checks)*queueCheckInterval).Msg(telemetry.LogNoRequestWaiting)
		}
	}
	q.metrics.Gauge("wigeontiller_waiting_requests", int64(waiting))
}
