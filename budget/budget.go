// Package budget divides what many entry nodes share: the slots and KV memory
// of an upstream under its ramp, and the token rate of an organisation.
//
// A Keeper grants short-lived shares of a resource; a Client at each node
// applies them. Both are pure: they do no I/O, start no goroutine, read no
// clock, and are not safe for concurrent use. Their clocks need not agree, only
// run at rates that differ by less than Timing.DriftPercent.
//
// Three rules bound the sum of all shares. A keeper grants only while it holds
// the lease in the platform's table, no grant outlives that, and it grants only
// to processes that are registered in the lease's row. A node applies only the
// answer to its latest report, so that a report tells the keeper all that its
// sender can hold. A process that a keeper finds registered and has not heard
// from counts as holding the most that one node may.
package budget

import "time"

// Amount is a quantity of what an upstream has. For an organisation's rate,
// Slots holds tokens a second and KVTokens is zero.
type Amount struct {
	// Slots counts concurrent requests.
	Slots int
	// KVTokens counts tokens of engine memory.
	KVTokens int
}

// Add returns the sum.
func (a Amount) Add(b Amount) Amount {
	return Amount{a.Slots + b.Slots, a.KVTokens + b.KVTokens}
}

// Sub returns the difference, which may be negative.
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

// Scale returns the amount times a fraction, rounded down.
func (a Amount) Scale(fraction float64) Amount {
	return Amount{int(float64(a.Slots) * fraction), int(float64(a.KVTokens) * fraction)}
}

// Within reports whether no part is over b's.
func (a Amount) Within(b Amount) bool {
	return a.Slots <= b.Slots && a.KVTokens <= b.KVTokens
}

// Timing holds the durations that keepers and clients must agree on.
type Timing struct {
	// Interval is the time between reports on a resource in use.
	Interval time.Duration
	// IdleInterval is the time between reports on a resource not in use.
	IdleInterval time.Duration
	// Silence is how long after its latest report a node counts as reporting.
	Silence time.Duration
	// Lease is how long a keeper's lease lasts from the start of its write, and
	// Renewal the time from one write to the next.
	Lease, Renewal time.Duration
	// Standby is how long after an answer a node may use its standby share, if no
	// other answer comes; earlier when the lease ends before.
	Standby time.Duration
	// Fallback is how long fallback and standby shares last without a keeper.
	Fallback time.Duration
	// Horizon is the longest time that a request may run.
	Horizon time.Duration
	// DriftPercent bounds how much faster one clock runs than another.
	DriftPercent float64
}

// DefaultTiming returns the timing of a node.
func DefaultTiming() Timing {
	return Timing{
		Interval:     500 * time.Millisecond,
		IdleInterval: 20 * time.Second,
		Silence:      3 * time.Second,
		Lease:        10 * time.Second,
		Renewal:      4 * time.Second,
		Standby:      5500 * time.Millisecond,
		Fallback:     12 * time.Hour,
		Horizon:      4 * time.Hour,
		DriftPercent: 1,
	}
}

func (t Timing) shorten(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - 2*t.DriftPercent/100))
}

func (t Timing) lengthen(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + 3*t.DriftPercent/100))
}
