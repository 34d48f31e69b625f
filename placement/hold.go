package placement

import "time"

// hold is what an upstream's process asked of this node: to send it nothing more, or
// nothing until a time. It outlives the upstream's load, whose entry in the store may go and
// come back, and ends with a new start of the upstream.
type hold struct {
	// startedMs identifies the incarnation that asked.
	startedMs   int64
	leaving     bool
	pausedUntil time.Duration
	// at is when it asked last.
	at time.Duration
}

const (
	// maxPause bounds how long an upstream can keep requests away with one answer, so that
	// a wrong value does not take it out of service for good.
	maxPause = 2 * time.Minute
	// holdTTL is how long a hold is kept after the upstream asked last: much longer than an
	// upstream takes to leave.
	holdTTL = 10 * time.Minute
)

// MarkLeaving records that an upstream's process said in an answer that it leaves: from now
// on this node sends it nothing.
func (s *Scheduler) MarkLeaving(now time.Duration, id string, startedMs int64) {
	h := s.holdFor(now, id, startedMs)
	h.leaving = true
	if l := s.loads[id]; l != nil {
		l.leavingUnpublished = true
		s.changed[l] = struct{}{}
	}
}

// Pause records that an upstream's process wants nothing from this node for a time.
func (s *Scheduler) Pause(now time.Duration, id string, startedMs int64, pause time.Duration) {
	h := s.holdFor(now, id, startedMs)
	h.pausedUntil = max(h.pausedUntil, now+min(pause, maxPause))
	if l := s.loads[id]; l != nil {
		l.pausedUnpublished = h.pausedUntil
		s.changed[l] = struct{}{}
	}
}

// holdFor returns the hold of an incarnation, or of a later one that is known already, and
// drops those that are too old.
func (s *Scheduler) holdFor(now time.Duration, id string, startedMs int64) *hold {
	for known, h := range s.holds {
		if now-h.at > holdTTL {
			delete(s.holds, known)
		}
	}
	if l := s.loads[id]; l != nil {
		startedMs = max(startedMs, l.entry.StartedMs)
	}
	h := s.holds[id]
	if h == nil || h.startedMs < startedMs {
		h = &hold{startedMs: startedMs}
		s.holds[id] = h
	}
	h.at = now
	return h
}

// held reports whether an upstream's process asked this node to send it nothing now, and
// until when; leaving processes have no end.
func (s *Scheduler) held(now time.Duration, l *load) (until time.Duration, held bool) {
	h := s.holds[l.entry.ID]
	if h == nil || l.entry.StartedMs > h.startedMs {
		return 0, false
	}
	if h.leaving {
		return 0, true
	}
	return h.pausedUntil, now < h.pausedUntil
}

// earliestResume returns the time until the first upstream of a service that asked for a
// pause takes requests again, or 0 if there is none.
func (s *Scheduler) earliestResume(now time.Duration, service string) time.Duration {
	earliest := time.Duration(0)
	for _, l := range s.loads {
		if l.entry.Service != service || l.entry.Draining || s.view.ZonesOutOfService[l.entry.Zone] {
			continue
		}
		if until, held := s.held(now, l); held && until > now && (earliest == 0 || until-now < earliest) {
			earliest = until - now
		}
	}
	return earliest
}
