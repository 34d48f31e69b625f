package admission

import (
	"cmp"
	"container/heap"
	"iter"
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/scheduling/fairqueue"
)

// Arrival is what decides on a request.
type Arrival struct {
	Class
	// StartBy is the latest time of its placement for an answer on time; from GiveUpAt on its caller
	// can't be served any more.
	StartBy, GiveUpAt time.Duration
	// Hold is for how long the request is expected to hold its place.
	Hold time.Duration
	// Returning is true for a request that was told to come back now, or was placed before: it
	// precedes others of its class.
	Returning bool
}

// Item is a waiting request.
type Item[T any] struct {
	Arrival
	ID string
	// Target is the latency target: requests of one class and target wait in order of arrival.
	Target time.Duration
	// DueAt is when the answer must begin to be on time.
	DueAt time.Duration
	// Organisation is the unit of fair sharing.
	Organisation string
	// Work is the room that the request takes, in any unit that is common to a service.
	Work float64
	// Long is true for a request that needs much more room than others of its class.
	Long bool
	// Reconsidered is true once it was decided on again because it can't begin on time any more.
	Reconsidered bool
	Value        T
}

// Verdict is what became of an item that was offered a place.
type Verdict int

// The verdicts.
const (
	// Kept means that the item waits on.
	Kept Verdict = iota
	// Placed means that it has a place; its organisation is charged.
	Placed
	// Dropped means that it was refused.
	Dropped
)

// Levels of the fair queues; a higher one is served first.
const (
	levelLate = iota
	levelOnTime
	levelReturning
)

// maxOffers bounds how many items of one flow and level are offered a place at a time.
const maxOffers = 64

// flowKey identifies the requests that wait in one fair queue.
type flowKey struct {
	Class
	target time.Duration
}

type flow[T any] struct {
	key   flowKey
	queue *fairqueue.Queue[*Item[T]]
	// late counts the entries that can't begin on time.
	late int
}

func (f *flow[T]) onTime() int { return f.queue.Len() - f.late }

// Queue holds the requests that wait at one node. Those that can still begin on time precede the
// others; then priority decides, then the time when the answer is due. Organisations share the
// places of a class and target by their work. It is not safe for concurrent use.
type Queue[T any] struct {
	flows map[flowKey]*flow[T]
	// ordered holds the flows by service, priority and target.
	ordered []*flow[T]
	byID    map[string]*flow[T]
	// turnLate holds the items that are on time, by StartBy, and giveUp all items, by GiveUpAt.
	// Items that have left stay until then.
	turnLate, giveUp timeHeap[T]
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{flows: map[flowKey]*flow[T]{}, byID: map[string]*flow[T]{}}
}

// Push adds an item.
func (q *Queue[T]) Push(now time.Duration, item *Item[T]) {
	key := flowKey{Class: item.Class, target: item.Target}
	f := q.flows[key]
	if f == nil {
		f = &flow[T]{key: key, queue: fairqueue.New[*Item[T]]()}
		q.flows[key] = f
		at, _ := slices.BinarySearchFunc(q.ordered, key, func(known *flow[T], key flowKey) int { return compareFlows(known.key, key) })
		q.ordered = slices.Insert(q.ordered, at, f)
	}
	level := levelOnTime
	switch {
	case now >= item.StartBy:
		level = levelLate
		f.late++
	case item.Returning:
		level = levelReturning
	}
	q.byID[item.ID] = f
	f.queue.Push(&fairqueue.Entry[*Item[T]]{ID: item.ID, Organisation: item.Organisation, Weight: 1, Cost: item.Work, Level: level, Value: item})
	if level != levelLate {
		heap.Push(&q.turnLate, timedItem[T]{at: item.StartBy, item: item})
	}
	heap.Push(&q.giveUp, timedItem[T]{at: item.GiveUpAt, item: item})
}

// Charge charges an organisation for a request that was placed without waiting, if others of its
// class and target wait.
func (q *Queue[T]) Charge(item *Item[T]) {
	if f := q.flows[flowKey{Class: item.Class, target: item.Target}]; f != nil {
		f.queue.Charge(item.Organisation, 1, item.Work)
	}
}

func compareFlows(a, b flowKey) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.target, b.target))
}

// Remove removes an item, if it waits.
func (q *Queue[T]) Remove(id string) {
	if f := q.byID[id]; f != nil {
		q.unlink(f, id)
		f.queue.Remove(id)
		q.dropIfEmpty(f)
	}
}

func (q *Queue[T]) unlink(f *flow[T], id string) {
	delete(q.byID, id)
	if f.queue.Get(id).Level == levelLate {
		f.late--
	}
}

