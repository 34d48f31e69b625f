package model

import "time"

// The cold start of every upstream.
const (
	// RestartTime is how long a process that died is away.
	RestartTime = time.Second
	// ColdTime is how long a start stays cold.
	ColdTime = 20 * time.Second
	// coldSpeed and coldSlots are the shares of speed and slots at the start;
	// both grow evenly to 1.
	coldSpeed = 0.3
	coldSlots = 0.2
)

// Warmth is how far an upstream is through its cold start. The zero value is warm.
type Warmth struct {
	cold  bool
	since time.Duration
}

// GoCold begins a cold start.
func (w *Warmth) GoCold(now time.Duration) {
	w.cold = true
	w.since = now
}

func (w *Warmth) share(now time.Duration, start float64) float64 {
	passed := float64(now-w.since) / float64(ColdTime)
	if !w.cold || passed >= 1 {
		return 1
	}
	return start + (1-start)*passed
}

func (w *Warmth) speed(now time.Duration) float64 {
	return w.share(now, coldSpeed)
}

// bearable is the most jobs that the upstream bears without falling over.
func (w *Warmth) bearable(now time.Duration, slots int) int {
	return max(1, int(w.share(now, coldSlots)*float64(slots)))
}
