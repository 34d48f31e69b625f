package guard

import "time"

const (
	// rateShare and burstShare split a node's share of a limit into a steady
	// rate and a burst, so that their sum stays within the share.
	rateShare  = 0.75
	burstShare = 0.25
	// reserveShare is the fraction of the burst that only urgent calls may use.
	reserveShare = 0.5
)

// tokenBucket is a token bucket with a reserve for urgent calls. The caller supplies
// the time and the locking.
type tokenBucket struct {
	perSecond float64
	burst     float64
	tokens    float64
	updated   time.Time
}

// newTokenBucket returns a full bucket for one node's share of a limit, in calls per
// second.
func newTokenBucket(now time.Time, share float64) tokenBucket {
	made := tokenBucket{updated: now}
	made.setShare(now, share)
	made.tokens = made.burst
	return made
}

// setShare changes the share, in calls per second. Tokens above the new burst are
// dropped.
func (b *tokenBucket) setShare(now time.Time, share float64) {
	b.refill(now)
	b.perSecond = share * rateShare
	b.burst = max(1, share*burstShare)
	b.tokens = min(b.tokens, b.burst)
}

func (b *tokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+elapsed.Seconds()*b.perSecond)
		b.updated = now
	}
}

// take consumes one token and returns 0, or returns how long to wait before
// trying again.
func (b *tokenBucket) take(now time.Time, urgent bool) time.Duration {
	b.refill(now)
	floor := 1.0
	if !urgent {
		floor = max(1, b.burst*reserveShare+1)
		floor = min(floor, b.burst)
	}
	if b.tokens >= floor {
		b.tokens--
		return 0
	}
	// The nanosecond compensates for rounding down.
	return time.Duration((floor-b.tokens)/b.perSecond*float64(time.Second)) + time.Nanosecond
}
