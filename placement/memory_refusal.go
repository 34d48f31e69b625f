package placement

import "time"

// memoryRefusalTTL is how long a refusal of memory counts: by then this node has heard of what other nodes
// have reserved there.
const memoryRefusalTTL = 300 * time.Millisecond

// memoryRefusal is an engine's refusal to reserve memory.
type memoryRefusal struct {
	tokens int
	until  time.Duration
}

// RecordMemoryRefusal records that an engine had no room for a reservation of so many tokens.
func (s *Scheduler) RecordMemoryRefusal(now time.Duration, id string, tokens int) {
	l := s.loads[id]
	if l == nil {
		return
	}
	if now < l.memoryRefusal.until {
		tokens = min(tokens, l.memoryRefusal.tokens)
	}
	l.memoryRefusal = memoryRefusal{tokens: tokens, until: now + memoryRefusalTTL}
}

// RecordFailedReservation records that an engine's process did not answer a reservation as an engine of the
// service does. It is avoided like one that does not report.
func (s *Scheduler) RecordFailedReservation(now time.Duration, id string) {
	if l := s.loads[id]; l != nil {
		l.avoid(now)
		s.changed[l] = struct{}{}
	}
}

// reservableTokens is how many of an engine's usable tokens a reservation may take.
func (l *load) reservableTokens(now time.Duration, usable int) int {
	free := usable - l.totalMemoryTokens()
	if now < l.memoryRefusal.until {
		free = min(free, l.memoryRefusal.tokens-1)
	}
	return free
}
