package placement

import (
	"math"
	"time"

	"github.com/wigeontiller/wigeontiller/admission"
	"github.com/wigeontiller/wigeontiller/fleet"
)

// While a service has too little room, several nodes hear of the same free place at about the same
// time. Each then draws once whether it may take it, with the chance that is its part of what waits
// and arrives at all nodes, so that on average one of them does. A place that this node's own request
// has left is not yet known to the others and needs no draw.
const (
	// newsTime is about the time in which the other nodes hear that a place was taken or left.
	newsTime = 60 * time.Millisecond
	// redrawTime is the time after which a place that nobody has taken is drawn for again.
	redrawTime = newsTime
	// turnTTL is how long a won place may be taken.
	turnTTL = 20 * time.Millisecond
	// scarceFactor is the number of free places for each competing request up to which a service has
	// too little room.
	scarceFactor = 5
	// maxDraws bounds the time that a draw takes: an upstream may have any number of places.
	maxDraws = 64
)

// turns are the places of an upstream that this node may take while there is too little room.
type turns struct {
	// own counts places that this node's requests have left, as of ownAt, and won those that it won,
	// as of drawnAt.
	own, won       int
	ownAt, drawnAt time.Duration
	// heard counts places that others have left, according to messages since the last draw.
	heard int
}

func (t *turns) leave(now time.Duration) {
	if now-t.ownAt > newsTime {
		t.own = 0
	}
	t.own++
	t.ownAt = now
}

// take uses up a turn.
func (t *turns) take() {
	if t.own > 0 {
		t.own--
	} else {
		t.won = max(0, t.won-1)
	}
}

// draw draws for the free places that are new, or for all of them after redrawTime.
func (t *turns) draw(now time.Duration, free int, share float64, random func() float64) {
	count := min(t.heard, free)
	if now-t.drawnAt > redrawTime {
		count = free
	}
	t.heard = 0
	if count <= 0 {
		return
	}
	t.drawnAt, t.won = now, 0
	drawn := min(count, maxDraws)
	for range drawn {
		if random() < share {
			t.won++
		}
	}
	// Of many places about the expected number is won in any case.
	t.won += int(min(share, 1) * float64(count-drawn))
}

// allowed reports whether this node may take a place.
func (t *turns) allowed(now time.Duration) bool {
	return t.own > 0 && now-t.ownAt <= newsTime || t.won > 0 && now-t.drawnAt <= turnTTL
}

// drawTurns prepares hasPlace for a decision on a request. Few prompts are long, and which engine reads one
// matters more than that several nodes may choose the same: they need no turn.
func (s *Scheduler) drawTurns(now time.Duration, service *fleet.Service, request *Request, late bool, room admission.Room) {
	if s.isLong(service, request) {
		s.scarce = false
		return
	}
	s.turnShare, s.scarce = s.admission.Share(now, classOf(request), late, room, scarceFactor)
}

// hasPlace reports whether an upstream has a place that the request under decision may take.
func (s *Scheduler) hasPlace(now time.Duration, l *load) bool {
	free := l.freePlaces(now)
	if free <= 0 || !s.scarce {
		return free > 0
	}
	l.turns.draw(now, free, s.turnShare, s.config.Random.Float64)
	return l.turns.allowed(now)
}

// places is the number of requests that an upstream takes at a time.
func (l *load) places() int {
	switch {
	case l.engine != nil:
		return l.engine.Slots
	case l.entry.Slots > 0:
		return l.entry.Slots + maxPlainQueue
	}
	return math.MaxInt32
}

func (l *load) freePlaces(now time.Duration) int {
	if l.engine == nil {
		return max(0, l.places()-l.totalRunning())
	}
	return max(0, l.places()-l.occupied(now))
}
