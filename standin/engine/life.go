package engine

import (
	"time"

	"github.com/wigeontiller/wigeontiller/standin/fault"
)

// life is the time from one start of an engine to the next.
type life struct {
	// incarnation grows with each start.
	incarnation int64
	started     time.Time
	coldUntil   time.Time
	coldStart   time.Duration
}

// start begins a new life: streams and memory of the last one are lost. The
// mutex is held, or nothing else knows the engine yet.
func (e *Engine) start(now time.Time, coldStart time.Duration) {
	for _, lost := range e.streams {
		lost.canceled = true
		lost.changed.Broadcast()
	}
	clear(e.streams)
	clear(e.kept)
	clear(e.reserved)
	e.kvTokens = 0
	e.prefixes = newPrefixCache(e.config.PrefixCacheTokens)
	e.life = life{
		incarnation: max(e.life.incarnation+1, now.UnixNano()),
		started:     now,
		coldUntil:   now.Add(coldStart),
		coldStart:   coldStart,
	}
	e.models.start(e.config.Orders)
	e.remember(now)
}

func (e *Engine) isCold(now time.Time) bool {
	return now.Before(e.life.coldUntil)
}

// knobsSet applies the knobs that act once.
func (s *Server) knobsSet(knobs fault.Knobs) {
	if knobs.Crash {
		s.engine.Crash(time.Duration(knobs.ColdStartMS) * time.Millisecond)
	}
}

// Crash restarts the engine with a cold start of the length given.
func (e *Engine) Crash(coldStart time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.start(time.Now(), coldStart)
}
