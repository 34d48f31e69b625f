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

// waiting is a request in a queue.
type waiting struct {
	request *Request
	pool    *pool
	entry   *fairqueue.Entry[*waiting]
	// tokens is the corrected prompt length.
	tokens int
	run    time.Duration
	// due is when the request is next promoted or given up.
	due   time.Time
	since time.Time
	index int
	// grouped says that it needed several engines when it was submitted.
	grouped bool
}

func (w *waiting) long() bool { return w.entry.Class == longClass }

// enginePriority is the request's own, but the lowest for a long prompt: an
// engine that reads both in turns would slow the short ones down.
func (w *waiting) enginePriority() environment.Priority {
	if w.long() {
		return environment.Batch
	}
	return w.request.Priority
}

// giveUp is the last time at which the answer is still expected to end in time.
func (w *waiting) giveUp() time.Time {
	return w.request.Deadline.Add(-w.run)
}

// promoteAt is when a lower priority stops being held back.
func (w *waiting) promoteAt() time.Time {
	allowed := w.giveUp().Sub(w.request.Arrived)
	return w.giveUp().Add(-allowed / promoteShare)
}

// promoteShare is the part of the time allowed for waiting, counted from its
// end, in which a request is served as an urgent one: one in promoteShare.
const promoteShare = 3

// timers is a heap of waiting requests by due time.
type timers []*waiting

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due.Before(t[j].due) }

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index = i
	t[j].index = j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	w := x.(*waiting)
	w.index = len(*t)
	*t = append(*t, w)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	w := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	w.index = -1
	return w
}

// add files a request that has to wait.
func (s *Scheduler) add(w *waiting) {
	s.waiting[w.request.ID] = w
	s.queued[planOf(w.request)]++
	if w.grouped {
		w.pool.groupBacklog += w.entry.Cost
	}
	w.due = w.promoteAt()
	heap.Push(&s.timers, w)
}

// remove takes a waiting request out of everything but its pool's charges.
func (s *Scheduler) remove(w *waiting) {
	w.pool.queue.Remove(w.request.ID)
	s.forget(w)
	s.bucketOf(w.request).Charge(-w.entry.Cost)
}

func (s *Scheduler) forget(w *waiting) {
	delete(s.waiting, w.request.ID)
	if w.grouped {
		w.pool.groupBacklog -= w.entry.Cost
	}
	key := planOf(w.request)
	s.queued[key]--
	if s.queued[key] == 0 {
		delete(s.queued, key)
	}
	if w.index >= 0 {
		heap.Remove(&s.timers, w.index)
	}
	if w.pool.heldFor == w.request.ID {
		w.pool.held, w.pool.heldFor = nil, ""
	}
	if w.pool.groupFor == w.request.ID {
		w.pool.groupHeld, w.pool.groupFor = nil, ""
	}
}
