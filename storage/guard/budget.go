package guard

import "time"

const (
	// rateShare and burstShare divide a node's share of a limit into a steady
	// rate and a burst, so that their sum stays within the share.
	rateShare  = 0.75
	burstShare = 0.25
	// reserveShare is the part of the burst that only urgent calls may use.
	reserveShare = 0.5
)

// budget is a token bucket with a reserve for urgent calls. It has no clock or
// lock of its own.
type budget struct {
	perSecond float64
	burst     float64
	tokens    float64
	updated   time.Time
}

// newBudget returns a full budget for one node's share of a limit in calls a second.
func newBudget(now time.Time, share float64) budget {
	made := budget{updated: now}
	made.setShare(now, share)
	made.tokens = made.burst
	return made
}

// setShare changes the share; tokens that the new burst can't hold are lost.
func (b *budget) setShare(now time.Time, share float64) {
	b.refill(now)
	b.perSecond = share * rateShare
	b.burst = max(1, share*burstShare)
	b.tokens = min(b.tokens, b.burst)
}

func (b *budget) refill(now time.Time) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+elapsed.Seconds()*b.perSecond)
		b.updated = now
	}
}

// take uses one token, or returns how long to wait before asking again.
func (b *budget) take(now time.Time, urgent bool) time.Duration {
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
	// The nanosecond makes up for rounding down.
	return time.Duration((floor-b.tokens)/b.perSecond*float64(time.Second)) + time.Nanosecond
}
