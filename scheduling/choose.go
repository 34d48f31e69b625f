package scheduling

import (
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/tables"
)

const (
	// probeLimit bounds the upstreams examined for one decision.
	probeLimit = 64
	// randomCompared is how many randomly picked upstreams with room are compared.
	randomCompared = 2
	// minWaitForRemote is the wait in the local data centre from which a request
	// may go to another one over a link.
	minWaitForRemote = 50 * time.Millisecond
	// reserveIdleTimeout is how long after the last short prompt the reserve for
	// short prompts stays closed to long ones.
	reserveIdleTimeout = 5 * time.Second
	wholePercent       = 100
)

// longPrefillKey identifies the long prefills that one limit covers.
type longPrefillKey struct {
	laneKey
	dataCentre string
}

// choose returns an upstream with room, or nil.
func (s *Scheduler) choose(now time.Time, w *waitingRequest) *member {
	local := s.chooseIn(now, w, &w.pool.local)
	if local == nil && !s.mayUseRemote(now, w) {
		return nil
	}
	if local != nil && !s.mayPreferRemote(now, w, local) {
		return local
	}
	remote := s.chooseIn(now, w, &w.pool.remote)
	if local == nil || remote != nil && s.scoreFor(now, remote, w)+switchMargin < s.scoreFor(now, local, w) {
		return remote
	}
	return local
}

// mayPreferRemote reports whether an upstream of another data centre may be
// better than the best local one: for a short prompt while that one is ramping.
func (s *Scheduler) mayPreferRemote(now time.Time, w *waitingRequest, local *member) bool {
	return w.request.Model != "" && !w.isLong() && local.state.ramp.Active(now, local.state.upstream.Ramp)
}

// mayUseRemote reports whether the wait in the local data centre, elapsed or
// expected, justifies using a link, or no local upstream suits.
func (s *Scheduler) mayUseRemote(now time.Time, w *waitingRequest) bool {
	if len(w.pool.local.all) == 0 || now.Sub(w.waitingSince) >= minWaitForRemote {
		return true
	}
	wait, known := w.pool.throughput.PredictWait(s.tokensAhead(w) + w.entry.Cost)
	return known && wait > minWaitForRemote || !s.anyLocalSuits(w)
}

func (s *Scheduler) anyLocalSuits(w *waitingRequest) bool {
	return slices.ContainsFunc(w.pool.local.all, func(m *member) bool { return s.suits(m, w.request) })
}

func (s *Scheduler) chooseIn(now time.Time, w *waitingRequest, set *memberSet) *member {
	if len(set.free) == 0 {
		return nil
	}
	return s.applyPrefixAffinity(now, w, set, s.chooseByScore(now, w, set))
}

// chooseByScore returns the upstream with room and the lowest score found.
func (s *Scheduler) chooseByScore(now time.Time, w *waitingRequest, set *memberSet) *member {
	if w.request.Model != "" && !w.isLong() {
		return s.chooseForShort(now, w, set)
	}
	found, _ := s.bestOfRandom(now, w, set)
	return found
}

// bestOfRandom compares a few random upstreams with room. Comparing all would
// send every node to the upstream with the lowest stale report.
func (s *Scheduler) bestOfRandom(now time.Time, w *waitingRequest, set *memberSet) (*member, float64) {
	var best bestCandidate
	count := len(set.free)
	start, step := s.random.IntN(count), s.stride(count)
	for i := 0; i < min(count, probeLimit) && best.compared < randomCompared; i++ {
		m := set.free[(start+i*step)%count]
		if s.hasRoom(now, m, w) {
			best.consider(m, s.scoreFor(now, m, w))
		}
	}
	return best.member, best.score
}

// stride returns a random step that is coprime to count, so that it visits every
// index.
func (s *Scheduler) stride(count int) int {
	if count < randomCompared+1 {
		return 1
	}
	step := 1 + s.random.IntN(count-1)
	for greatestCommonDivisor(step, count) != 1 {
		step++
	}
	return step
}

func greatestCommonDivisor(a, b int) int {
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
func (s *Scheduler) hasRoom(now time.Time, m *member, w *waitingRequest) bool {
	u := m.state
	if !s.suits(m, w.request) || !m.breaker.Ready(now) || !u.backoff.Ready(now, w.request.KVTokens()) {
		return false
	}
	if len(w.request.Avoid) > 0 && u.ramp.Active(now, u.upstream.Ramp) {
		return false
	}
	if m.pool.heldUpstream == u && m.pool.heldForRequestID != w.request.ID {
		return false
	}
	if s.heldForGroup(now, m, w) {
		return false
	}
	slots, kvTokens := s.limit(now, u)
	if u.requests >= slots || u.rampLimitReached(now) {
		return false
	}
	if u.upstream.Kind == tables.ServiceUpstream {
		return true
	}
	if u.kvTokens+w.request.KVTokens() > kvTokens {
		return false
	}
	_, otherKVTokens := u.otherLoad(now)
	if u.kvTokens+otherKVTokens+w.request.KVTokens() > u.upstream.KVTokens {
		return false
	}
	return !w.isLong() || s.longPromptFits(now, m, w, slots, kvTokens)
}

// longPromptFits enforces the long prefill limit of a data centre and the reserve
// for short prompts. The reserve doesn't apply to an idle upstream, nor when no
// short prompt came lately.
func (s *Scheduler) longPromptFits(now time.Time, m *member, w *waitingRequest, slots, kvTokens int) bool {
	u := m.state
	reserve := m.pool.plan.Document.Reserve
	if s.longPrefillLimitReached(m, w.request) {
		return false
	}
	if u.requests == 0 || now.UnixNano()-m.pool.lastShortNanos > int64(reserveIdleTimeout) {
		return true
	}
	openPercent := wholePercent - reserve.ShortSlotsPercent
	if u.longRequests >= max(1, slots*openPercent/wholePercent) {
		return false
	}
	return u.kvTokens+w.request.KVTokens() <= kvTokens*openPercent/wholePercent
}

func (s *Scheduler) longPrefillLimitReached(m *member, request *Request) bool {
	limit := m.pool.plan.Document.Reserve.LongPrefillPerDataCentre
	key := longPrefillKey{laneKeyOf(request), m.state.upstream.DataCentre}
	return limit > 0 && s.longPrefills[key] >= limit
}

// isLong reports whether the request has a long prompt. Calls to services have none.
func (s *Scheduler) isLong(p *pool, request *Request) bool {
	return request.Model != "" && request.PromptTokens > p.plan.Document.Reserve.ShortPromptTokens
}
