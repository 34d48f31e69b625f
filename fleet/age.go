package fleet

import "time"

const (
	// ShortPollWait is how long a poll for changes may wait at the store on the nodes that
	// publish to the others that there is no change. It bounds the view's age while
	// nothing changes.
	ShortPollWait = 700 * time.Millisecond
	// LongPollWait is the same on the other nodes; the store allows no longer one.
	LongPollWait = 30 * time.Second
)

// AgeLimits limits what may be done with a view by its age.
type AgeLimits struct {
	// MaxSendAge is the age up to which requests with a key are sent. It is below the time in
	// which a revoked key must stop working.
	MaxSendAge time.Duration
	// MaxDenyAge is the age up to which an unknown key or route is denied for good. Above it
	// the caller is asked to try again, since the key or route may have been added meanwhile.
	MaxDenyAge time.Duration
}

// Age is the time since both tables were known to be complete.
func (r *Replica) Age(now time.Duration) time.Duration {
	return now - r.FreshAt()
}
