// Package ramp limits the load on a cold upstream (slow start).
package ramp

import (
	"time"

	"github.com/wigeontiller/wigeontiller/environment"
)

const fullPercent = 100

// Ramp is the slow start of one upstream. The zero value is not active.
type Ramp struct{ startedAt time.Time }

// Start starts the ramp, or restarts it.
func (r *Ramp) Start(now time.Time) { r.startedAt = now }

// Active reports whether the load is still limited.
func (r *Ramp) Active(now time.Time, bounds environment.Ramp) bool {
	return !r.startedAt.IsZero() && now.Sub(r.startedAt) < bounds.Duration
}

// Share returns the part of the capacity that may be used, above 0 and at most 1.
func (r *Ramp) Share(now time.Time, bounds environment.Ramp) float64 {
	if !r.Active(now, bounds) {
		return 1
	}
	elapsedShare := float64(now.Sub(r.startedAt)) / float64(bounds.Duration)
	percent := float64(bounds.InitialPercent) + elapsedShare*float64(fullPercent-bounds.InitialPercent)
	return max(percent, 1) / fullPercent
}

// Slots returns how many of the slots may be used; at least one, if there are any.
func (r *Ramp) Slots(now time.Time, bounds environment.Ramp, slots int) int {
	if slots <= 0 || !r.Active(now, bounds) {
		return slots
	}
	return max(1, int(float64(slots)*r.Share(now, bounds)))
}
