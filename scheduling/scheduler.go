package scheduling

import (
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/tables"
)

// minRetryAfter is the shortest time that a refused caller is told to wait.
const minRetryAfter = 500 * time.Millisecond

// Scheduler holds the queue and the load of each upstream as this node knows it.
type Scheduler struct {
	dataCentre string
	tables     *tables.Tables
	queue      []*Request
	running    map[string]running
	load       map[string]*load
}

// running is a request that was placed and has not finished.
type running struct {
	request  *Request
	upstream string
}

// load is what this node has placed on one upstream.
type load struct {
	requests int
	kvTokens int
}

// New returns a scheduler for a node in a data centre.
func New(dataCentre string) *Scheduler {
	return &Scheduler{
		dataCentre: dataCentre,
		running:    map[string]running{},
		load:       map[string]*load{},
	}
}

// Configure replaces the tables. Running requests keep their place.
func (s *Scheduler) Configure(_ time.Time, built *tables.Tables) {
	s.tables = built
}

// Submit decides on a new request. A queued one is decided by Advance.
func (s *Scheduler) Submit(now time.Time, request *Request) Decision {
	if !request.Deadline.After(now) {
		return refuse(request, DeadlinePassed)
	}
	if !s.canEverRun(request) {
		return refuse(request, NoUpstream)
	}
	if len(s.queue) >= request.Plan.Document.Limits.QueueLength {
		return refuse(request, QueueFull)
	}
	s.enqueue(request)
	for _, decision := range s.place() {
		if decision.RequestID == request.ID {
			return decision
		}
	}
	return Decision{RequestID: request.ID, Kind: Queued}
}

// Advance returns the decisions that have become possible or due.
func (s *Scheduler) Advance(now time.Time) []Decision {
	decisions := s.expire(now)
	return append(decisions, s.place()...)
}

// Cancel removes a waiting request whose caller has gone.
func (s *Scheduler) Cancel(_ time.Time, id string) {
	s.queue = slices.DeleteFunc(s.queue, func(r *Request) bool { return r.ID == id })
}

// Finish frees what a placed request held.
func (s *Scheduler) Finish(_ time.Time, id string, _ Outcome) {
	ended, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	load := s.loadOf(ended.upstream)
	load.requests--
	load.kvTokens -= ended.request.KVTokens()
}

// Waiting is the number of requests in the queue.
func (s *Scheduler) Waiting() int {
	return len(s.queue)
}

// Running is the number of requests placed and not finished.
func (s *Scheduler) Running() int {
	return len(s.running)
}

func refuse(request *Request, reason RefusalReason) Decision {
	return Decision{RequestID: request.ID, Kind: Refused, Reason: reason, RetryAfter: minRetryAfter}
}

// enqueue keeps the queue ordered by priority, then by arrival.
func (s *Scheduler) enqueue(request *Request) {
	at := len(s.queue)
	for at > 0 && s.queue[at-1].Priority < request.Priority {
		at--
	}
	s.queue = slices.Insert(s.queue, at, request)
}

func (s *Scheduler) expire(now time.Time) []Decision {
	var decisions []Decision
	s.queue = slices.DeleteFunc(s.queue, func(r *Request) bool {
		if r.Deadline.After(now) {
			return false
		}
		decisions = append(decisions, refuse(r, DeadlinePassed))
		return true
	})
	return decisions
}

func (s *Scheduler) place() []Decision {
	var decisions []Decision
	s.queue = slices.DeleteFunc(s.queue, func(r *Request) bool {
		upstream := s.choose(r)
		if upstream == nil {
			return false
		}
		s.start(r, upstream)
		decisions = append(decisions, Decision{RequestID: r.ID, Kind: Placed, Upstream: upstream})
		return true
	})
	return decisions
}

func (s *Scheduler) start(request *Request, upstream *tables.Upstream) {
	s.running[request.ID] = running{request: request, upstream: upstream.ID}
	load := s.loadOf(upstream.ID)
	load.requests++
	load.kvTokens += request.KVTokens()
}

func (s *Scheduler) loadOf(id string) *load {
	if s.load[id] == nil {
		s.load[id] = new(load)
	}
	return s.load[id]
}

// choose returns the least loaded upstream with room, the node's own data
// centre first, or nil.
func (s *Scheduler) choose(request *Request) *tables.Upstream {
	var best *tables.Upstream
	var bestScore float64
	for _, upstream := range s.upstreams(request) {
		if !s.suits(request, upstream) || !s.hasRoom(request, upstream) {
			continue
		}
		score := float64(s.loadOf(upstream.ID).requests) / float64(upstream.Slots)
		if upstream.DataCentre != s.dataCentre {
			score++
		}
		if best == nil || score < bestScore {
			best, bestScore = upstream, score
		}
	}
	return best
}

// upstreams looks the plan up again, so that a request queued under an older
// site sees which upstreams were taken out since.
func (s *Scheduler) upstreams(request *Request) []*tables.Upstream {
	for _, plan := range s.tables.Plans {
		if plan.Environment == request.Plan.Environment && plan.Lane == request.Plan.Lane {
			return plan.Upstreams
		}
	}
	return nil
}

func (s *Scheduler) canEverRun(request *Request) bool {
	return slices.ContainsFunc(s.upstreams(request), func(u *tables.Upstream) bool {
		return s.suits(request, u)
	})
}

func (s *Scheduler) suits(request *Request, upstream *tables.Upstream) bool {
	if upstream.Out || slices.Contains(request.Avoid, upstream.ID) {
		return false
	}
	if upstream.Kind == tables.ServiceUpstream {
		return request.Service != "" && request.Service == upstream.Service
	}
	fits := request.KVTokens() <= upstream.KVTokens
	return request.Model != "" && fits && slices.Contains(upstream.Models, request.Model)
}

func (s *Scheduler) hasRoom(request *Request, upstream *tables.Upstream) bool {
	load := s.loadOf(upstream.ID)
	if load.requests >= upstream.Slots {
		return false
	}
	return upstream.Kind == tables.ServiceUpstream || load.kvTokens+request.KVTokens() <= upstream.KVTokens
}
