package scheduling

import "time"

const (
	// memorySlowdown is the added prefill time at an engine with full memory, as a
	// fraction of that with empty memory.
	memorySlowdown = 0.2
	// fullSlotsPrefill is the pending prefill from other nodes that is assumed at
	// an engine with all slots in use, as a fraction of the longest short prompt.
	fullSlotsPrefill = 0.3
)

// scoreFor returns an upstream's score for a request; lower is better.
func (s *Scheduler) scoreFor(now time.Time, m *member, w *waitingRequest) float64 {
	if w.isLong() || w.request.Model == "" {
		return m.loadScore(now)
	}
	return m.firstTokenScore(now, w.promptTokens)
}

// loadScore is the utilization plus the pending prefill; a utilization of 1 is
// full.
func (m *member) loadScore(now time.Time) float64 {
	return m.state.utilization(now) + m.pendingPrefill()
}

// firstTokenScore estimates the time to a short prompt's first token. Its unit is
// the prefill time of the longest short prompt at an engine with empty memory.
func (m *member) firstTokenScore(now time.Time, promptTokens int) float64 {
	u := m.state
	slots, memory := u.usage(now)
	ownPrefill := float64(promptTokens) / m.longestShortTokens()
	// A ramping engine also computes prefills more slowly.
	prefill := (m.pendingPrefill() + ownPrefill) * (1 + memorySlowdown*memory) / u.ramp.Share(now, u.upstream.Ramp)
	return prefill + fullSlotsPrefill*slots
}

// pendingPrefill is the short prompts sent by this node that have no first token
// yet, as a fraction of the longest short prompt.
func (m *member) pendingPrefill() float64 {
	return float64(m.state.prefillTokens) / m.longestShortTokens()
}

func (m *member) longestShortTokens() float64 {
	return float64(max(1, m.pool.plan.Document.Reserve.ShortPromptTokens))
}

// utilization is the larger usage of slots and memory; 1 is full.
func (u *upstreamState) utilization(now time.Time) float64 {
	slots, memory := u.usage(now)
	return max(slots, memory)
}

// usage returns the used fractions of the slots that the ramp allows and of the
// memory, as far as known.
func (u *upstreamState) usage(now time.Time) (slots, memory float64) {
	otherRequests, otherKVTokens := u.otherLoad(now)
	allowedSlots := u.ramp.Slots(now, u.upstream.Ramp, u.upstream.Slots)
	slots = float64(u.requests+otherRequests) / float64(max(allowedSlots, 1))
	if u.upstream.KVTokens > 0 {
		memory = float64(u.kvTokens+otherKVTokens) / float64(u.upstream.KVTokens)
	}
	return slots, memory
}
