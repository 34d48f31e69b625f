package fleet

import "time"

const (
	// ShortPollWait is how long a call for changes may wait at the store, at the nodes
	// that tell the others that there is no change. It bounds the age of what is
	// known on a quiet site.
	ShortPollWait = 700 * time.Millisecond
	// LongPollWait is the same at the other nodes.
	LongPollWait = 15 * time.Second
)

// AgeLimits bounds what may be done with beliefs of an age.
type AgeLimits struct {
	// MaxSendAge is the age up to which keyed requests are sent. It stands under the
	// time in which a key that was taken away must have stopped.
	MaxSendAge time.Duration
	// MaxDenyAge is the age up to which an unknown key or route is denied; after it
	// the answer is to come back, since it may have been added meanwhile.
	MaxDenyAge time.Duration
}

// Age is how long ago both tables were known to be complete.
func (b *Replica) Age(now time.Duration) time.Duration {
	return now - b.FreshAt()
}
