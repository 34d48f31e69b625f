// Package breaker is a circuit breaker for an upstream whose attempts fail
// repeatedly. It reads no clock: the caller passes the time.
package breaker

import "time"

const (
	// failureThreshold is the number of consecutive failures that opens the breaker.
	failureThreshold = 5
	// minOpenDuration and maxOpenDuration bound the time that the breaker stays
	// open; each consecutive opening doubles it.
	minOpenDuration = 2 * time.Second
	maxOpenDuration = 60 * time.Second
)

// Breaker is the circuit breaker of one upstream. The zero value is closed.
type Breaker struct {
	failures     int
	openDuration time.Duration
	openUntil    time.Time
	// probing is true while the single probe request is in flight.
	probing bool
}

// Ready reports whether a request may be sent. After the open duration, one
// probe request is allowed at a time.
func (b *Breaker) Ready(now time.Time) bool {
	if b.openDuration == 0 {
		return true
	}
	return !b.probing && !now.Before(b.openUntil)
}

// NextProbe returns when the next probe may be sent; it is zero when closed.
func (b *Breaker) NextProbe() time.Time { return b.openUntil }

// Closed reports whether the breaker is closed, so that all requests may be sent.
func (b *Breaker) Closed() bool { return b.openDuration == 0 }

// Sent records that a request was sent; it is the probe unless the breaker is
// closed.
func (b *Breaker) Sent() {
	b.probing = b.openDuration > 0
}

// Succeeded records a success and closes the breaker.
func (b *Breaker) Succeeded() { *b = Breaker{} }

// Abandoned ends a probe that neither succeeded nor failed.
func (b *Breaker) Abandoned() { b.probing = false }

// Failed records a failure and opens the breaker at the threshold. While it is
// open, only a failed probe extends it: others were sent before it opened.
func (b *Breaker) Failed(now time.Time) {
	b.failures++
	sentBeforeOpen := b.openDuration > 0 && !b.probing
	if b.failures < failureThreshold || sentBeforeOpen {
		return
	}
	b.openDuration = min(max(2*b.openDuration, minOpenDuration), maxOpenDuration)
	b.openUntil = now.Add(b.openDuration)
	b.probing = false
}
