// Package tokenbucket limits an organisation's tokens per second. A request may
// cost more than the burst, so the balance may become negative, which
// golang.org/x/time/rate does not support.
package tokenbucket

import "time"

// burstWindow is the time over which unused tokens accumulate.
const burstWindow = 2 * time.Second

// Bucket is a token bucket for one limit. The zero value has no limit until
// SetRate.
type Bucket struct {
	tokensPerSecond float64
	balance         float64
	refilledAt      time.Time
}

// SetRate changes the rate, in tokens per second; 0 or less means no limit.
func (b *Bucket) SetRate(now time.Time, rate float64) {
	if rate == b.tokensPerSecond {
		return
	}
	b.refill(now)
	if b.tokensPerSecond <= 0 {
		b.balance = rate * burstWindow.Seconds()
	}
	b.tokensPerSecond = rate
	b.refilledAt = now
}

// Allow reports whether a request may be charged now, and if not, after what time.
func (b *Bucket) Allow(now time.Time) (bool, time.Duration) {
	if b.tokensPerSecond <= 0 {
		return true, 0
	}
	b.refill(now)
	if b.balance > 0 {
		return true, 0
	}
	missing := 1 - b.balance
	return false, time.Duration(missing / b.tokensPerSecond * float64(time.Second))
}

// Charge takes tokens from the bucket, or returns them if negative.
func (b *Bucket) Charge(tokens float64) {
	if b.tokensPerSecond > 0 {
		b.balance -= tokens
	}
}

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.balance = min(b.balance+elapsed.Seconds()*b.tokensPerSecond, b.tokensPerSecond*burstWindow.Seconds())
		b.refilledAt = now
	}
}
