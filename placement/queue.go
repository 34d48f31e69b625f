package placement

import (
	"strings"
	"time"

	"github.com/wigeontiller/wigeontiller/admission"
)

// Submit takes a request. One that is not decided at once is queued for Advance.
func (s *Scheduler) Submit(now time.Duration, request *Request) Decision {
	service, eligible, refused := s.candidates(now, request)
	if service == nil {
		return refused
	}
	item := s.item(now, service, request)
	s.recordWork(service, request)
	if !request.IsRetry && !s.returns.Early(now, request.Identity) {
		s.admission.Arrive(now, item.Class)
	}
	room := s.room(now, request, request.PromptTokens+request.AnswerTokens)
	action, wait := s.admission.Decide(now, &item.Arrival, room)
	switch action {
	case admission.Refuse:
		return s.refuseForWait(now, request, &item.Arrival, room, wait)
	case admission.Run:
		if decision, decided := s.placeEligible(now, request, service, eligible, room); decided {
			s.charge(item, decision)
			return decision
		}
	case admission.Wait:
	}
	s.queue.Push(now, item)
	return Decision{}
}

// Advance decides on queued requests in their order: first those that can still begin on time.
// Under overload some requests are served on time instead of all of them late.
func (s *Scheduler) Advance(now time.Duration) []Decision {
	var decisions []Decision
	for _, item := range s.queue.GivenUp(now) {
		if decision, decided := s.decide(now, item.Value); decided {
			s.queue.Remove(item.ID)
			s.charge(item, decision)
			decisions = append(decisions, decision)
		}
	}
	round := advanceRound{scheduler: s, now: now, rooms: map[roomKey]admission.Room{}, blocked: map[blockedKey]int{}}
	s.queue.Serve(now, func(item *admission.Item[*Request], late bool) admission.Verdict {
		decision, verdict := round.offer(item, late)
		if verdict != admission.Kept {
			decisions = append(decisions, decision)
		}
		return verdict
	})
	return decisions
}

// advanceRound is one pass over the queue.
type advanceRound struct {
	scheduler *Scheduler
	now       time.Duration
	rooms     map[roomKey]admission.Room
	// blocked holds the least memory for which there was no place. Requests that need as much are
	// not tried.
	blocked map[blockedKey]int
}

type roomKey struct{ service, regions string }

// blockedKey keeps late requests apart: others may precede them that don't precede those on time.
type blockedKey struct {
	roomKey
	priority uint8
	late     bool
	long     bool
}

// offer places or refuses a queued request, or keeps it.
func (r *advanceRound) offer(item *admission.Item[*Request], late bool) (Decision, admission.Verdict) {
	s, request := r.scheduler, item.Value
	key := blockedKey{roomKey: roomKey{service: request.Service, regions: strings.Join(request.Regions, " ")}, priority: item.Priority, late: late, long: item.Long}
	room, known := r.rooms[key.roomKey]
	need := request.PromptTokens + request.AnswerTokens
	if least, ok := r.blocked[key]; !ok || need < least || len(request.Avoid) > 0 {
		service, eligible, refused := s.candidates(r.now, request)
		if service == nil {
			return refused, admission.Dropped
		}
		if !known {
			room = s.room(r.now, request, 0)
			r.rooms[key.roomKey] = room
		}
		if s.admission.MayTake(r.now, &item.Arrival, late, room) {
			if decision, decided := s.placeEligible(r.now, request, service, eligible, room); decided {
				room.Free--
				r.rooms[key.roomKey] = room
				return decision, verdict(decision)
			}
		}
		if len(request.Avoid) == 0 && (room.Free <= 0 || !item.Long) {
			r.blocked[key] = need
		}
	}
	if late && !item.Reconsidered {
		item.Reconsidered = true
		if action, wait := s.admission.Decide(r.now, &item.Arrival, room); action == admission.Refuse {
			return s.refuseForWait(r.now, request, &item.Arrival, room, wait), admission.Dropped
		}
	}
	return Decision{}, admission.Kept
}

func verdict(decision Decision) admission.Verdict {
	if decision.Lead == nil {
		return admission.Dropped
	}
	return admission.Placed
}

// Waiting is the number of queued requests.
func (s *Scheduler) Waiting() int { return s.queue.Len() }

// Cancel removes a queued request.
func (s *Scheduler) Cancel(id string) { s.queue.Remove(id) }

// charge charges a request that was placed to its organisation.
func (s *Scheduler) charge(item *admission.Item[*Request], decision Decision) {
	if decision.Lead != nil {
		s.queue.Charge(item)
	}
}
