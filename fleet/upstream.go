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
	// DrainingSince is a time before which the store cannot have accepted that the upstream drains: until
	// then the view was known to be complete and had it ready. 0 is not known.
	DrainingSince time.Duration
	// StartedMs identifies the incarnation: its start in Unix milliseconds, or 0.
	StartedMs int64
	// ColdFor is how long from SeenAt on the upstream expects to be cold.
	ColdFor time.Duration
	// SeenAt is when this entry was received.
	SeenAt time.Duration
	// removeAt is when an entry that went missing in an outage of the store is removed; 0 is
	// not missing.
	removeAt time.Duration
	// heldUntil is when an entry counts as ready again that a restored store brought back; 0 is
	// not held.
	heldUntil time.Duration
}

// Cold reports whether the upstream is still warming up.
func (u *Upstream) Cold(now time.Duration) bool {
	return now < u.SeenAt+u.ColdFor
}

// Missing reports whether the entry went missing in an outage and may come back.
func (u *Upstream) Missing() bool {
	return u.removeAt != 0
}
