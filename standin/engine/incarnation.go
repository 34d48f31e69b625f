package engine

import (
	"time"

	"github.com/wigeontiller/wigeontiller/standin/fault"
)

// incarnation is an engine's state from one start to the next.
type incarnation struct {
	// id increases with each start.
	id        int64
	started   time.Time
	coldUntil time.Time
	coldStart time.Duration
}

// restart begins a new incarnation; the streams and memory of the last one are lost.
// The caller holds the mutex, or nothing else has access to the engine yet.
func (e *Engine) restart(now time.Time, coldStart time.Duration) {
	for _, lost := range e.streams {
		lost.canceled = true
		lost.changed.Broadcast()
	}
	clear(e.streams)
	clear(e.retained)
	clear(e.reservations)
	e.kvTokens = 0
	e.prefixes = newPrefixCache(e.config.PrefixCacheTokens)
	e.incarnation = incarnation{
		id:        max(e.incarnation.id+1, now.UnixNano()),
		started:   now,
		coldUntil: now.Add(coldStart),
		coldStart: coldStart,
	}
	e.models.reset(e.config.Orders)
	e.recordSnapshot(now)
}

func (e *Engine) isCold(now time.Time) bool {
	return now.Before(e.incarnation.coldUntil)
}

// applyOneShotKnobs applies the knobs that act once, when they are set.
func (s *Server) applyOneShotKnobs(knobs fault.Knobs) {
	if knobs.Crash {
		s.engine.Crash(time.Duration(knobs.ColdStartMS) * time.Millisecond)
	}
}

// Crash restarts the engine with a cold start of the given duration.
func (e *Engine) Crash(coldStart time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.restart(time.Now(), coldStart)
}
