// Package backoff computes exponential backoff delays with jitter. It reads no
// clock: the caller passes the time.
package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	// initialDelay is the upper bound of the delay after one refusal.
	initialDelay = 20 * time.Millisecond
	// maxDelay is the upper bound of the delay after any number of refusals.
	maxDelay = time.Second
)

// Delay returns the delay after a number of consecutive refusals: a random time
// between half of the bound and the bound, which doubles with each refusal.
func Delay(refusals int, random *rand.Rand) time.Duration {
	bound := initialDelay
	for i := 1; i < refusals && bound < maxDelay; i++ {
		bound *= 2
	}
	half := min(bound, maxDelay) / 2
	return half + time.Duration(random.Int64N(int64(half)+1))
}

// Backoff holds requests back from an upstream that refused one, except those
// smaller than the refused one. The zero value allows every request.
type Backoff struct {
	refusals     int
	blockedUntil time.Time
	// minRefusedSize is the smallest request size refused during the delay.
	minRefusedSize int
}

// Refused starts a delay for requests of the given size or larger. Refusals
// during a delay don't extend it: they answer attempts sent before it began.
func (b *Backoff) Refused(now time.Time, size int, random *rand.Rand) {
	if now.Before(b.blockedUntil) {
		b.minRefusedSize = min(b.minRefusedSize, size)
		return
	}
	b.minRefusedSize = size
	b.refusals++
	b.blockedUntil = now.Add(Delay(b.refusals, random))
}

// Accepted ends the delay and resets the count of refusals.
func (b *Backoff) Accepted() { *b = Backoff{} }

// Ready reports whether a request of the given size may be sent.
func (b *Backoff) Ready(now time.Time, size int) bool {
	return size < b.minRefusedSize || !now.Before(b.blockedUntil)
}
