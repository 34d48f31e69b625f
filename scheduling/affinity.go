package scheduling

import (
	"math/bits"
	"time"

	"github.com/wigeontiller/wigeontiller/environment"
)

const (
	// affinitySlack is how much higher the load score of a prefix's upstream may
	// be than that of the best one. A load of 1 is full.
	affinitySlack = 0.25
	// maxAffinityCandidates bounds the upstreams that are hashed for one prefix.
	maxAffinityCandidates = 64
	// goldenRatio64 and splitMixMultiplier are the multipliers of mix.
	goldenRatio64      = 0x9e3779b97f4a7c15
	splitMixMultiplier = 0xbf58476d1ce4e5b9
)

// applyPrefixAffinity returns the upstream that all nodes choose for the prompt's
// prefix, or the second choice, unless its load exceeds that of the best by more
// than affinitySlack.
func (s *Scheduler) applyPrefixAffinity(now time.Time, w *waitingRequest, set *memberSet, best *member) *member {
	if best == nil || !w.usesAffinity() {
		return best
	}
	first, second := set.affinityTargets(w.request.PrefixHash)
	for _, target := range []*member{first, second} {
		if target != nil && s.canTake(now, target, w, best.loadScore(now)+affinitySlack) {
			return target
		}
	}
	return best
}

// usesAffinity reports whether the document's prefix affinity applies to the prompt.
func (w *waitingRequest) usesAffinity() bool {
	switch w.pool.plan.Document.PrefixAffinity {
	case environment.AllAffinity:
		return w.request.PrefixHash != 0
	case environment.LongAffinity:
		return w.request.PrefixHash != 0 && w.isLong()
	}
	return false
}

// canTake reports whether an upstream has room and a load score of at most maxScore.
func (s *Scheduler) canTake(now time.Time, m *member, w *waitingRequest, maxScore float64) bool {
	return m.freeIndex >= 0 && s.hasRoom(now, m, w) && m.loadScore(now) <= maxScore
}

// affinityTargets returns the two members that all nodes choose for a prefix, by
// rendezvous hashing over a bounded part of the hash ring. When a member goes out
// of service, its prefixes spread over the others; they return with it. Either
// result may be nil.
func (set *memberSet) affinityTargets(prefixHash uint64) (first, second *member) {
	count, start := len(set.all), 0
	if count > maxAffinityCandidates {
		count, start = maxAffinityCandidates, set.firstAtOrAfter(prefixHash)
	}
	var highest, secondHighest uint64
	for i := range count {
		m := set.all[(start+i)%len(set.all)]
		weight := mix(prefixHash ^ m.state.hash)
		switch {
		case first == nil || weight > highest:
			second, secondHighest = first, highest
			first, highest = m, weight
		case second == nil || weight > secondHighest:
			second, secondHighest = m, weight
		}
	}
	return first, second
}

// mix hashes a number so that nearby inputs give unrelated outputs.
func mix(x uint64) uint64 {
	high, low := bits.Mul64(x^goldenRatio64, goldenRatio64)
	high, low = bits.Mul64(high^low, splitMixMultiplier)
	return high ^ low
}
