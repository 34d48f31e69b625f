package placement

import (
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

const (
	// shortPrefillMs is the part of a pass that is left to the prefill of a short prompt.
	shortPrefillMs = 30
	// chunkMarginMs is the part of a pass that is left for what the model of passes misses.
	chunkMarginMs = 6
)

// pauseTargets returns, by service, the tightest pause target of the routes that lead to it, in
// ms. A pass that takes longer makes all streams of its engine late.
func pauseTargets(configuration *fleet.Configuration) map[string]float64 {
	targets := map[string]float64{}
	if configuration == nil {
		return targets
	}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		if route.Kind != fleet.Stream || route.PauseTarget <= 0 {
			continue
		}
		ms := float64(route.PauseTarget.Microseconds()) / 1000
		for _, target := range route.Targets {
			if known, ok := targets[target.Service]; !ok || ms < known {
				targets[target.Service] = ms
			}
		}
	}
	return targets
}

// pauseTargetMs is the tightest pause target of a service's streams.
func (s *Scheduler) pauseTargetMs(service *fleet.Service) float64 {
	if target, ok := s.pauseTargets[service.Name]; ok {
		return target
	}
	return s.config.MaxPassMs + shortPrefillMs
}

// maxPassMs is the longest pass that long prompts may cause at a service's engines.
func (s *Scheduler) maxPassMs(service *fleet.Service) float64 {
	return s.pauseTargetMs(service) - shortPrefillMs
}

// maxChunkMs is the longest prefill chunk that, together with an average pass of the engines,
// stays within the pause target of their streams.
func (s *Scheduler) maxChunkMs(now time.Duration, service *fleet.Service, engines []*load) float64 {
	total := 0.0
	for _, l := range engines {
		total += float64(l.nextPass(now).duration(0).Microseconds()) / 1000
	}
	idle := decodePassMs(service.Engine, 1, 0)
	average := max(idle, total/float64(max(1, len(engines))))
	return max(s.config.PrefillChunkMs, s.pauseTargetMs(service)-average-chunkMarginMs)
}
