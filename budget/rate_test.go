package budget

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRateSharesBounded asks that the unexpired shares of an organisation's
// token rate never sum to more than the rate, whatever becomes of keepers, and
// that it is all granted once the faults end. A node's share of the rate runs
// into a bucket of its own, so the tokens over all nodes in a time T are at
// most rate x T plus the buckets.
func TestRateSharesBounded(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWorld(seed, 3, 3, 60)
			w.asRates(10_000)
			w.kinds = faultKinds[seed%4]
			w.loss = []float64{0, 0.05, 0.3}[seed%3]
			w.table.loss = w.loss
			for w.now < 60*time.Second {
				w.fault()
				w.offer()
				w.step()
				is.True(w.mostRate() <= 10_000)
			}
			w.quieten()
			reached := 0
			for end := w.now + 20*time.Second; w.now < end; {
				w.saturate()
				w.step()
				is.True(w.mostRate() <= 10_000)
				reached = max(reached, w.mostRate())
			}
			is.True(reached >= 9_990)
		})
	}
}

// asRates turns the resources into token rates.
func (w *world) asRates(rate int) {
	for i := range w.resources {
		r := &w.resources[i]
		r.Capacity, r.Ramp, r.Rate = Amount{Slots: rate}, Ramp{}, true
		r.NodeSlotsPercent, r.FallbackPercent = 100, 0
	}
	for _, n := range w.nodes {
		w.configure(n)
	}
}

// mostRate is the largest sum of unexpired shares of any resource.
func (w *world) mostRate() int {
	most := 0
	for _, r := range w.resources {
		sum := 0
		for _, n := range w.nodes {
			if !n.dead {
				share, _ := n.client.holdings[r.Name].current(n.clock(w.now))
				sum += share.Slots
			}
		}
		most = max(most, sum)
	}
	return most
}
