package scheduling

import (
	"time"

	"github.com/wigeontiller/wigeontiller/scheduling/fairqueue"
)

const (
	// lookAhead is how many organisations' first requests are tried when the
	// first of all can't start for a reason of its own.
	lookAhead = 8
	// maxPassed is how often others may go before a request.
	maxPassed = 16
)

// verdict is why a waiting request did not start.
type verdict int

const (
	started verdict = iota
	noRoom
	// apart means that only this request can't start: it avoids upstreams.
	apart
)

// blocked says which length classes wait for room in this round.
type blocked [fairqueue.Classes]bool

// place starts what can start in one pool.
func (s *Scheduler) place(now time.Time, p *pool) {
	p.drain.Advance(now, p.queue.Len() > 0)
	var stop blocked
	for level := fairqueue.Levels - 1; level >= 0; level-- {
		s.placeLevel(now, p, level, &stop)
	}
}

func (s *Scheduler) placeLevel(now time.Time, p *pool, level int, stop *blocked) {
	skipped := blocked{}
	for {
		class, ok := nextClass(p, level, stop, &skipped)
		if !ok {
			return
		}
		switch s.placeHead(now, p, level, class) {
		case started:
		case noRoom:
			stop[class] = true
			if class == shortClass {
				stop[longClass] = true
			}
		case apart:
			skipped[class] = true
		}
	}
}

// nextClass picks the class whose first organisation was served least.
func nextClass(p *pool, level int, stop, skipped *blocked) (int, bool) {
	best := -1
	for class := range fairqueue.Classes {
		if stop[class] || skipped[class] || p.queue.Head(level, class) == nil {
			continue
		}
		if best < 0 || p.queue.StartTag(level, class) < p.queue.StartTag(level, best) {
			best = class
		}
	}
	return best, best >= 0
}

// placeHead starts the first request of a class, or one just behind it.
func (s *Scheduler) placeHead(now time.Time, p *pool, level, class int) verdict {
	head := p.queue.Head(level, class)
	if s.tryStart(now, head.Value) {
		return started
	}
	private := len(head.Value.request.Avoid) > 0 || class == longClass
	if !private {
		return noRoom
	}
	if head.TimesOvertaken >= maxPassed && !needsGroup(p, head.Value.request) {
		s.hold(now, p, head.Value)
		if class == longClass {
			return noRoom
		}
	}
	for _, next := range p.queue.Heads(level, class, lookAhead) {
		if next != head && s.tryStart(now, next.Value) {
			head.TimesOvertaken++
			return started
		}
	}
	if class == longClass {
		head.TimesOvertaken++
	}
	return apart
}

// hold keeps one upstream from filling up with short prompts while a long one
// has been passed over too often.
func (s *Scheduler) hold(now time.Time, p *pool, w *waiting) {
	if p.held != nil || !w.long() {
		return
	}
	// Holding the only engine stops all short prompts: only near the deadline.
	if len(p.local.all) == 1 && now.Before(w.promoteAt()) {
		return
	}
	for _, m := range p.local.all {
		slots, kvTokens := s.limit(now, m.state)
		fits := slots > 0 && w.request.KVTokens() <= kvTokens && m.breaker.Ready(now)
		if fits && s.suits(m, w.request) && !s.prefillsFull(m, w.request) {
			p.held, p.heldFor = m.state, w.request.ID
			return
		}
	}
}

func (s *Scheduler) tryStart(now time.Time, w *waiting) bool {
	if needsGroup(w.pool, w.request) {
		return s.tryGroup(now, w)
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
