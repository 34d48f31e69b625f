// Package placement decides where and when each request runs on a fleet whose
// engines publish their pass model: which engine leads, which others read a part
// of its prompt, who waits and who is refused. It does no I/O and reads no clock.
// A Scheduler is not safe for concurrent use; package exchange holds the lock.
package placement

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// Config holds the limits of a scheduler.
type Config struct {
	Zone string
	// Regions gives the region of each zone.
	Regions map[string]string
	// PrefillChunkMs is the reading time that a prompt is split down to.
	PrefillChunkMs float64
	// MaxPrefillEngines bounds the engines that read one prompt.
	MaxPrefillEngines int
	// Urgency ranks the request at an engine: 0 to 9, 0 first. Short prompts go
	// before long ones, so that they aren't read after them.
	Urgency int
	// MaxPassMs is the longest pass that long prompts are paced for: what streams beside
	// them bear between two events.
	MaxPassMs float64
	// ColdRateFactor is the part of the rate that cold upstreams bear which all nodes
	// together use.
	ColdRateFactor float64
	Random         *rand.Rand
}

// Request is what the scheduler needs to know of a request.
type Request struct {
	ID      string
	Service string
	Kind    fleet.RouteKind
	// PromptTokens and AnswerTokens are 0 for a plain service.
	PromptTokens, AnswerTokens int
	Priority                   int
	// Arrived, AnswerDue and Deadline are readings of the scheduler's clock: when it
	// came, when its answer has to begin to be on time, and when it must have ended.
	Arrived, AnswerDue, Deadline time.Duration
	// CallerTimeoutAt is when the caller leaves if its answer has not begun; 0 is at the
	// deadline.
	CallerTimeoutAt time.Duration
	// Avoid holds the IDs of upstreams where an earlier attempt failed.
	Avoid []string
	// Regions are those whose upstreams may run it; empty is all.
	Regions []string
	// IsRetry is true for a request that was placed before.
	IsRetry bool
}

// Reason says why a request was refused.
type Reason string

// The reasons.
const (
	NoUpstream Reason = "no_upstream"
	TooLarge   Reason = "too_large"
	TooLate    Reason = "too_late"
	// Busy means that it would make too many others late.
	Busy Reason = "busy"
)

// Decision is the scheduler's word on a request. Neither Lead nor Reason is set
// for one that waits.
type Decision struct {
	ID      string
	Lead    *fleet.Upstream
	Helpers []*fleet.Upstream
	// Reservations is the memory to set aside before the send, the lead's first; empty
	// where the lead holds the whole prompt.
	Reservations []Reservation
	Reason       Reason
	// RetryAfter is set for a refusal.
	RetryAfter time.Duration
	// Urgency ranks the request at an engine: 0 to 9, 0 first. Short prompts go
	// before long ones, so that they aren't read after them.
	Urgency int
	// BacklogMs is the unread time at the lead before the request, for logs.
	BacklogMs float64
	// ExpectedFirstEvent is the time to the first event that the model gives.
	ExpectedFirstEvent time.Duration
}

// Reservation is memory to set aside at one engine.
type Reservation struct {
	Upstream *fleet.Upstream
	Tokens   int
}

// placed is a request that runs.
type placed struct {
	lead *load
	// parts are the engines that read the prompt, the lead first.
	parts []part
	// memory is what the lead has to hold beside what is reserved in parts.
	memory int
	// partMs is the reading time of each part.
	partMs float64
	read   bool
}

// part is one engine's part of a prompt.
type part struct {
	load *load
	// addedMs is all that had been booked there, with this part.
	addedMs float64
	// memory is set aside there.
	memory int
}

// Scheduler holds the loads and the queue.
type Scheduler struct {
	config  Config
	site    *fleet.Configuration
	view    fleet.View
	loads   map[string]*load
	byHash  map[uint32]*load
	running map[string]*placed
	queue   []*Request
	nodes   int
	changed map[*load]struct{}
}

// New returns a scheduler without upstreams.
func New(config Config) *Scheduler {
	return &Scheduler{
		config: config, loads: map[string]*load{}, byHash: map[uint32]*load{},
		running: map[string]*placed{}, nodes: 1, changed: map[*load]struct{}{},
	}
}

// Hash names an upstream in messages between nodes.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// SetNodeCount sets how many nodes share the upstreams' limits.
func (s *Scheduler) SetNodeCount(nodes int) { s.nodes = max(1, nodes) }

// UpdateView takes a new view. An upstream that started again begins anew.
func (s *Scheduler) UpdateView(view fleet.View) {
	s.site, s.view = view.Configuration, view
	for id, known := range s.loads {
		entry, ok := view.Upstreams[id]
		if ok && entry.StartedMs == known.entry.StartedMs {
			known.entry, known.engine = entry, engineOf(view.Configuration, entry)
			continue
		}
		delete(s.loads, id)
		delete(s.byHash, known.hash)
		delete(s.changed, known)
	}
	for id, entry := range view.Upstreams {
		if s.loads[id] == nil {
			made := &load{entry: entry, engine: engineOf(view.Configuration, entry), hash: Hash(id), others: map[string]Totals{}}
			s.loads[id], s.byHash[made.hash] = made, made
		}
	}
}

func engineOf(site *fleet.Configuration, entry *fleet.Upstream) *fleet.Engine {
	if site == nil || site.Services[entry.Service] == nil {
		return nil
	}
	return site.Services[entry.Service].Engine
}

