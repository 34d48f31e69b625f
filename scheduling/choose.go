package scheduling

import (
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/tables"
)

const (
	// probeLimit bounds the upstreams looked at for one decision.
	probeLimit = 64
	// choices is how many upstreams with room are compared.
	choices = 2
	// linkCost is the wait in the own data centre that sending a request over
	// a link is worth.
	linkCost = 50 * time.Millisecond
	// shortDemand is how long a short prompt keeps the reserve closed.
	shortDemand = 5 * time.Second
	whole       = 100
)

// prefillKey names the long prefills that one bound covers.
type prefillKey struct {
	planKey
	dataCentre string
}

// choose returns an upstream with room, or nil.
func (s *Scheduler) choose(now time.Time, w *waiting) *member {
	local := s.chooseIn(now, w, &w.pool.local)
	if local == nil && !s.mayLeave(now, w) {
		return nil
	}
	if local != nil && !s.maySkip(now, w, local) {
		return local
	}
	remote := s.chooseIn(now, w, &w.pool.remote)
	if local == nil || remote != nil && s.scoreFor(now, remote, w)+awayCost < s.scoreFor(now, local, w) {
		return remote
	}
	return local
}

// maySkip reports whether a link may be better than the best upstream of the
// own data centre: for a short prompt, while that upstream starts.
func (s *Scheduler) maySkip(now time.Time, w *waiting, local *member) bool {
	return w.request.Model != "" && !w.long() && local.state.ramp.Active(now, local.state.upstream.Ramp)
}

// mayLeave reports whether the wait in the own data centre is worth a link.
func (s *Scheduler) mayLeave(now time.Time, w *waiting) bool {
	if len(w.pool.local.all) == 0 || now.Sub(w.since) >= linkCost {
		return true
	}
	wait, known := w.pool.drain.PredictWait(s.ahead(w) + w.entry.Cost)
	return known && wait > linkCost || !s.suitsAnyLocal(w)
}

func (s *Scheduler) suitsAnyLocal(w *waiting) bool {
	return slices.ContainsFunc(w.pool.local.all, func(m *member) bool { return s.suits(m, w.request) })
}

func (s *Scheduler) chooseIn(now time.Time, w *waiting, side *group) *member {
	if len(side.free) == 0 {
		return nil
	}
	return s.withPrefix(now, w, side, s.best(now, w, side))
}

// best returns the upstream with room whose score is the least found.
func (s *Scheduler) best(now time.Time, w *waiting, side *group) *member {
	if w.request.Model != "" && !w.long() {
		return s.leastForShort(now, w, side)
	}
	found, _ := s.leastOfSome(now, w, side)
	return found
}

// leastOfSome compares a few random upstreams with room. Looking at all would
// send every node to the one whose stale report is the lowest.
func (s *Scheduler) leastOfSome(now time.Time, w *waiting, side *group) (*member, float64) {
	var best least
	count := len(side.free)
	start, step := s.random.IntN(count), s.stride(count)
	for i := 0; i < min(count, probeLimit) && best.found < choices; i++ {
		m := side.free[(start+i*step)%count]
		if s.hasRoom(now, m, w) {
			best.take(m, s.scoreFor(now, m, w))
		}
	}
	return best.member, best.score
}

// stride is a random step that visits every place: prime to the count.
func (s *Scheduler) stride(count int) int {
	if count < choices+1 {
		return 1
	}
	step := 1 + s.random.IntN(count-1)
	for divisor(step, count) != 1 {
		step++
	}
	return step
}

func divisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// suits reports whether the upstream could run the request when idle.
func (s *Scheduler) suits(m *member, request *Request) bool {
	upstream := m.state.upstream
	if !m.inService() || slices.Contains(request.Avoid, upstream.ID) {
		return false
	}
	return upstream.Kind == tables.ServiceUpstream || request.KVTokens() <= upstream.KVTokens
}

// hasRoom reports whether the request may start at the upstream now.
func (s *Scheduler) hasRoom(now time.Time, m *member, w *waiting) bool {
	u := m.state
	if !s.suits(m, w.request) || !m.breaker.Ready(now) || !u.backoff.Ready(now, w.request.KVTokens()) {
		return false
	}
	if len(w.request.Avoid) > 0 && u.ramp.Active(now, u.upstream.Ramp) {
		return false
	}
	if m.pool.held == u && m.pool.heldFor != w.request.ID {
		return false
	}
	if s.heldForGroup(now, m, w) {
		return false
	}
	slots, kvTokens := s.limit(now, u)
	if u.requests >= slots || u.rampFull(now) {
		return false
	}
	if u.upstream.Kind == tables.ServiceUpstream {
		return true
	}
	if u.kvTokens+w.request.KVTokens() > kvTokens {
		return false
	}
	_, others := u.elsewhere(now)
	if u.kvTokens+others+w.request.KVTokens() > u.upstream.KVTokens {
		return false
	}
	return !w.long() || s.longFits(now, m, w, slots, kvTokens)
}

// longFits keeps the reserve for short prompts, unless none came lately or the
// upstream is idle, and bounds the long prefills of a data centre.
func (s *Scheduler) longFits(now time.Time, m *member, w *waiting, slots, kvTokens int) bool {
	u := m.state
	reserve := m.pool.plan.Document.Reserve
	if s.prefillsFull(m, w.request) {
		return false
	}
	if u.requests == 0 || now.UnixNano()-m.pool.lastShort > int64(shortDemand) {
		return true
	}
	open := whole - reserve.ShortSlotsPercent
	if u.long >= max(1, slots*open/whole) {
		return false
	}
	return u.kvTokens+w.request.KVTokens() <= kvTokens*open/whole
}

func (s *Scheduler) prefillsFull(m *member, request *Request) bool {
	bound := m.pool.plan.Document.Reserve.LongPrefillPerDataCentre
	key := prefillKey{planOf(request), m.state.upstream.DataCentre}
	return bound > 0 && s.prefills[key] >= bound
}

// isLong reports whether a prompt counts as long. Calls to services never do.
func (s *Scheduler) isLong(p *pool, request *Request) bool {
	return request.Model != "" && request.PromptTokens > p.plan.Document.Reserve.ShortPromptTokens
}
