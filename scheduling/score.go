package scheduling

import "time"

const (
	// memorySlowing is how much longer an engine with full memory takes to read
	// a prompt, as a part of the time with empty memory.
	memorySlowing = 0.2
	// loadReading is the unread prompt tokens that an engine with all slots in
	// use is taken to have from other nodes, as a part of the longest short prompt.
	loadReading = 0.3
)

// scoreFor compares upstreams for a request; the least is the best.
func (s *Scheduler) scoreFor(now time.Time, m *member, w *waiting) float64 {
	if w.long() || w.request.Model == "" {
		return m.loadScore(now)
	}
	return m.readingScore(now, w.tokens)
}

// loadScore stands for the load, running and unread; 1 is full.
func (m *member) loadScore(now time.Time) float64 {
	return m.state.score(now) + m.unread()
}

// readingScore stands for the time to a short prompt's first token, in the time
// that an engine with empty memory takes to read the longest short prompt.
func (m *member) readingScore(now time.Time, promptTokens int) float64 {
	u := m.state
	slots, memory := u.usage(now)
	own := float64(promptTokens) / m.longestShort()
	// What starts reads slowly too.
	reading := (m.unread() + own) * (1 + memorySlowing*memory) / u.ramp.Share(now, u.upstream.Ramp)
	return reading + loadReading*slots
}

// unread is the short prompts that this node sent and that have no first token
// yet, as a part of the longest short prompt.
func (m *member) unread() float64 {
	return float64(m.state.reading) / m.longestShort()
}

func (m *member) longestShort() float64 {
	return float64(max(1, m.pool.plan.Document.Reserve.ShortPromptTokens))
}

// score compares upstreams by load; 1 is full.
func (u *upstreamState) score(now time.Time) float64 {
	slots, memory := u.usage(now)
	return max(slots, memory)
}

// usage is the share of memory and of the slots that a ramp leaves in use, as
// far as is known.
func (u *upstreamState) usage(now time.Time) (slots, memory float64) {
	others, othersKV := u.elsewhere(now)
	bearable := u.ramp.Slots(now, u.upstream.Ramp, u.upstream.Slots)
	slots = float64(u.requests+others) / float64(max(bearable, 1))
	if u.upstream.KVTokens > 0 {
		memory = float64(u.kvTokens+othersKV) / float64(u.upstream.KVTokens)
	}
	return slots, memory
}
