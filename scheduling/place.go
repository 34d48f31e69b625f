package scheduling

import (
	"time"

	"github.com/wigeontiller/wigeontiller/scheduling/fairqueue"
)

const (
	// maxHeadsTried is how many organisations' first requests are tried when the
	// head of the class can't start for a reason of its own.
	maxHeadsTried = 8
	// maxOvertakes is how often others may overtake a request before it holds an
	// upstream.
	maxOvertakes = 16
)

// startResult is the result of an attempt to start a waiting request.
type startResult int

const (
	started startResult = iota
	noRoom
	// headBlocked means that only the head can't start: it avoids upstreams or has a
	// long prompt. Others of its class may.
	headBlocked
)

// classSet is a set of length classes.
type classSet [fairqueue.Classes]bool

// place starts the waiting requests of a pool that can start now.
func (s *Scheduler) place(now time.Time, p *pool) {
	p.throughput.Advance(now, p.queue.Len() > 0)
	var blocked classSet
	for level := fairqueue.Levels - 1; level >= 0; level-- {
		s.placeLevel(now, p, level, &blocked)
	}
}

func (s *Scheduler) placeLevel(now time.Time, p *pool, level int, blocked *classSet) {
	skipped := classSet{}
	for {
		class, ok := nextClass(p, level, blocked, &skipped)
		if !ok {
			return
		}
		switch s.placeHead(now, p, level, class) {
		case started:
		case noRoom:
			blocked[class] = true
			if class == shortClass {
				blocked[longClass] = true
			}
		case headBlocked:
			skipped[class] = true
		}
	}
}

// nextClass returns the class whose head belongs to the least served organisation.
func nextClass(p *pool, level int, blocked, skipped *classSet) (int, bool) {
	best := -1
	for class := range fairqueue.Classes {
		if blocked[class] || skipped[class] || p.queue.Head(level, class) == nil {
			continue
		}
		if best < 0 || p.queue.StartTag(level, class) < p.queue.StartTag(level, best) {
			best = class
		}
	}
	return best, best >= 0
}

// placeHead starts the head of a class, or a later request when only the head is
// blocked.
func (s *Scheduler) placeHead(now time.Time, p *pool, level, class int) startResult {
	head := p.queue.Head(level, class)
	if s.tryStart(now, head.Value) {
		return started
	}
	headOnly := len(head.Value.request.Avoid) > 0 || class == longClass
	if !headOnly {
		return noRoom
	}
	if head.TimesOvertaken >= maxOvertakes && !needsGroup(p, head.Value.request) {
		s.hold(now, p, head.Value)
		if class == longClass {
			return noRoom
		}
	}
	for _, next := range p.queue.Heads(level, class, maxHeadsTried) {
		if next != head && s.tryStart(now, next.Value) {
			head.TimesOvertaken++
			return started
		}
	}
	if class == longClass {
		head.TimesOvertaken++
	}
	return headBlocked
}

// hold keeps one upstream free of other requests for a long prompt that was
// overtaken too often.
func (s *Scheduler) hold(now time.Time, p *pool, w *waitingRequest) {
	if p.heldUpstream != nil || !w.isLong() {
		return
	}
	// A hold on the only engine stops all short prompts: only near the deadline.
	if len(p.local.all) == 1 && now.Before(w.promoteAt()) {
		return
	}
	for _, m := range p.local.all {
		slots, kvTokens := s.limit(now, m.state)
		fits := slots > 0 && w.request.KVTokens() <= kvTokens && m.breaker.Ready(now)
		if fits && s.suits(m, w.request) && !s.longPrefillLimitReached(m, w.request) {
			p.heldUpstream, p.heldForRequestID = m.state, w.request.ID
			return
		}
	}
}

func (s *Scheduler) tryStart(now time.Time, w *waitingRequest) bool {
	if needsGroup(w.pool, w.request) {
		return s.tryStartGroup(now, w)
	}
	m := s.choose(now, w)
	if m == nil {
		return false
	}
	s.start(now, w, m)
	s.pending = append(s.pending, Decision{
		RequestID: w.request.ID,
		Kind:      Placed,
		Upstream:  m.state.upstream,
		Priority:  w.enginePriority(),
	})
	return true
}
