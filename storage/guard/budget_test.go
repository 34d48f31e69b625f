package guard

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// All nodes together must stay under the limits in every second, at each size
// where a node's share allows a burst of one call or more within the share.
func TestNodesTogetherStayUnderTheLimit(t *testing.T) {
	for _, nodes := range []int{1, 9, 40} {
		most := busiestSecond(nodes, writesPerSecond, 10*time.Second)
		if most > writesPerSecond {
			t.Errorf("%d nodes: %d writes in a second", nodes, most)
		}
	}
	most := busiestSecond(320, readsPerSecond, 10*time.Second)
	if most > readsPerSecond {
		t.Errorf("320 nodes: %d reads in a second", most)
	}
}

// A node's share of writes at full size is under one a second, so that a burst
// of one call of every node at once is all that can't be spread.
func TestFullSizeRateIsUnderTheLimit(t *testing.T) {
	const nodes, seconds = 320, 100
	total := 0
	for range nodes {
		total += taken(writesPerSecond/float64(nodes), seconds)
	}
	if total > writesPerSecond*seconds {
		t.Errorf("%d writes in %d s", total, seconds)
	}
}

func taken(share float64, seconds int) int {
	now := time.Unix(0, 0)
	limit := newBudget(now, share)
	count := 0
	for range seconds * 100 {
		if limit.take(now, true) == 0 {
			count++
		}
		now = now.Add(10 * time.Millisecond)
	}
	return count
}

// busiestSecond lets every node call as often as it may, from a random moment on.
func busiestSecond(nodes, limit int, period time.Duration) int {
	random := rand.New(rand.NewPCG(1, uint64(nodes)))
	const step = 10 * time.Millisecond
	counts := make([]int, period/step)
	for range nodes {
		start := time.Unix(0, 0)
		share := newBudget(start, float64(limit)/float64(nodes))
		for i := random.IntN(len(counts) / 2); i < len(counts); i++ {
			for share.take(start.Add(time.Duration(i)*step), true) == 0 {
				counts[i]++
			}
		}
	}
	most := 0
	window := int(time.Second / step)
	for i := range len(counts) - window {
		sum := 0
		for _, count := range counts[i : i+window] {
			sum += count
		}
		most = max(most, sum)
	}
	return most
}

func TestReserveIsKeptForUrgentCalls(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	limit := newBudget(now, 100)
	ordinary := 0
	for limit.take(now, false) == 0 {
		ordinary++
	}
	urgent := 0
	for limit.take(now, true) == 0 {
		urgent++
	}
	is.True(ordinary > 0)
	is.True(float64(urgent) >= limit.burst*reserveShare-1) // the reserve was there
	wait := limit.take(now, false)
	is.True(wait > 0)
	is.Equal(limit.take(now.Add(wait), false), time.Duration(0)) // the wait was enough
}
