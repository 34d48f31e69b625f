package estimation

import (
	"math"
	"time"
)

const (
	// drainWindow is the time over which throughput is averaged.
	drainWindow = 10 * time.Second
	// drainKnown is the busy time from which a throughput is trusted.
	drainKnown = time.Second
)

// Throughput measures the tokens a second that a pool completes while requests
// wait. Idle time doesn't count, so that a quiet hour doesn't look like a stall.
type Throughput struct {
	tokens, weight float64
	busy           time.Duration
	at             time.Time
}

// Advance takes in the time since the last call; busy says that requests waited in it.
func (d *Throughput) Advance(now time.Time, busy bool) {
	passed := now.Sub(d.at)
	first := d.at.IsZero()
	d.at = now
	if first || !busy || passed <= 0 {
		return
	}
	keep := math.Exp(-passed.Seconds() / drainWindow.Seconds())
	d.tokens *= keep
	d.weight = d.weight*keep + drainWindow.Seconds()*(1-keep)
	d.busy += passed
}

// AddCompleted counts tokens completed while requests waited.
func (d *Throughput) AddCompleted(tokens float64) { d.tokens += tokens }

// PredictWait is the time to complete a number of tokens; ok is false while unknown.
func (d *Throughput) PredictWait(tokens float64) (wait time.Duration, ok bool) {
	if d.busy < drainKnown || d.tokens <= 0 {
		return 0, false
	}
	return seconds(min(tokens*d.weight/d.tokens, maxWait.Seconds())), true
}

// maxWait bounds a predicted wait.
const maxWait = time.Hour
