package budget

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRateSharesNeverExceedRate checks that the unexpired shares of an
// organisation's token rate never sum to more than the rate, whatever happens
// to allocators, and that all of it is granted once the faults end. A node's
// share of the rate fills its own token bucket, so over all nodes the tokens in
// a time T are at most rate x T plus the buckets.
func TestRateSharesNeverExceedRate(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSimulation(seed, 3, 3, 60)
			s.convertToRates(10_000)
			s.kinds = faultKinds[seed%4]
			s.loss = []float64{0, 0.05, 0.3}[seed%3]
			s.table.loss = s.loss
			for s.now < 60*time.Second {
				s.fault()
				s.addDemand()
				s.step()
				is.True(s.maxRateSum() <= 10_000)
			}
			s.endFaults()
			reached := 0
			for end := s.now + 20*time.Second; s.now < end; {
				s.saturate()
				s.step()
				is.True(s.maxRateSum() <= 10_000)
				reached = max(reached, s.maxRateSum())
			}
			is.True(reached >= 9_990)
		})
	}
}

// convertToRates turns the resources into token rates.
func (s *simulation) convertToRates(rate int) {
	for i := range s.resources {
		r := &s.resources[i]
		r.Capacity, r.Ramp, r.Rate = Amount{Slots: rate}, Ramp{}, true
		r.NodeSlotsPercent, r.FallbackPercent = 100, 0
	}
	for _, n := range s.nodes {
		s.configure(n)
	}
}

// maxRateSum returns the largest sum of unexpired shares of any resource.
func (s *simulation) maxRateSum() int {
	most := 0
	for _, r := range s.resources {
		sum := 0
		for _, n := range s.nodes {
			if !n.dead {
				share, _ := n.client.resources[r.Name].currentShare(n.clock(s.now))
				sum += share.Slots
			}
		}
		most = max(most, sum)
	}
	return most
}