// Submit takes a request. One that is not decided at once waits for Advance.
func (s *Scheduler) Submit(now time.Duration, request *Request) Decision {
	decision, decided := s.decide(now, request)
	if !decided {
		s.enqueue(request)
	}
	return decision
}

func (s *Scheduler) enqueue(request *Request) {
	at := sort.Search(len(s.queue), func(i int) bool { return before(request, s.queue[i]) })
	s.queue = slices.Insert(s.queue, at, request)
}

// before orders the queue: rank first, then who has to begin first.
func before(a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.AnswerDue < b.AnswerDue
}

// Advance decides on waiting requests: first those that can still begin on time,
// in their order, then the others. When more comes than can be served, some are
// served on time instead of all of them late.
func (s *Scheduler) Advance(now time.Duration) []Decision {
	var decisions []Decision
	var kept, late []*Request
	for _, request := range s.queue {
		if now > request.AnswerDue-beginSlack {
			late = append(late, request)
			continue
		}
		if decision, decided := s.decide(now, request); decided {
			decisions = append(decisions, decision)
		} else {
			kept = append(kept, request)
		}
	}
	for _, request := range late {
		if decision, decided := s.decide(now, request); decided {
			decisions = append(decisions, decision)
		} else {
			kept = append(kept, request)
		}
	}
	s.queue = kept
	sort.SliceStable(s.queue, func(i, j int) bool { return before(s.queue[i], s.queue[j]) })
	return decisions
}

// Waiting is the number of requests that wait.
func (s *Scheduler) Waiting() int { return len(s.queue) }

// Cancel forgets a request that waits.
func (s *Scheduler) Cancel(id string) {
	s.queue = slices.DeleteFunc(s.queue, func(r *Request) bool { return r.ID == id })
}

func (s *Scheduler) decide(now time.Duration, request *Request) (Decision, bool) {
	if s.site == nil || s.site.Services[request.Service] == nil {
		return refuse(request, NoUpstream, defaultRetryAfter), true
	}
	service := s.site.Services[request.Service]
	eligible := s.eligible(now, request, service)
	if len(eligible) == 0 {
		return refuse(request, NoUpstream, defaultRetryAfter), true
	}
	var decision Decision
	var done bool
	if service.Engine != nil && request.PromptTokens > 0 {
		decision, done = s.placeEngine(now, request, service, eligible)
	} else {
		decision, done = s.placePlain(now, request, service, eligible)
	}
	if !done && now >= s.lastStart(request) {
		return refuse(request, TooLate, s.retryAfter(now, request)), true
	}
	return decision, done
}

const (
	// defaultRetryAfter is when to come back where no better guess is at hand: a
	// heartbeat interval of the upstreams is when the next one may appear.
	defaultRetryAfter = time.Second
	// minimumRun is the time without which no upstream can give an answer.
	minimumRun = 50 * time.Millisecond
	// beginSlack is the time from the send to the first event of a short prompt at
	// an engine without backlog: two passes.
	beginSlack = 100 * time.Millisecond
)

// lastStart is when a waiting request is given up: its caller would leave before
// the answer begins.
func (s *Scheduler) lastStart(request *Request) time.Duration {
	if request.CallerTimeoutAt > 0 {
		return min(request.Deadline-minimumRun, request.CallerTimeoutAt-beginSlack)
	}
	return request.Deadline - minimumRun
}

func refuse(request *Request, reason Reason, after time.Duration) Decision {
	return Decision{ID: request.ID, Reason: reason, RetryAfter: after}
}

// retryAfter is when the backlog of the least loaded engine will be read.
func (s *Scheduler) retryAfter(now time.Duration, request *Request) time.Duration {
	least := -1.0
	for _, l := range s.loads {
		if l.entry.Service != request.Service {
			continue
		}
		if backlog := l.unread(now); least < 0 || backlog < least {
			least = backlog
		}
	}
	return defaultRetryAfter/4 + time.Duration(max(0, least)*float64(time.Millisecond))
}

// eligible are the upstreams that may take the request at all; those to avoid
// only when there is no other.
func (s *Scheduler) eligible(now time.Duration, request *Request, service *fleet.Service) []*load {
	var good, avoided []*load
	for _, l := range s.loads {
		entry := l.entry
		if entry.Service != service.Name || entry.Draining || s.view.ZonesOutOfService[entry.Zone] || !s.home(request, entry.Zone) {
			continue
		}
		if slices.Contains(request.Avoid, entry.ID) || now < l.avoidUntil || entry.Missing() {
			avoided = append(avoided, l)
		} else {
			good = append(good, l)
		}
	}
	if len(good) > 0 {
		return good
	}
	if request.IsRetry {
		avoided = slices.DeleteFunc(avoided, func(l *load) bool { return slices.Contains(request.Avoid, l.entry.ID) })
	}
	return avoided
}

func (s *Scheduler) home(request *Request, zone string) bool {
	return len(request.Regions) == 0 || slices.Contains(request.Regions, s.config.Regions[zone])
}

// InService reports whether a placed request may still be sent to its upstreams.
func (s *Scheduler) InService(decision *Decision) bool {
	for _, entry := range append(decision.Helpers[:len(decision.Helpers):len(decision.Helpers)], decision.Lead) {
		known := s.loads[entry.ID]
		if known == nil || known.entry.Draining || s.view.ZonesOutOfService[entry.Zone] || known.entry.StartedMs != entry.StartedMs {
			return false
		}
	}
	return true
}
