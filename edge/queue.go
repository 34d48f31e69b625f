package edge

import (
	"fmt"
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
		label := fmt.Sprintf("{service=%q}", service)
		q.metrics.Gauge("wigeontiller_fleet_waiting_on_time"+label, int64(p.Pressure.OnTime))
		q.metrics.Gauge("wigeontiller_fleet_waiting_late"+label, int64(p.Pressure.Late))
		q.metrics.Gauge("wigeontiller_fleet_arrivals_per_second"+label, int64(p.Pressure.ArrivalsPerSecond))
		q.metrics.Gauge("wigeontiller_places_per_second"+label, int64(p.Pressure.PlacesPerSecond))
		q.consecutive[service]++
		if q.consecutive[service] == minConsecutiveChecks {
			q.logger.Info().Str("service", service).Int("waiting", p.Waiting).Int("upstreams", p.Upstreams).
				Int("slots", p.Slots).Int("occupied", p.Occupied).Int("fleet_waiting_on_time", p.Pressure.OnTime).Int("fleet_waiting_late", p.Pressure.Late).
				Float64("fleet_arrivals_per_second", p.Pressure.ArrivalsPerSecond).Float64("places_per_second", p.Pressure.PlacesPerSecond).Msg(telemetry.LogRequestsWaiting)
		}
	}
	for service, checks := range q.consecutive {
		if pressures[service] != nil {
			continue
		}
		delete(q.consecutive, service)
		q.metrics.Gauge(fmt.Sprintf("wigeontiller_fleet_waiting_on_time{service=%q}", service), 0)
		q.metrics.Gauge(fmt.Sprintf("wigeontiller_fleet_waiting_late{service=%q}", service), 0)
		if checks >= minConsecutiveChecks {
			q.logger.Info().Str("service", service).Dur("waited_ms", time.Duration(checks)*queueCheckInterval).Msg(telemetry.LogNoRequestWaiting)
		}
	}
	q.metrics.Gauge("wigeontiller_waiting_requests", int64(waiting))
}
