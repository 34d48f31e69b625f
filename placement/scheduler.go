// Package placement decides where and when each request runs on a fleet whose
// engines publish their pass model: which engine leads and produces the answer,
// which prefill helpers compute a chunk of its prompt, which requests wait and which
// are refused. It does no I/O and reads no clock. A Scheduler is not safe for
// concurrent use; package exchange holds the lock.
package placement

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeontiller/wigeontiller/admission"
	"github.com/wigeontiller/wigeontiller/fleet"
)

// Config holds the limits of a scheduler.
type Config struct {
	Zone string
	// Regions maps each zone to its region.
	Regions map[string]string
	// PrefillChunkMs is the prefill time of the chunks that a long prompt is split into.
	PrefillChunkMs float64
	// MaxPrefillEngines is the most engines that prefill one prompt.
	MaxPrefillEngines int
	// Urgency ranks the request at an engine: 0 to 9, 0 first. Short prompts go
	// before long ones, so that their prefill does not wait behind them.
	Urgency int
	// MaxPassMs is the longest pass that long prompts may cause where no route has a pause
	// target: the gap between two events that streams on the same engine tolerate.
	MaxPassMs float64
	// ColdRateFactor is the factor on the rate that cold upstreams take; all nodes together use
	// the product.
	ColdRateFactor float64
	// DrainTime is how long upstreams serve after the store has accepted that they drain; 0 is not
	// known. The last upstream of a service is used for that time, less drainMargin.
	DrainTime time.Duration
	// SenderRank returns this node's place in the order of the nodes that may send to an upstream of
	// a zone which states a limit, their number, and the part of the limit that is theirs. Nil is a node without others.
	SenderRank func(id, zone string) (rank, nodes int, part float64)
	Random     *rand.Rand
}

// Request is what the scheduler needs to know of a request.
type Request struct {
	// ID names the placement. The caller makes it, a new one for each placement.
	ID      string
	Service string
	Kind    fleet.RouteKind
	// PromptTokens and AnswerTokens are 0 for a plain service.
	PromptTokens, AnswerTokens int
	Priority                   int
	// Arrived, AnswerDue and Deadline are readings of the scheduler's clock: when the request
	// arrived, when its answer must begin to be on time, and when it must have ended.
	Arrived, AnswerDue, Deadline time.Duration
	// Organisation shares scarce room with others; empty is unknown.
	Organisation string
	// Identity is the hash of the request's content: the same when its caller sends it again.
	Identity uint64
	// CallerTimeoutAt is when the caller disconnects if the answer has not begun; 0 is at the deadline.
	CallerTimeoutAt time.Duration
	// Avoid holds the IDs of upstreams where an earlier attempt failed.
	Avoid []string
	// Regions are those whose upstreams may run the request; empty is all.
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
	// LimitReached means that all upstreams that may run the request state limits which are used up.
	LimitReached Reason = "request_limit"
	// NoRoomInTime means that too many requests precede it.
	NoRoomInTime Reason = "no_room_in_time"
	// Busy means that the request would make too many others late.
	Busy Reason = "busy"
)

// Decision is the scheduler's decision on a request. Neither Lead nor Reason is set
// while the request waits.
type Decision struct {
	ID      string
	Lead    *fleet.Upstream
	Helpers []*fleet.Upstream
	// Reservations is the memory to reserve before the request is sent, the lead's first; empty
	// where the lead holds the whole prompt.
	Reservations []Reservation
	Reason       Reason
	// RetryAfter is set for a refusal; 0 if no time is known at which there will be room.
	RetryAfter time.Duration
	// ExpectedWait is set for NoRoomInTime: the time until the request could have begun.
	ExpectedWait time.Duration
	// BusyEngines is set for Busy: what the refusal rests on.
	BusyEngines *BusyEngines
	// Urgency ranks the request at an engine: 0 to 9, 0 first. Short prompts go
	// before long ones, so that their prefill does not wait behind them.
	Urgency int
	// BacklogMs is the lead's prefill backlog before the request, for logs.
	BacklogMs float64
	// ExpectedFirstEvent is the time to the first event according to the pass model.
	ExpectedFirstEvent time.Duration
}

// BusyEngines describes the engines that were too busy for a prompt.
type BusyEngines struct {
	// Wanted is the number of engines that would have read the prompt, Needed the fewest that hold it, and
	// AtHand the number of those that may read it.
	Wanted, Needed, AtHand int
	// PrefillLoad is the share of the recent time of the engines at hand that went to prefill.
	PrefillLoad float64
}

// Reservation is memory to reserve at one engine.
type Reservation struct {
	Upstream *fleet.Upstream
	Tokens   int
}

// runningRequest is a request that was placed and has not ended.
type runningRequest struct {
	lead *load
	// chunks has one entry for each engine that prefills the prompt, the lead's first.
	chunks []prefillChunk
	// memoryTokens is what the lead holds in addition to its reservation in chunks.
	memoryTokens int
	// chunkMs is the prefill time of each chunk.
	chunkMs   float64
	prefilled bool
	class     admission.Class
	placedAt  time.Duration
}

