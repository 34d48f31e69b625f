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

// minRetryAfter is the shortest time that a refused caller is told to wait.
const minRetryAfter = 500 * time.Millisecond

// Scheduler holds the queues and the load of each upstream as this node knows it.
type Scheduler struct {
	dataCentre string
	// position is this node's among the live nodes of its data centre.
	position, nodes int
	random          *rand.Rand
	tables          *tables.Tables
	estimator       *estimation.Estimator

	pools     map[poolKey]*pool
	upstreams map[string]*upstreamState
	// ordered and orderedPools are the tables' entries in a fixed order.
	ordered      []*upstreamState
	orderedPools []*pool
	ramping      []*upstreamState
	waiting      map[string]*waiting
	// queued counts the waiting requests of each lane.
	queued  map[planKey]int
	running map[string]*running
	timers  timers
	// pending holds decisions on waiting requests for the next Advance.
	pending []Decision

	prefills    map[prefillKey]int
	fallback    func(upstreamID string) Share
	shareExpiry time.Time
	buckets     map[string]*tokenbucket.Bucket
	asked       map[string]float64
	rates       map[string]float64
	retries     map[planKey]*retrybudget.Budget
	// violation is the first broken invariant that a placement met.
	violation error
}

// New returns a scheduler for a node in a data centre. All such schedulers
// draw the same random numbers; a node among others uses NewSeeded.
func New(dataCentre string) *Scheduler {
	return NewSeeded(dataCentre, rand.New(rand.NewPCG(1, 1)))
}

// NewSeeded returns a scheduler with its own source of random numbers.
func NewSeeded(dataCentre string, random *rand.Rand) *Scheduler {
	return &Scheduler{
		dataCentre: dataCentre,
		random:     random,
		estimator:  estimation.New(),
		pools:      map[poolKey]*pool{},
		upstreams:  map[string]*upstreamState{},
		waiting:    map[string]*waiting{},
		queued:     map[planKey]int{},
		running:    map[string]*running{},
		prefills:   map[prefillKey]int{},
		buckets:    map[string]*tokenbucket.Bucket{},
		asked:      map[string]float64{},
		retries:    map[planKey]*retrybudget.Budget{},
	}
}

// Submit decides on a new request. A queued one is decided by Advance. The ID
// must not be that of a request that waits or runs.
func (s *Scheduler) Submit(now time.Time, request *Request) Decision {
	s.fireTimers(now)
	p := s.pools[keyOf(request)]
	if refusal, ok := s.refuseAtOnce(now, p, request); ok {
		return refusal
	}
	w := s.newWaiting(now, p, request)
	if s.tooLate(now, w) {
		return s.refuse(request, DeadlineInfeasible, 0)
	}
	s.bucketOf(request).Charge(w.entry.Cost)
	s.ask(request, w.entry.Cost)
	p.queue.Push(w.entry)
	s.add(w)
	s.place(now, p)
	if s.waiting[request.ID] == nil {
		return s.takePending(request.ID)
	}
	return s.admitOrRefuse(now, w)
}

// newWaiting estimates a request.
func (s *Scheduler) newWaiting(now time.Time, p *pool, request *Request) *waiting {
	model := modelOf(request)
	w := &waiting{request: request, pool: p, index: -1, since: now}
	w.grouped = needsGroup(p, request)
	w.tokens = s.estimator.PromptTokens(model, request.PromptTokens)
	if estimate := s.estimator.Estimate(now, model, "", w.tokens, request.MaxTokens); estimate.Known {
		w.run = estimate.Total
	}
	class := shortClass
	if s.isLong(p, request) {
		class = longClass
	} else {
		p.lastShort = now.UnixNano()
	}
	w.entry = &fairqueue.Entry[*waiting]{
		ID:           request.ID,
		Organisation: request.Organisation.Name,
		Weight:       float64(request.Organisation.Weight),
		Cost:         float64(max(1, w.tokens+request.MaxTokens)),
		Level:        int(request.Priority),
		Class:        class,
		Value:        w,
	}
	return w
}

// Advance returns the decisions that have become possible or due.
func (s *Scheduler) Advance(now time.Time) []Decision {
	s.refreshTimed(now)
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

// refreshTimed looks again at upstreams whose limit changes with time alone.
func (s *Scheduler) refreshTimed(now time.Time) {
	s.ramping = slices.DeleteFunc(s.ramping, func(u *upstreamState) bool {
		s.refresh(now, u)
		u.isRamping = u.ramp.Active(now, u.upstream.Ramp)
		return !u.isRamping
	})
	if s.shareExpiry.IsZero() || now.Before(s.shareExpiry) {
		return
	}
	s.shareExpiry = s.nextExpiry(now)
	s.refreshAll(now)
}

// fireTimers promotes and gives up what is due.
func (s *Scheduler) fireTimers(now time.Time) {
	for len(s.timers) > 0 && !s.timers[0].due.After(now) {
		w := s.timers[0]
		if w.giveUp().After(now) {
			w.pool.queue.Raise(w.request.ID, int(environment.Urgent))
			w.due = w.giveUp()
			heap.Fix(&s.timers, 0)
			continue
		}
		reason := DeadlineInfeasible
		if !w.request.Deadline.After(now) {
			reason = DeadlinePassed
		}
		s.remove(w)
		s.pending = append(s.pending, s.refuse(w.request, reason, s.drainTime(now, w.pool)))
	}
}

// Cancel removes a waiting request whose caller has gone, also one that was
// decided but whose decision Advance has not returned. No decision follows.
func (s *Scheduler) Cancel(now time.Time, id string) {
	if w := s.waiting[id]; w != nil {
		s.remove(w)
		return
	}
	decided := slices.IndexFunc(s.pending, func(d Decision) bool { return d.RequestID == id })
	if decided < 0 {
		return
	}
	s.pending = slices.Delete(s.pending, decided, decided+1)
	s.Finish(now, id, Outcome{Abandoned: true})
}

// Pending reports whether Advance has decisions to return already.
func (s *Scheduler) Pending() bool { return len(s.pending) > 0 }

// Waiting is the number of requests in the queues.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// Running is the number of requests placed and not finished.
func (s *Scheduler) Running() int { return len(s.running) }

// takePending takes out the decision on one request, which is near the end.
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

func (s *Scheduler) refuse(request *Request, reason RefusalReason, after time.Duration) Decision {
	return Decision{RequestID: request.ID, Kind: Refused, Reason: reason, RetryAfter: after}
}

// modelOf names what an estimate is kept for.
func modelOf(r *Request) string {
	if r.Model == "" {
		return "services/" + r.Service
	}
	return r.Model
}
