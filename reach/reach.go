// Package reach decides whether a node is cut off from the upstreams of a service, by rounds of dials
// that failures start, and which other node then serves its requests.
// It does no I/O and reads no clock. A Tracker and a Peers are not safe for concurrent use; package
// edge holds the lock.
package reach

import "time"

const (
	// MaxDials is the number of upstreams that one round dials: one, and if that does not connect the others
	// at the same time.
	MaxDials = 4
	// checkInterval is the least time from a round that connected to the next one that a failure starts.
	checkInterval = time.Second
	// RoundInterval is the time between two rounds while the node is cut off.
	RoundInterval = 250 * time.Millisecond
	// minRegainRounds is how many rounds in a row must connect before the node uses its own way again. It
	// doubles, up to maxRegainRounds, each time that the way is lost within flapTime, so that a link
	// that comes and goes does not move the requests to and fro.
	minRegainRounds = 2
	maxRegainRounds = 32
	flapTime        = 10 * time.Second
)

// Change says what a round changed.
type Change int

// The changes: none, the node is cut off from the service's upstreams from now on, and no longer.
const (
	Unchanged Change = iota
	Lost
	Regained
)

type service struct {
	cutOff bool
	// roundAt is when the last round ended.
	roundAt time.Duration
	// connected counts the last rounds in a row that connected while the node is cut off.
	connected int
	// regainRounds is how many of them are needed.
	regainRounds int
	regainedAt   time.Duration
}

// Tracker holds from which services' upstreams the node is cut off.
type Tracker struct{ services map[string]*service }

// NewTracker returns the tracker of a node that is cut off from nothing.
func NewTracker() *Tracker { return &Tracker{services: map[string]*service{}} }

// CutOff reports whether the node is cut off from all upstreams of a service.
func (t *Tracker) CutOff(name string) bool {
	s := t.services[name]
	return s != nil && s.cutOff
}

// Returning reports whether the last round connected although the node still counts as cut off. A
// request that no other node takes may then be sent.
func (t *Tracker) Returning(name string) bool {
	s := t.services[name]
	return s != nil && s.cutOff && s.connected > 0
}

// MayCheck reports whether a failure is to start a round.
func (t *Tracker) MayCheck(now time.Duration, name string) bool {
	s := t.services[name]
	return s == nil || !s.cutOff && now-s.roundAt >= checkInterval
}

// Services returns the services that the node is cut off from.
func (t *Tracker) Services() []string {
	var list []string
	for name, s := range t.services {
		if s.cutOff {
			list = append(list, name)
		}
	}
	return list
}

// RecordRound records whether any dial of a round connected.
func (t *Tracker) RecordRound(now time.Duration, name string, connected bool) Change {
	s := t.services[name]
	if s == nil {
		s = &service{regainRounds: minRegainRounds, regainedAt: now - flapTime}
		t.services[name] = s
	}
	s.roundAt = now
	switch {
	case !s.cutOff && !connected:
		s.regainRounds = minRegainRounds
		if now-s.regainedAt < flapTime {
			s.regainRounds = min(2*s.regainRounds, maxRegainRounds)
		}
		s.cutOff, s.connected = true, 0
		return Lost
	case s.cutOff && !connected:
		s.connected = 0
	case s.cutOff:
		if s.connected++; s.connected >= s.regainRounds {
			s.cutOff, s.regainedAt = false, now
			return Regained
		}
	}
	return Unchanged
}
