package scheduling

import "time"

const (
	// homeChoices bounds the home upstreams that are compared for one decision.
	homeChoices = 8
	// awayCost is how much worse the score of the best home upstream must be for
	// a short prompt to go elsewhere, as a part of the longest short prompt.
	awayCost = 0.3
)

// SetPosition tells the node's position, from 0, among the live nodes of its
// data centre, of which there are nodes. Each of them prefers other engines for
// short prompts, its home upstreams, and so knows nearly all that they have to
// read. Positions that are wrong for a while only make choices worse. Without
// a call, and for 0 nodes, there are no home upstreams.
func (s *Scheduler) SetPosition(position, nodes int) {
	if s.position == position && s.nodes == nodes {
		return
	}
	s.position, s.nodes = position, nodes
	for _, p := range s.orderedPools {
		p.local.setHome(position, nodes)
		p.remote.setHome(position, nodes)
	}
}

// setHome takes each upstream for one node, or for several when there are more
// nodes than upstreams.
func (g *group) setHome(position, nodes int) {
	g.home = nil
	count := len(g.all)
	if nodes <= 0 || count == 0 {
		return
	}
	for i := position % min(nodes, count); i < count; i += nodes {
		g.home = append(g.home, g.all[i])
	}
}

// leastForShort compares home upstreams and a few others.
func (s *Scheduler) leastForShort(now time.Time, w *waiting, side *group) *member {
	home, homeScore := s.leastOfHome(now, w, side)
	other, score := s.leastOfSome(now, w, side)
	if home == nil || other != nil && score+awayCost < homeScore {
		return other
	}
	return home
}

func (s *Scheduler) leastOfHome(now time.Time, w *waiting, side *group) (*member, float64) {
	count := len(side.home)
	if count == 0 {
		return nil, 0
	}
	var best least
	start := s.random.IntN(count)
	for i := 0; i < min(count, probeLimit) && best.found < homeChoices; i++ {
		m := side.home[(start+i)%count]
		if m.free >= 0 && s.hasRoom(now, m, w) {
			best.take(m, s.scoreFor(now, m, w))
		}
	}
	return best.member, best.score
}

// least is the best upstream of those compared.
type least struct {
	member *member
	score  float64
	found  int
}

func (l *least) take(m *member, score float64) {
	l.found++
	if l.member == nil || score < l.score {
		l.member, l.score = m, score
	}
}
