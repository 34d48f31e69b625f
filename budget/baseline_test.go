package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	baselineSlots = 256
	// waitingPerNode is the number of requests that each node could start at
	// once.
	waitingPerNode = 40
)

// baselineRun is the number of nodes, the time of the upstream's cold start,
// and how long the load is observed after it.
type baselineRun struct {
	nodes              int
	reset, observation time.Duration
}

// baselineRuns observes the large fleet just past the first sample at 3 s; the
// small fleet covers the whole ramp.
func baselineRuns() []baselineRun {
	return []baselineRun{
		{9, 6 * time.Second, 36 * time.Second},
		{320, 6 * time.Second, 3100 * time.Millisecond},
	}
}

// TestSharedRampStaysWithinBound measures the load on an upstream that starts
// cold under full demand: with shares from the allocator, and with a separate
// slow start on each node.
func TestSharedRampStaysWithinBound(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	t.Log("| nodes | time after the reset | bound | allocator | slow start per node |")
	for _, run := range baselineRuns() {
		s := newSimulation(1, 1, run.nodes, baselineSlots)
		resource := s.resources[0]
		for s.now < run.reset {
			s.saturate()
			s.step()
		}
		is.True(s.exposure(resource.Name) > 0) // shares were in force before the reset
		s.resets[resource.Name] = s.now
		for _, n := range s.nodes {
			n.observed[resource.Name] = s.now
			for _, d := range n.demand {
				d.ends = nil // the reset ended the requests
			}
		}
		reached := 0
		for s.now < run.reset+run.observation {
			s.saturate()
			s.step()
			age := s.now - run.reset
			if age > 31*time.Second {
				reached = max(reached, s.exposure(resource.Name))
			}
			bound := resource.Capacity.Scale(resource.Ramp.Fraction(age)).Slots
			if age > 2*time.Second {
				is.True(s.exposure(resource.Name) <= bound) // two exchanges after the reset the sum is within its bound
			}
			if age%(5*time.Second) == 3*time.Second {
				t.Logf("| %d | %v | %d | %d | %d |", run.nodes, age, bound, s.exposure(resource.Name), run.nodes*min(waitingPerNode, bound))
			}
		}
		if run.observation > resource.Ramp.Duration {
			is.Equal(reached, baselineSlots) // the whole capacity is granted after the ramp
		}
	}
}
