package placement

import (
	"slices"
	"time"
)

// Nodes hear late of each other's placements, and several of them may hold one of the longest prompts that
// waits for an engine: all would take the first one that becomes free. A node therefore claims engines
// before it uses them. The claim counts as help for a prompt in the totals that nodes tell each other
// anyway. If there are other claims when all have heard of it, each is kept by chance, so that one of them
// is left after a round or two.
const (
	// claimTime is the time in which all nodes hear of a claim.
	claimTime = 100 * time.Millisecond
	// claimTTL is how long a claim is kept whose request is not decided on again: several times the
	// interval of decisions on waiting requests.
	claimTTL = 100 * time.Millisecond
)

// claim is what a waiting request claims.
type claim struct {
	engines []*load
	// confirmAt is when the claim has been heard by all.
	confirmAt time.Duration
	// usedAt is when the request was last decided on.
	usedAt time.Duration
}

// claimEngines claims engines for a request.
func (s *Scheduler) claimEngines(now time.Duration, id string, engines []*load) {
	c := &claim{engines: slices.Clone(engines), confirmAt: now + claimTime, usedAt: now}
	for _, l := range c.engines {
		l.helperPrompts++
		s.changed[l] = struct{}{}
	}
	s.claims[id] = c
}

// releaseClaim gives the claimed engines back.
func (s *Scheduler) releaseClaim(id string) {
	c := s.claims[id]
	if c == nil {
		return
	}
	delete(s.claims, id)
	for _, l := range c.engines {
		l.helperPrompts--
		s.changed[l] = struct{}{}
	}
}

// releaseUnusedClaims gives back what requests claimed that wait no more.
func (s *Scheduler) releaseUnusedClaims(now time.Duration) {
	for id, c := range s.claims {
		if now-c.usedAt > claimTTL {
			s.releaseClaim(id)
		}
	}
}

// confirmClaim returns the engines of a claim that is to be used now. While it is not decided, waits is
// true. Where neither holds, the claim is lost or there is none. A claim of a request that cannot be in
// time any more gives way to all others.
func (s *Scheduler) confirmClaim(now time.Duration, id string, eligible []*load, inTime bool) (engines []*load, waits bool) {
	c := s.claims[id]
	if c == nil {
		return nil, false
	}
	c.usedAt = now
	others := 0
	for _, l := range c.engines {
		if l.occupied(now) > 0 || l.backlogMs(now) > negligibleBacklogMs || !slices.Contains(eligible, l) {
			s.releaseClaim(id)
			return nil, false
		}
		others = max(others, l.totalHelperPrompts()-1)
	}
	switch {
	case now < c.confirmAt:
		return nil, true
	case others == 0:
		engines = c.engines
		s.releaseClaim(id)
		return engines, false
	case !inTime || s.config.Random.IntN(others+1) > 0:
		s.releaseClaim(id)
		return nil, false
	}
	c.confirmAt = now + claimTime
	return nil, true
}
