// Package budget divides shared capacity between entry nodes: the slots and KV
// memory of an upstream, subject to its ramp, and the token rate of an
// organisation.
//
// An Allocator grants short-lived shares of a resource; a Client on each node
// applies them. Both are pure: they do no I/O, start no goroutine, read no
// clock, and are not safe for concurrent use. Their clocks need not agree;
// their rates must differ by less than Timing.DriftPercent.
//
// Three rules bound the sum of all shares. First, an allocator grants only
// while it holds the lease in the platform's table, no grant outlives that
// lease, and only processes registered in the lease's row get grants. Second, a
// node applies only the answer to its latest report, so a report tells the
// allocator everything that its sender can hold. Third, a process that an
// allocator finds registered and that has not reported to it counts as holding
// the most that one node may hold.
package budget

import "time"

// Amount is a quantity of upstream capacity. For an organisation's rate, Slots
// holds tokens per second and KVTokens is zero.
type Amount struct {
	// Slots is the number of concurrent requests.
	Slots int
	// KVTokens is the number of tokens of engine memory.
	KVTokens int
}

// Add returns the sum of both amounts, part by part.
func (a Amount) Add(b Amount) Amount {
	return Amount{a.Slots + b.Slots, a.KVTokens + b.KVTokens}
}

// Sub returns the difference, part by part; it may be negative.
func (a Amount) Sub(b Amount) Amount {
	return Amount{a.Slots - b.Slots, a.KVTokens - b.KVTokens}
}

// Max returns the larger of each part.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.Slots, b.Slots), max(a.KVTokens, b.KVTokens)}
}

// Min returns the smaller of each part.
func (a Amount) Min(b Amount) Amount {
	return Amount{min(a.Slots, b.Slots), min(a.KVTokens, b.KVTokens)}
}

// Scale returns the amount multiplied by a fraction, rounded down.
func (a Amount) Scale(fraction float64) Amount {
	return Amount{int(float64(a.Slots) * fraction), int(float64(a.KVTokens) * fraction)}
}

// Within reports whether neither part exceeds that of b.
func (a Amount) Within(b Amount) bool {
	return a.Slots <= b.Slots && a.KVTokens <= b.KVTokens
}

// Timing holds the durations that allocators and clients must agree on.
type Timing struct {
	// Interval is the time between reports on a resource in use.
	Interval time.Duration
	// IdleInterval is the time between reports on a resource not in use.
	IdleInterval time.Duration
	// ReportTimeout is how long after its latest report a node counts as
	// reporting.
	ReportTimeout time.Duration
	// LeaseDuration is how long an allocator's lease lasts from the start of
	// the write; RenewalInterval is the time from one write to the next.
	LeaseDuration, RenewalInterval time.Duration
	// StandbyDelay is how long after an answer a node may use its standby share
	// if no other answer arrives; it is less when the lease ends earlier.
	StandbyDelay time.Duration
	// FallbackDuration is how long fallback and standby shares last without an
	// allocator.
	FallbackDuration time.Duration
	// MaxRequestDuration is the longest time that a request may run.
	MaxRequestDuration time.Duration
	// DriftPercent bounds how much faster one clock runs than another.
	DriftPercent float64
}

// DefaultTiming returns the timing that production nodes use.
func DefaultTiming() Timing {
	return Timing{
		Interval:           500 * time.Millisecond,
		IdleInterval:       20 * time.Second,
		ReportTimeout:      3 * time.Second,
		LeaseDuration:      10 * time.Second,
		RenewalInterval:    4 * time.Second,
		StandbyDelay:       5500 * time.Millisecond,
		FallbackDuration:   12 * time.Hour,
		MaxRequestDuration: 4 * time.Hour,
		DriftPercent:       1,
	}
}

func (t Timing) shorten(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - 2*t.DriftPercent/100))
}

func (t Timing) lengthen(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + 3*t.DriftPercent/100))
}
