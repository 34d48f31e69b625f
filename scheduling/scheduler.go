package scheduling

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/scheduling/estimation"
	"github.com/wigeontiller/wigeontiller/scheduling/fairqueue"
	"github.com/wigeontiller/wigeontiller/scheduling/retrybudget"
	"github.com/wigeontiller/wigeontiller/scheduling/tokenbucket"
	"github.com/wigeontiller/wigeontiller/tables"
)

// minRetryAfter is the retry-after time while no better estimate is known, and the
// least one while no upstream can take the request.
const minRetryAfter = 500 * time.Millisecond

// Scheduler holds the queues, and the load of each upstream as known to this node.
type Scheduler struct {
	dataCentre string
	// position is this node's index among the live nodes of its data centre.
	position, nodes int
	random          *rand.Rand
	tables          *tables.Tables
	estimator       *estimation.Estimator

	pools     map[poolKey]*pool
	upstreams map[string]*upstreamState
	// ordered and orderedPools are the upstreams and pools in a fixed order.
	ordered      []*upstreamState
	orderedPools []*pool
	ramping      []*upstreamState
	waiting      map[string]*waitingRequest
	// queued is the number of waiting requests of each lane.
	queued  map[laneKey]int
	running map[string]*runningRequest
	timers  timerHeap
	// pending holds decisions on waiting requests that the next Advance returns.
	pending []Decision

	longPrefills    map[longPrefillKey]int
	fallback        func(upstreamID string) Share
	shareExpiry     time.Time
	buckets         map[string]*tokenbucket.Bucket
	requestedTokens map[string]float64
	rates           map[string]float64
	retryBudgets    map[laneKey]*retrybudget.Budget
	// violation is the first broken invariant that a placement found.
	violation error
}

// New returns a scheduler for a node in a data centre. Its random source has a
// fixed seed; in a cluster use NewSeeded, so that nodes choose differently.
func New(dataCentre string) *Scheduler {
	return NewSeeded(dataCentre, rand.New(rand.NewPCG(1, 1)))
}

// NewSeeded returns a scheduler that draws from the given random source.
func NewSeeded(dataCentre string, random *rand.Rand) *Scheduler {
	return &Scheduler{
		dataCentre:      dataCentre,
		random:          random,
		estimator:       estimation.New(),
		pools:           map[poolKey]*pool{},
		upstreams:       map[string]*upstreamState{},
		waiting:         map[string]*waitingRequest{},
		queued:          map[laneKey]int{},
		running:         map[string]*runningRequest{},
		longPrefills:    map[longPrefillKey]int{},
		buckets:         map[string]*tokenbucket.Bucket{},
		requestedTokens: map[string]float64{},
		retryBudgets:    map[laneKey]*retrybudget.Budget{},
	}
}

// Submit decides on a new request. The decision on a queued request comes from
// Advance. The ID must not be that of a waiting or running request.
func (s *Scheduler) Submit(now time.Time, request *Request) Decision {
	s.fireTimers(now)
	p := s.pools[poolKeyOf(request)]
	if refusal, ok := s.refuseImmediately(now, p, request); ok {
		return refusal
	}
	w := s.newWaiting(now, p, request)
	if s.cannotEndInTime(now, w) {
		return s.refuse(request, DeadlineInfeasible, 0)
	}
	s.bucketOf(request).Charge(w.entry.Cost)
	s.addRequestedTokens(request, w.entry.Cost)
	p.queue.Push(w.entry)
	s.addWaiting(w)
	s.place(now, p)
	if s.waiting[request.ID] == nil {
		return s.takePending(request.ID)
	}
	return s.queueOrRefuse(now, w)
}

