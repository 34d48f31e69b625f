package loadshare

import "time"

const (
	// sharesFor is how long a node that is not heard still counts among those that share limits: it may be cut off from
	// this one and go on sending.
	sharesFor = 10 * time.Minute
	// removeAfter is the same for a node that said that it shuts down: longer than the grace period, or a
	// retry window after its end. It is also how long counts of others are relied on.
	removeAfter = 15 * time.Second
)

// sightings holds when the nodes of this zone were last known to be there, by the hash of the name. It is not safe for
// concurrent use.
type sightings map[uint32]sighting

type sighting struct {
	at           time.Time
	shuttingDown bool
}

func (s sightings) record(hash uint32, at time.Time, shuttingDown bool) {
	s[hash] = sighting{at: at, shuttingDown: shuttingDown}
}

// count returns the number of nodes other than self that may be sending, and forgets the others.
func (s sightings) count(now time.Time, self uint32) int {
	nodes := 0
	for hash, seen := range s {
		switch {
		case now.Sub(seen.at) > countedFor(seen.shuttingDown):
			delete(s, hash)
		case hash != self:
			nodes++
		}
	}
	return nodes
}

// countedFor returns how long a node that is not heard counts among those that share limits.
func countedFor(shuttingDown bool) time.Duration {
	if shuttingDown {
		return removeAfter
	}
	return sharesFor
}
