// Package ramp bounds the load on an upstream that has just started.
package ramp

import (
	"time"

	"github.com/wigeontiller/wigeontiller/environment"
)

const whole = 100

// Ramp is a start in progress. The zero value is over.
type Ramp struct{ started time.Time }

// Start begins the ramp again.
func (r *Ramp) Start(now time.Time) { r.started = now }

// Active reports whether the load is still bounded.
func (r *Ramp) Active(now time.Time, bounds environment.Ramp) bool {
	return !r.started.IsZero() && now.Sub(r.started) < bounds.Duration
}

// Share is the part of the capacity that may be used, over 0 and at most 1.
func (r *Ramp) Share(now time.Time, bounds environment.Ramp) float64 {
	if !r.Active(now, bounds) {
		return 1
	}
	part := float64(now.Sub(r.started)) / float64(bounds.Duration)
	percent := float64(bounds.InitialPercent) + part*float64(whole-bounds.InitialPercent)
	return max(percent, 1) / whole
}

// Slots is how many of the slots may be used; at least one of any.
func (r *Ramp) Slots(now time.Time, bounds environment.Ramp, slots int) int {
	if slots <= 0 || !r.Active(now, bounds) {
		return slots
	}
	return max(1, int(float64(slots)*r.Share(now, bounds)))
}
