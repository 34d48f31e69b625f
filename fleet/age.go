package fleet

import "time"

const (
	// FollowWait is how long a poll for changes may wait at the store on the nodes that
	// publish to the others that there is no change. It bounds the view's age while
	// nothing changes.
	FollowWait = 700 * time.Millisecond
	// LongWait is the same on the other nodes.
	LongWait = 15 * time.Second
)

// Freshness limits what may be done with a view by its age.
type Freshness struct {
	// RunUntil is the age up to which requests with a key are sent. It is below the time in
	// which a revoked key must stop working.
	RunUntil time.Duration
	// DenyUntil is the age up to which an unknown key or route is denied for good. Above it
	// the caller is asked to try again, since the key or route may have been added meanwhile.
	DenyUntil time.Duration
}

// Age is the time since both tables were known to be complete.
func (r *Book) Age(now time.Duration) time.Duration {
	return now - r.FreshAt()
}
