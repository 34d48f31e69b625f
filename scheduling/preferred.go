package scheduling

import "time"

const (
	// preferredCompared is how many preferred upstreams with room are compared.
	preferredCompared = 8
	// switchMargin is how much lower another upstream's score must be than that of
	// the best preferred or local one for a short prompt to go there. Its unit is
	// the prefill time of the longest short prompt.
	switchMargin = 0.3
)

// SetPosition sets the node's index, from 0, among the live nodes of its data
// centre, and their number. Each node prefers other engines for short prompts, so
// that it knows nearly all of their pending prefill. Wrong positions make choices
// worse for a while and do no other harm. With 0 nodes, the default, no engine is
// preferred.
func (s *Scheduler) SetPosition(position, nodes int) {
	if s.position == position && s.nodes == nodes {
		return
	}
	s.position, s.nodes = position, nodes
	for _, p := range s.orderedPools {
		p.local.setPreferred(position, nodes)
		p.remote.setPreferred(position, nodes)
	}
}

// setPreferred assigns each upstream to one node, or to several when there are
// more nodes than upstreams.
func (set *memberSet) setPreferred(position, nodes int) {
	set.preferred = nil
	count := len(set.all)
	if nodes <= 0 || count == 0 {
		return
	}
	for i := position % min(nodes, count); i < count; i += nodes {
		set.preferred = append(set.preferred, set.all[i])
	}
}

// chooseForShort compares preferred upstreams and a few random ones.
func (s *Scheduler) chooseForShort(now time.Time, w *waitingRequest, set *memberSet) *member {
	preferred, preferredScore := s.bestOfPreferred(now, w, set)
	other, otherScore := s.bestOfRandom(now, w, set)
	if preferred == nil || other != nil && otherScore+switchMargin < preferredScore {
		return other
	}
	return preferred
}

func (s *Scheduler) bestOfPreferred(now time.Time, w *waitingRequest, set *memberSet) (*member, float64) {
	count := len(set.preferred)
	if count == 0 {
		return nil, 0
	}
	var best bestCandidate
	start := s.random.IntN(count)
	for i := 0; i < min(count, probeLimit) && best.compared < preferredCompared; i++ {
		m := set.preferred[(start+i)%count]
		if m.freeIndex >= 0 && s.hasRoom(now, m, w) {
			best.consider(m, s.scoreFor(now, m, w))
		}
	}
	return best.member, best.score
}

// bestCandidate is the best of the upstreams compared so far.
type bestCandidate struct {
	member   *member
	score    float64
	compared int
}

func (b *bestCandidate) consider(m *member, score float64) {
	b.compared++
	if b.member == nil || score < b.score {
		b.member, b.score = m, score
	}
}
