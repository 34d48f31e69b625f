package admission

import "time"

const (
	// maxReturns is the most callers whose return is remembered.
	maxReturns = 4096
	// returnSlack is how much before its time a caller may come back in its turn, and returnTTL how
	// long after it.
	returnSlack, returnTTL = 100 * time.Millisecond, time.Second
	// minReturn is the shortest time after which a return can find another situation.
	minReturn = 100 * time.Millisecond
	// growingDelay is the part of the window that is left out while more arrives than there is room for.
	growingDelay = 0.5
	// priorityDelay is the part of the window by which each lower priority comes back later, up to
	// maxDelayedPriorities of them.
	priorityDelay, maxDelayedPriorities = 0.2, 2
)

// Returns plans when refused callers come back, and remembers what they were told. It is not safe for
// concurrent use.
type Returns struct {
	// due holds when callers were told to come back, by the identity of their request.
	due map[uint64]time.Duration
	// order holds the identities, the oldest first, and where the next one goes once it is full.
	order []uint64
	next  int
}

// NewReturns returns an empty plan.
func NewReturns() *Returns { return &Returns{due: map[uint64]time.Duration{}} }

// Plan returns after which time a refused request is to come back, at most latest, so that there is
// room for it and the returns of a class are spread; 0 if no time helps.
func (r *Returns) Plan(now time.Duration, identity uint64, priority uint8, forecast Forecast, latest time.Duration) time.Duration {
	earliest := max(forecast.Clearing, minReturn)
	if earliest > latest {
		return 0
	}
	if forecast.Growing {
		earliest += time.Duration(float64(latest-earliest) * growingDelay)
	}
	window := float64(latest - earliest)
	start := priorityDelay * float64(min(priority, maxDelayedPriorities))
	// The identity is a hash: its low bits place the request within the rest of the window.
	const parts = 1 << 16
	share := start + (1-start)*float64(identity%parts)/parts
	after := earliest + time.Duration(window*share)
	r.remember(identity, now+after)
	return after
}

func (r *Returns) remember(identity uint64, at time.Duration) {
	if _, known := r.due[identity]; !known {
		if len(r.order) < maxReturns {
			r.order = append(r.order, identity)
		} else {
			delete(r.due, r.order[r.next])
			r.order[r.next] = identity
			r.next = (r.next + 1) % maxReturns
		}
	}
	r.due[identity] = at
}

// InTurn reports whether a request comes back about when its caller was told.
func (r *Returns) InTurn(now time.Duration, identity uint64) bool {
	at, known := r.due[identity]
	return known && now >= at-returnSlack && now <= at+returnTTL
}

// Early reports whether a request comes again before its caller was told to: it is counted once.
func (r *Returns) Early(now time.Duration, identity uint64) bool {
	at, known := r.due[identity]
	return known && now < at-returnSlack
}
