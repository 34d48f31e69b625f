package estimation

import (
	"math"
	"time"
)

const (
	// averagingWindow is the time constant of the throughput average.
	averagingWindow = 10 * time.Second
	// minBusyTime is the busy time needed before the throughput is used.
	minBusyTime = time.Second
)

// Throughput measures a pool's throughput, in tokens per second, while requests
// wait. Idle time is left out, so that an hour without load does not look like a
// stall. The zero value has no measurements.
type Throughput struct {
	// decayedTokens and decayedSeconds are exponentially decayed sums; their
	// quotient is the throughput.
	decayedTokens, decayedSeconds float64
	busyTime                      time.Duration
	lastAdvance                   time.Time
}

// Advance accounts for the time since the last call; busy means that requests
// waited during it.
func (d *Throughput) Advance(now time.Time, busy bool) {
	elapsed := now.Sub(d.lastAdvance)
	first := d.lastAdvance.IsZero()
	d.lastAdvance = now
	if first || !busy || elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / averagingWindow.Seconds())
	d.decayedTokens *= keep
	d.decayedSeconds = d.decayedSeconds*keep + averagingWindow.Seconds()*(1-keep)
	d.busyTime += elapsed
}

// AddCompleted adds tokens that were completed while requests waited.
func (d *Throughput) AddCompleted(tokens float64) { d.decayedTokens += tokens }

// PredictWait returns the predicted time to complete a number of tokens; ok is false
// while too little was measured.
func (d *Throughput) PredictWait(tokens float64) (wait time.Duration, ok bool) {
	if d.busyTime < minBusyTime || d.decayedTokens <= 0 {
		return 0, false
	}
	return seconds(min(tokens*d.decayedSeconds/d.decayedTokens, maxWait.Seconds())), true
}

// maxWait is the largest predicted wait.
const maxWait = time.Hour
