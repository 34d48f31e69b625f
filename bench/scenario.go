package bench

import (
	"time"

	"github.com/wigeontiller/wigeontiller/bench/policy"
	"github.com/wigeontiller/wigeontiller/environment"
)

// Scenario is what happens during a run.
type Scenario string

// The scenarios. All but ShortOnly have the same arrivals.
const (
	// Steady has no faults.
	Steady Scenario = "steady"
	// ShortOnly is Steady without the prompts that are not short.
	ShortOnly Scenario = "short-only"
	// DataCentreOut takes a data centre out and brings it back, cold.
	DataCentreOut Scenario = "data-centre-out"
	// UpstreamFaults lets upstreams die and go cold unannounced.
	UpstreamFaults Scenario = "upstream-faults"
	// Random has every fault at once, and callers that leave.
	Random Scenario = "random"
)

// Scenarios lists what a measurement runs.
func Scenarios() []Scenario {
	return []Scenario{Steady, ShortOnly, DataCentreOut, UpstreamFaults}
}

// Config is one run.
type Config struct {
	Seed       uint64
	Deployment Deployment
	Policy     policy.Name
	Scenario   Scenario
	// Affinity replaces that of the document; empty leaves it.
	Affinity environment.PrefixAffinity
}

// The parts of a run at which a data centre leaves and returns, in percent.
const (
	outPercent  = 30
	backPercent = 60
)

const (
	// engineCrashTime, engineColdTime and serviceCrashTime are the mean times
	// between the faults of one upstream.
	engineCrashTime  = 200 * time.Second
	engineColdTime   = 300 * time.Second
	serviceCrashTime = 60 * time.Second
	// Random faults come at these intervals over the whole site.
	randomFaultInterval = 2 * time.Second
	randomOutInterval   = 20 * time.Second
	leavingShare        = 0.3
	cancelLossShare     = 0.2
	maxReportLag        = 5 * time.Second
	stallTime           = 45 * time.Second
	// The ranges of a random run's nodes and load.
	maxRandomNodes = 9
	minRandomLoad  = 0.3
	maxRandomLoad  = 1.5
)

func (c Config) outAt() time.Duration {
	return c.Deployment.Duration * outPercent / 100
}

func (c Config) backAt() time.Duration {
	return c.Deployment.Duration * backPercent / 100
}

// planFaults adds the scenario's events to the loop.
func (s *site) planFaults() {
	duration := s.config.Deployment.Duration
	switch s.config.Scenario {
	case DataCentreOut:
		s.loop.At(s.config.outAt(), func() { s.setOut(dataCentreName(0), true) })
		s.loop.At(s.config.backAt(), func() { s.setOut(dataCentreName(0), false) })
	case UpstreamFaults:
		engines, services := time.Duration(len(s.engines)), time.Duration(len(s.services))
		every(engineCrashTime/engines, duration, func(at time.Duration) { s.loop.At(at, s.crashEngine) })
		every(engineColdTime/engines, duration, func(at time.Duration) { s.loop.At(at, s.coolEngine) })
		every(serviceCrashTime/services, duration, func(at time.Duration) { s.loop.At(at, s.crashService) })
	case Random:
		every(randomFaultInterval, duration, s.planRandomFault)
		every(randomOutInterval, duration, func(at time.Duration) { s.loop.At(at, s.toggleDataCentre) })
	}
}

func every(interval, duration time.Duration, plan func(time.Duration)) {
	for at := interval; at < duration; at += interval {
		plan(at)
	}
}

func (s *site) planRandomFault(at time.Duration) {
	at += time.Duration(s.faults.Int64N(int64(randomFaultInterval)))
	faults := []func(){s.crashEngine, s.coolEngine, s.crashService, s.stallEngine}
	s.loop.At(at, faults[s.faults.IntN(len(faults))])
}

func (s *site) crashEngine() {
	s.engines[s.faults.IntN(len(s.engines))].engine.Crash()
}

func (s *site) coolEngine() {
	s.engines[s.faults.IntN(len(s.engines))].engine.GoCold(s.loop.Now())
}

func (s *site) stallEngine() {
	s.engines[s.faults.IntN(len(s.engines))].engine.Stall(stallTime)
}

func (s *site) crashService() {
	s.services[s.faults.IntN(len(s.services))].service.Crash()
}

func (s *site) toggleDataCentre() {
	name := dataCentreName(s.faults.IntN(s.config.Deployment.DataCentres))
	s.setOut(name, !s.out[name])
}
