package fleet

import "time"

// Upstream is one engine or service process as it registered itself.
type Upstream struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Draining upstreams take no new request.
	Draining bool
	// StartedMs names the incarnation: the Unix millisecond of the start, or 0.
	StartedMs int64
	// ColdFor is how long the upstream said it would still be cold, at SeenAt.
	ColdFor time.Duration
	// SeenAt is when this entry came.
	SeenAt time.Duration
	// lapseAt is when an entry that went missing in an outage of the store counts
	// as gone; 0 is not missing.
	lapseAt time.Duration
}

// Cold reports whether the upstream still warms up.
func (u *Upstream) Cold(now time.Duration) bool {
	return now < u.SeenAt+u.ColdFor
}

// Missing reports whether the entry went missing in an outage and may come back.
func (u *Upstream) Missing() bool {
	return u.lapseAt != 0
}
