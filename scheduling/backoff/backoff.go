// Package backoff computes growing pauses with jitter. It reads no clock.
package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	// firstPause is the longest pause after one refusal.
	firstPause = 20 * time.Millisecond
	// maxPause is the longest pause after many.
	maxPause = time.Second
)

// Delay is how long to wait after a number of refusals in a row: between half
// of and the full bound, which doubles with each refusal.
func Delay(refusals int, random *rand.Rand) time.Duration {
	bound := firstPause
	for i := 1; i < refusals && bound < maxPause; i++ {
		bound *= 2
	}
	half := min(bound, maxPause) / 2
	return half + time.Duration(random.Int64N(int64(half)+1))
}

// Backoff keeps work from an upstream that refused some, unless it is smaller
// than what was refused. The zero value is ready.
type Backoff struct {
	refusals int
	until    time.Time
	// size is the smallest work that was refused in the pause.
	size int
}

// Refused begins a pause for work of the size and more. Refusals within a pause don't lengthen it: they
// answer attempts that were sent before it.
func (b *Backoff) Refused(now time.Time, size int, random *rand.Rand) {
	if now.Before(b.until) {
		b.size = min(b.size, size)
		return
	}
	b.size = size
	b.refusals++
	b.until = now.Add(Delay(b.refusals, random))
}

// Accepted ends the pauses.
func (b *Backoff) Accepted() { *b = Backoff{} }

// Ready reports whether work of the size may be sent.
func (b *Backoff) Ready(now time.Time, size int) bool { return size < b.size || !now.Before(b.until) }