// prefillChunk is one engine's part of a prompt.
type prefillChunk struct {
	load *load
	// totalAddedMs is load.totalAddedMs just after this chunk was added.
	totalAddedMs float64
	// memoryTokens is reserved there for the prompt.
	memoryTokens int
}

// Scheduler holds the loads of the upstreams and the queue.
type Scheduler struct {
	config        Config
	configuration *fleet.Configuration
	view          fleet.View
	loads         map[string]*load
	byHash        map[uint32]*load
	// ordered holds the loads by ID, so that decisions depend on the random source alone.
	ordered   []*load
	running   map[string]*runningRequest
	queue     *admission.Queue[*Request]
	nodeCount int
	changed   map[*load]struct{}
	// pauseTargets are in ms, by service.
	pauseTargets map[string]float64
	// divisions are by service, claims by the request's ID, holds by the upstream's.
	divisions map[string]*division
	claims    map[string]*claim
	holds     map[string]*hold
	// unreached holds the services whose upstreams this node does not reach.
	unreached map[string]bool
	// limits are by the upstream's incarnation.
	limits map[uint32]*knownLimit
	// admission knows what waits and arrives at all nodes.
	admission *admission.Controller
	returns   *admission.Returns
	// scarce and turnShare are of the request under decision: whether there is too little room for
	// its service, and this node's share of it.
	scarce    bool
	turnShare float64
	// work is what a request needs, by class.
	work map[admission.Class]*meanWork
}

// New returns a scheduler without upstreams.
func New(config Config) *Scheduler {
	if config.SenderRank == nil {
		config.SenderRank = func(string, string) (rank, nodes int, part float64) { return 0, 1, 1 }
	}
	queue := admission.NewQueue[*Request]()
	return &Scheduler{
		limits: map[uint32]*knownLimit{}, config: config, loads: map[string]*load{}, byHash: map[uint32]*load{},
		running: map[string]*runningRequest{}, nodeCount: 1, changed: map[*load]struct{}{}, holds: map[string]*hold{}, divisions: map[string]*division{}, claims: map[string]*claim{}, unreached: map[string]bool{},
		queue: queue, admission: admission.NewController(queue.Waiting), work: map[admission.Class]*meanWork{}, returns: admission.NewReturns(),
	}
}

// Hash identifies an upstream in messages between nodes.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// SetNodeCount sets how many nodes share the upstreams' limits.
func (s *Scheduler) SetNodeCount(nodes int) {
	s.nodeCount = max(1, nodes)
	s.admission.Alone = s.nodeCount == 1
}

// UpdateView takes a new view. The load of an upstream that was restarted begins at zero.
func (s *Scheduler) UpdateView(view fleet.View) {
	if view.Configuration != s.configuration {
		s.pauseTargets = pauseTargets(view.Configuration)
	}
	started := s.configuration == nil
	s.configuration, s.view = view.Configuration, view
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
			made := &load{entry: entry, engine: engineOf(view.Configuration, entry), hash: Hash(id), incarnation: incarnationOf(entry), totalsByNode: map[string]Totals{}}
			made.coldPermits = s.firstColdPermit(entry, started)
			s.loads[id], s.byHash[made.hash] = made, made
		}
	}
	s.order()
}

// firstColdPermit returns this node's first part of the rate of an upstream that is new to it. An
// upstream that appears while the node runs, or says that it is cold, may be met by all nodes at
// once: each then begins with another part of a permit, so that their permits are spread over the
// time in which a node gets one. At the node's start, warm upstreams can be used at once.
func (s *Scheduler) firstColdPermit(entry *fleet.Upstream, started bool) float64 {
	if started && entry.ColdFor <= 0 || s.config.Random == nil {
		// The first refill cuts it to the burst.
		return math.Inf(1)
	}
	return s.config.Random.Float64()
}

// order sorts the loads for iteration.
func (s *Scheduler) order() {
	s.ordered = slices.SortedFunc(maps.Values(s.loads), func(a, b *load) int { return strings.Compare(a.entry.ID, b.entry.ID) })
}

func engineOf(configuration *fleet.Configuration, entry *fleet.Upstream) *fleet.Engine {
	if configuration == nil || configuration.Services[entry.Service] == nil {
		return nil
	}
	return configuration.Services[entry.Service].Engine
}

// decide places or refuses a request, or reports false if it has to wait.
func (s *Scheduler) decide(now time.Duration, request *Request) (Decision, bool) {
	service, eligible, refused := s.candidates(now, request)
	if service == nil {
		return refused, true
	}
	return s.placeEligible(now, request, service, eligible, s.room(now, request, 0))
}