// newWaiting builds the queue entry of a request, with its estimated length and
// run time.
func (s *Scheduler) newWaiting(now time.Time, p *pool, request *Request) *waitingRequest {
	model := estimateKey(request)
	w := &waitingRequest{request: request, pool: p, timerIndex: -1, waitingSince: now}
	w.neededGroup = needsGroup(p, request)
	w.promptTokens = s.estimator.PromptTokens(model, request.PromptTokens)
	if estimate := s.estimator.Estimate(now, model, "", w.promptTokens, request.MaxTokens); estimate.Known {
		w.expectedRun = estimate.Total
	}
	class := shortClass
	if s.isLong(p, request) {
		class = longClass
	} else {
		p.lastShortNanos = now.UnixNano()
	}
	w.entry = &fairqueue.Entry[*waitingRequest]{
		ID:           request.ID,
		Organisation: request.Organisation.Name,
		Weight:       float64(request.Organisation.Weight),
		Cost:         float64(max(1, w.promptTokens+request.MaxTokens)),
		Level:        int(request.Priority),
		Class:        class,
		Value:        w,
	}
	return w
}

// Advance places and refuses waiting requests as of now and returns the decisions.
func (s *Scheduler) Advance(now time.Time) []Decision {
	s.updateTimedLimits(now)
	s.fireTimers(now)
	for _, p := range s.orderedPools {
		if p.queue.Len() > 0 {
			s.place(now, p)
		}
	}
	decisions := s.pending
	s.pending = nil
	return decisions
}

// updateTimedLimits updates the upstreams whose limit changes over time: those
// on a ramp, and all of them when a share has expired.
func (s *Scheduler) updateTimedLimits(now time.Time) {
	s.ramping = slices.DeleteFunc(s.ramping, func(u *upstreamState) bool {
		s.updateFreeLists(now, u)
		u.isRamping = u.ramp.Active(now, u.upstream.Ramp)
		return !u.isRamping
	})
	if s.shareExpiry.IsZero() || now.Before(s.shareExpiry) {
		return
	}
	s.shareExpiry = s.nextExpiry(now)
	s.updateAllFreeLists(now)
}

// fireTimers raises waiting requests that are due for promotion and refuses those
// that can't end before their deadline any longer.
func (s *Scheduler) fireTimers(now time.Time) {
	for len(s.timers) > 0 && !s.timers[0].timerDue.After(now) {
		w := s.timers[0]
		if w.latestStart().After(now) {
			w.pool.queue.Raise(w.request.ID, int(environment.Urgent))
			w.timerDue = w.latestStart()
			heap.Fix(&s.timers, 0)
			continue
		}
		reason := DeadlineInfeasible
		if !w.request.Deadline.After(now) {
			reason = DeadlinePassed
		}
		s.removeWaiting(w)
		s.pending = append(s.pending, s.refuse(w.request, reason, s.poolRetryAfter(now, w.pool)))
	}
}

// Cancel removes a waiting request whose caller disconnected, or discards a
// decision that Advance has not returned yet. No decision follows.
func (s *Scheduler) Cancel(now time.Time, id string) {
	if w := s.waiting[id]; w != nil {
		s.removeWaiting(w)
		return
	}
	at := slices.IndexFunc(s.pending, func(d Decision) bool { return d.RequestID == id })
	if at < 0 {
		return
	}
	s.pending = slices.Delete(s.pending, at, at+1)
	s.Finish(now, id, Outcome{Abandoned: true})
}

// Pending reports whether decisions are ready for the next Advance.
func (s *Scheduler) Pending() bool { return len(s.pending) > 0 }

// Waiting returns the number of requests in the queues.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// Running returns the number of requests that were placed and have not finished.
func (s *Scheduler) Running() int { return len(s.running) }

// takePending removes and returns the decision on a request. It searches from
// the end, where recent decisions are.
func (s *Scheduler) takePending(id string) Decision {
	for i := len(s.pending) - 1; i >= 0; i-- {
		if s.pending[i].RequestID == id {
			decision := s.pending[i]
			s.pending = append(s.pending[:i], s.pending[i+1:]...)
			return decision
		}
	}
	return Decision{RequestID: id, Kind: Refused, Reason: NoUpstream}
}

func (s *Scheduler) refuse(request *Request, reason RefusalReason, retryAfter time.Duration) Decision {
	return Decision{RequestID: request.ID, Kind: Refused, Reason: reason, RetryAfter: retryAfter}
}

// estimateKey returns the key under which the estimates for a request are kept.
func estimateKey(r *Request) string {
	if r.Model == "" {
		return "services/" + r.Service
	}
	return r.Model
}
