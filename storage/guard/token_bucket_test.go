package guard

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Checks that all nodes together stay within the limits in every second, at fleet
// sizes where a node's share has room for a burst of at least one call.
func TestTokenBucketsOfAllNodesStayWithinLimitPerSecond(t *testing.T) {
	for _, nodes := range []int{1, 9, 40} {
		most := busiestSecond(nodes, writesPerSecond, 10*time.Second)
		if most > writesPerSecond {
			t.Errorf("%d nodes: %d writes in one second exceed the limit", nodes, most)
		}
	}
	most := busiestSecond(320, readsPerSecond, 10*time.Second)
	if most > readsPerSecond {
		t.Errorf("320 nodes: %d reads in one second exceed the limit", most)
	}
}

// At the largest fleet a node's share of writes is below one per second. Only the
// burst of one call per node, if all nodes call at once, can't be spread.
func TestTokenBucketsOfLargestFleetStayWithinRate(t *testing.T) {
	const nodes, seconds = 320, 100
	total := 0
	for range nodes {
		total += tokensTaken(writesPerSecond/float64(nodes), seconds)
	}
	if total > writesPerSecond*seconds {
		t.Errorf("%d writes in %d s exceed the rate", total, seconds)
	}
}

func tokensTaken(share float64, seconds int) int {
	now := time.Unix(0, 0)
	limit := newTokenBucket(now, share)
	count := 0
	for range seconds * 100 {
		if limit.take(now, true) == 0 {
			count++
		}
		now = now.Add(10 * time.Millisecond)
	}
	return count
}

// busiestSecond lets every node call as often as its bucket allows, starting at a
// random time, and returns the most calls in any second.
func busiestSecond(nodes, limit int, period time.Duration) int {
	random := rand.New(rand.NewPCG(1, uint64(nodes)))
	const step = 10 * time.Millisecond
	counts := make([]int, period/step)
	for range nodes {
		start := time.Unix(0, 0)
		share := newTokenBucket(start, float64(limit)/float64(nodes))
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

func TestTokenBucketKeepsReserveForUrgentCalls(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	limit := newTokenBucket(now, 100)
	ordinary := 0
	for limit.take(now, false) == 0 {
		ordinary++
	}
	urgent := 0
	for limit.take(now, true) == 0 {
		urgent++
	}
	is.True(ordinary > 0)
	is.True(float64(urgent) >= limit.burst*reserveShare-1) // the reserve was untouched
	wait := limit.take(now, false)
	is.True(wait > 0)
	is.Equal(limit.take(now.Add(wait), false), time.Duration(0)) // the returned wait is sufficient
}
