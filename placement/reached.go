package placement

import "time"

// SetReached records whether this node reaches the upstreams of a service at all. While it does not, its
// failures tell nothing about them: other nodes are not told to avoid them, and what this node noted is
// dropped when it reaches them again.
func (s *Scheduler) SetReached(now time.Duration, service string, reached bool) {
	if !reached {
		s.unreached[service] = true
		return
	}
	delete(s.unreached, service)
	for _, l := range s.loads {
		if l.entry.Service == service && l.avoidedByOwnAttempt {
			l.avoidUntil, l.avoidFor = min(l.avoidUntil, now), 0
			l.failureShare, l.failureShareAt = 0, now
		}
	}
}
