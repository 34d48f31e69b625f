package scheduling

import (
	"math/bits"
	"time"

	"github.com/wigeontiller/wigeontiller/environment"
)

const (
	// affinitySlack is how much more loaded, as a part of its slots, the
	// upstream that prompts of one start go to may be.
	affinitySlack = 0.25
	// maxHolders bounds the upstreams that one prefix is weighed against.
	maxHolders = 64
	// oddNumber and mixNumber spread the bits of a product.
	oddNumber = 0x9e3779b97f4a7c15
	mixNumber = 0xbf58476d1ce4e5b9
)

// withPrefix returns the upstream that all nodes send prompts of this start to,
// or the one after it, when it is not much more loaded than the best.
func (s *Scheduler) withPrefix(now time.Time, w *waiting, side *group, best *member) *member {
	if best == nil || !w.usesAffinity() {
		return best
	}
	first, second := side.holders(w.request.PrefixHash)
	for _, holder := range []*member{first, second} {
		if holder != nil && s.bears(now, holder, w, best.loadScore(now)+affinitySlack) {
			return holder
		}
	}
	return best
}

// usesAffinity reports whether the document wants the prompt to go by its start.
func (w *waiting) usesAffinity() bool {
	switch w.pool.plan.Document.PrefixAffinity {
	case environment.AllAffinity:
		return w.request.PrefixHash != 0
	case environment.LongAffinity:
		return w.request.PrefixHash != 0 && w.long()
	}
	return false
}

// bears reports whether an upstream has room and no more load than most.
func (s *Scheduler) bears(now time.Time, m *member, w *waiting, most float64) bool {
	return m.free >= 0 && s.hasRoom(now, m, w) && m.loadScore(now) <= most
}

// holders returns the two members that all nodes choose for a prefix, by
// rendezvous hashing over a bounded part of the ring: when one leaves, its
// prefixes spread over the others, and return with it. Either may be nil.
func (g *group) holders(prefixHash uint64) (first, second *member) {
	count, start := len(g.all), 0
	if count > maxHolders {
		count, start = maxHolders, g.after(prefixHash)
	}
	var highest, next uint64
	for i := range count {
		m := g.all[(start+i)%len(g.all)]
		weight := mix(prefixHash ^ m.state.hash)
		switch {
		case first == nil || weight > highest:
			second, next = first, highest
			first, highest = m, weight
		case second == nil || weight > next:
			second, next = m, weight
		}
	}
	return first, second
}

// mix spreads the bits of a number.
func mix(x uint64) uint64 {
	high, low := bits.Mul64(x^oddNumber, oddNumber)
	high, low = bits.Mul64(high^low, mixNumber)
	return high ^ low
}