// dropIfEmpty forgets a flow without items: organisations owe nothing for a time without waiting.
func (q *Queue[T]) dropIfEmpty(f *flow[T]) {
	if f.queue.Len() == 0 {
		delete(q.flows, f.key)
		q.ordered = slices.DeleteFunc(q.ordered, func(known *flow[T]) bool { return known == f })
	}
	if len(q.byID) == 0 {
		q.turnLate, q.giveUp = nil, nil
	}
}

// Len is the number of items.
func (q *Queue[T]) Len() int { return len(q.byID) }

// Waiting returns how many items of a class wait: those that can begin on time, and the others.
func (q *Queue[T]) Waiting(class Class) (onTime, late int) {
	for _, f := range q.ordered {
		if f.key.Class == class {
			onTime += f.onTime()
			late += f.late
		}
	}
	return onTime, late
}

// Classes returns the classes that have items, by service and priority.
func (q *Queue[T]) Classes() []Class {
	var classes []Class
	for _, f := range q.ordered {
		if len(classes) == 0 || classes[len(classes)-1] != f.key.Class {
			classes = append(classes, f.key.Class)
		}
	}
	return classes
}

// Each calls visit for each item, in no particular order.
func (q *Queue[T]) Each(visit func(*Item[T])) {
	for _, f := range q.ordered {
		f.queue.Each(func(entry *fairqueue.Entry[*Item[T]]) { visit(entry.Value) })
	}
}

// Serve offers places to the items in their order. The function must not change the queue.
func (q *Queue[T]) Serve(now time.Duration, offer func(item *Item[T], late bool) Verdict) {
	q.expire(now)
	for _, levels := range [][]int{{levelReturning, levelOnTime}, {levelLate}} {
		flows := slices.Clone(q.ordered)
		for start := 0; start < len(flows); {
			end := start
			for end < len(flows) && flows[end].key.Class == flows[start].key.Class {
				end++
			}
			for _, level := range levels {
				q.serveClass(flows[start:end], level, offer)
			}
			start = end
		}
	}
}

// serveClass offers places to the items of a class and level: between the flows, the one whose next
// answer is due first.
func (q *Queue[T]) serveClass(flows []*flow[T], level int, offer func(item *Item[T], late bool) Verdict) {
	next := make([][]*fairqueue.Entry[*Item[T]], len(flows))
	for i, f := range flows {
		next[i] = f.queue.Upcoming(level, 0, maxOffers)
	}
	for {
		first := -1
		for i := range next {
			if len(next[i]) > 0 && (first < 0 || next[i][0].Value.DueAt < next[first][0].Value.DueAt) {
				first = i
			}
		}
		if first < 0 {
			return
		}
		entry := next[first][0]
		next[first] = next[first][1:]
		verdict := offer(entry.Value, level == levelLate)
		if verdict == Kept {
			continue
		}
		f := flows[first]
		q.unlink(f, entry.ID)
		if verdict == Placed {
			f.queue.Take(entry.ID)
		} else {
			f.queue.Remove(entry.ID)
		}
		q.dropIfEmpty(f)
	}
}

// expire moves the items that can't begin on time any more behind the others.
func (q *Queue[T]) expire(now time.Duration) {
	for item := range q.due(&q.turnLate, now) {
		f := q.byID[item.ID]
		entry := f.queue.Remove(item.ID)
		entry.Level = levelLate
		f.late++
		f.queue.Push(entry)
	}
}

// GivenUp returns the items whose GiveUpAt has come. Each is returned once and stays in the queue.
func (q *Queue[T]) GivenUp(now time.Duration) []*Item[T] {
	return slices.Collect(q.due(&q.giveUp, now))
}

// due removes from a heap, and visits, the items that wait and whose time has come.
func (q *Queue[T]) due(times *timeHeap[T], now time.Duration) iter.Seq[*Item[T]] {
	return func(yield func(*Item[T]) bool) {
		for len(*times) > 0 && (*times)[0].at <= now {
			item := heap.Pop(times).(timedItem[T]).item
			if f := q.byID[item.ID]; f != nil && f.queue.Get(item.ID).Value == item && !yield(item) {
				return
			}
		}
	}
}

// timedItem is an item and the time of a change.
type timedItem[T any] struct {
	at   time.Duration
	item *Item[T]
}

// timeHeap orders items by time.
type timeHeap[T any] []timedItem[T]

func (h timeHeap[T]) Len() int           { return len(h) }
func (h timeHeap[T]) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timeHeap[T]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timeHeap[T]) Push(x any) { *h = append(*h, x.(timedItem[T])) }

// Pop implements heap.Interface.
func (h *timeHeap[T]) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = timedItem[T]{}
	*h = (*h)[:last]
	return popped
}