// candidates returns the upstreams that may take a request. If there are none, the service is nil
// and the request is refused.
func (s *Scheduler) candidates(now time.Duration, request *Request) (*fleet.Service, []*load, Decision) {
	if s.configuration == nil || s.configuration.Services[request.Service] == nil {
		return nil, nil, refuse(request, NoUpstream, defaultRetryAfter)
	}
	service := s.configuration.Services[request.Service]
	eligible := s.eligible(now, request, service)
	if len(eligible) == 0 {
		if wait := s.earliestPermit(now, request.Service); wait > 0 {
			return nil, nil, refuse(request, LimitReached, wait)
		}
		return nil, nil, refuse(request, NoUpstream, max(defaultRetryAfter, s.earliestResume(now, request.Service)))
	}
	return service, eligible, Decision{}
}

// placeEligible places a request on one of the upstreams. It reports false if there is no room now
// and the request can still wait.
func (s *Scheduler) placeEligible(now time.Duration, request *Request, service *fleet.Service, eligible []*load, room admission.Room) (Decision, bool) {
	var decision Decision
	var done bool
	s.drawTurns(now, service, request, now > request.AnswerDue-s.timeToFirstEvent(service, request), room)
	if service.Engine != nil && request.PromptTokens > 0 {
		decision, done = s.placeEngine(now, request, service, eligible)
	} else {
		decision, done = s.placePlain(now, request, service, eligible)
	}
	if !done && now >= s.latestStart(request) {
		arrival := s.arrival(now, service, request)
		return refuse(request, TooLate, s.returnAfter(now, request, &arrival, room)), true
	}
	return decision, done
}

const (
	// defaultRetryAfter is the retry hint where there is no better estimate: the heartbeat
	// interval of the upstreams, after which the next one may appear.
	defaultRetryAfter = time.Second
	// minExecutionTime is the least time in which an upstream can give an answer.
	minExecutionTime = 50 * time.Millisecond
	// firstEventSlack is the time from the send to the first event of a short prompt at
	// an engine without backlog: two passes.
	firstEventSlack = 100 * time.Millisecond
)

// latestStart is when a queued request is given up: from then on its caller would
// disconnect before the answer begins.
func (s *Scheduler) latestStart(request *Request) time.Duration {
	if request.CallerTimeoutAt > 0 {
		return min(request.Deadline-minExecutionTime, request.CallerTimeoutAt-firstEventSlack)
	}
	return request.Deadline - minExecutionTime
}

func refuse(request *Request, reason Reason, after time.Duration) Decision {
	return Decision{ID: request.ID, Reason: reason, RetryAfter: after}
}

// retryAfter is when the engine with the smallest backlog will have worked it off.
func (s *Scheduler) retryAfter(now time.Duration, request *Request) time.Duration {
	least := -1.0
	for _, l := range s.loads {
		if l.entry.Service != request.Service {
			continue
		}
		if backlog := l.backlogMs(now); least < 0 || backlog < least {
			least = backlog
		}
	}
	return defaultRetryAfter/4 + time.Duration(max(0, least)*float64(time.Millisecond))
}

// eligible returns the upstreams that may take the request; those to avoid only when
// there is no other.
func (s *Scheduler) eligible(now time.Duration, request *Request, service *fleet.Service) []*load {
	var preferred, avoided, draining []*load
	for _, l := range s.ordered {
		entry := l.entry
		if entry.Service != service.Name || s.view.ZonesOutOfService[entry.Zone] || !s.inAllowedRegion(request, entry.Zone) {
			continue
		}
		if _, held := s.held(now, l); held || !s.limitAllows(now, l) {
			continue
		}
		if entry.Draining {
			draining = append(draining, l)
		} else if slices.Contains(request.Avoid, entry.ID) || now < l.avoidUntil || entry.Missing() {
			avoided = append(avoided, l)
		} else {
			preferred = append(preferred, l)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	if request.IsRetry {
		avoided = slices.DeleteFunc(avoided, func(l *load) bool { return slices.Contains(request.Avoid, l.entry.ID) })
	}
	if len(avoided) == 0 {
		return s.lastUpstreams(now, request, service, draining)
	}
	return avoided
}

func (s *Scheduler) inAllowedRegion(request *Request, zone string) bool {
	return len(request.Regions) == 0 || slices.Contains(request.Regions, s.config.Regions[zone])
}

// InService reports whether a placed request may still be sent to its upstreams.
func (s *Scheduler) InService(now time.Duration, decision *Decision) bool {
	for _, entry := range append(decision.Helpers[:len(decision.Helpers):len(decision.Helpers)], decision.Lead) {
		known := s.loads[entry.ID]
		if known == nil || known.entry.Draining && !s.maySendDraining(now, entry, known) || s.view.ZonesOutOfService[entry.Zone] || known.entry.StartedMs != entry.StartedMs {
			return false
		}
		if _, held := s.held(now, known); held {
			return false
		}
	}
	return true
}
