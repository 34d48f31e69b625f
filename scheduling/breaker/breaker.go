// Package breaker stops sending to an upstream whose attempts keep failing. It
// is pure: the caller passes the time.
package breaker

import "time"

const (
	// threshold is the number of failures in a row that opens the breaker.
	threshold = 5
	// shortest and longest bound the time that it stays open; each opening in
	// a row doubles it.
	shortest = 2 * time.Second
	longest  = 60 * time.Second
)

// Breaker is one circuit. The zero value is closed.
type Breaker struct {
	failures int
	open     time.Duration
	until    time.Time
	// probing is true while the one trial after an opening runs.
	probing bool
}

// Ready reports whether a request may be sent. Once the open time has passed,
// one trial may run at a time.
func (b *Breaker) Ready(now time.Time) bool {
	if b.open == 0 {
		return true
	}
	return !b.probing && !now.Before(b.until)
}

// NextProbe is when the next trial may run; it is zero when closed.
func (b *Breaker) NextProbe() time.Time { return b.until }

// Closed reports whether requests flow without a bound.
func (b *Breaker) Closed() bool { return b.open == 0 }

// Sent tells that a request was sent.
func (b *Breaker) Sent() {
	b.probing = b.open > 0
}

// Succeeded closes the breaker.
func (b *Breaker) Succeeded() { *b = Breaker{} }

// Abandoned ends a trial that showed nothing.
func (b *Breaker) Abandoned() { b.probing = false }

// Failed counts a failure and may open the breaker.
func (b *Breaker) Failed(now time.Time) {
	b.failures++
	late := b.open > 0 && !b.probing
	if b.failures < threshold || late {
		return
	}
	b.open = min(max(2*b.open, shortest), longest)
	b.until = now.Add(b.open)
	b.probing = false
}
