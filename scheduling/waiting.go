package scheduling

import (
	"container/heap"
	"time"

	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/scheduling/fairqueue"
)

// The length classes of the fair queue.
const (
	shortClass = 0
	longClass  = 1
)

// waitingRequest is a request in a queue.
type waitingRequest struct {
	request *Request
	pool    *pool
	entry   *fairqueue.Entry[*waitingRequest]
	// promptTokens is the prompt length as corrected by the estimator.
	promptTokens int
	expectedRun  time.Duration
	// timerDue is when the request is next promoted or refused.
	timerDue     time.Time
	waitingSince time.Time
	timerIndex   int
	// neededGroup is true when the request needed several engines when it was
	// submitted.
	neededGroup bool
}

func (w *waitingRequest) isLong() bool { return w.entry.Class == longClass }

// enginePriority returns the request's own priority, but the lowest one for a long
// prompt: an engine that alternates between the two would slow down short prompts.
func (w *waitingRequest) enginePriority() environment.Priority {
	if w.isLong() {
		return environment.Batch
	}
	return w.request.Priority
}

// latestStart returns the last time at which the answer is still expected to end
// before the deadline.
func (w *waitingRequest) latestStart() time.Time {
	return w.request.Deadline.Add(-w.expectedRun)
}

// promoteAt returns when a request of lower priority is raised to urgent.
func (w *waitingRequest) promoteAt() time.Time {
	allowed := w.latestStart().Sub(w.request.Arrived)
	return w.latestStart().Add(-allowed / promotionDivisor)
}

// promotionDivisor sets when a request is raised to urgent: in the last
// 1/promotionDivisor of the time that it may wait.
const promotionDivisor = 3

// timerHeap is a heap of waiting requests by due time.
type timerHeap []*waitingRequest

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].timerDue.Before(t[j].timerDue) }

func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].timerIndex = i
	t[j].timerIndex = j
}

// Push implements heap.Interface.
func (t *timerHeap) Push(x any) {
	w := x.(*waitingRequest)
	w.timerIndex = len(*t)
	*t = append(*t, w)
}

// Pop implements heap.Interface.
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	w := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	w.timerIndex = -1
	return w
}

// addWaiting registers a queued request in the scheduler's counts and timers.
func (s *Scheduler) addWaiting(w *waitingRequest) {
	s.waiting[w.request.ID] = w
	s.queued[laneKeyOf(w.request)]++
	if w.neededGroup {
		w.pool.groupBacklog += w.entry.Cost
	}
	w.timerDue = w.promoteAt()
	heap.Push(&s.timers, w)
}

// removeWaiting removes a waiting request from its queue and all counts, and gives
// its charge back to the rate limit. The fair queue's charges don't change.
func (s *Scheduler) removeWaiting(w *waitingRequest) {
	w.pool.queue.Remove(w.request.ID)
	s.untrackWaiting(w)
	s.bucketOf(w.request).Charge(-w.entry.Cost)
}

func (s *Scheduler) untrackWaiting(w *waitingRequest) {
	delete(s.waiting, w.request.ID)
	if w.neededGroup {
		w.pool.groupBacklog -= w.entry.Cost
	}
	key := laneKeyOf(w.request)
	s.queued[key]--
	if s.queued[key] == 0 {
		delete(s.queued, key)
	}
	if w.timerIndex >= 0 {
		heap.Remove(&s.timers, w.timerIndex)
	}
	if w.pool.heldForRequestID == w.request.ID {
		w.pool.heldUpstream, w.pool.heldForRequestID = nil, ""
	}
	if w.pool.groupRequestID == w.request.ID {
		w.pool.groupHeldUpstreams, w.pool.groupRequestID = nil, ""
	}
}
