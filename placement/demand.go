package placement

import (
	"time"

	"github.com/wigeontiller/wigeontiller/admission"
)

// Demands returns what waits and arrives at this node, by class.
func (s *Scheduler) Demands(time.Duration) []admission.Demand { return nil }

// ApplyDemands replaces what waits and arrives at other nodes, by source.
func (s *Scheduler) ApplyDemands(now time.Duration, source string, demands []admission.Demand) {
	s.demands.Apply(now, source, demands)
}
