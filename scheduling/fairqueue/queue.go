// Package fairqueue orders waiting requests: by level first, and within a level
// by weighted fair sharing of tokens between organisations (start-time fair
// queueing). It knows nothing of upstreams.
package fairqueue

import (
	"container/heap"
	"container/list"
)

// Levels is the number of priority levels; a higher level goes first.
const Levels = 3

// Classes is the number of length classes that are blocked separately.
const Classes = 2

// sweepInterval is the number of pushes between removals of idle organisations.
const sweepInterval = 1024

// Entry is one waiting request.
type Entry[T any] struct {
	ID           string
	Organisation string
	// Weight is the organisation's share; it is at least 1.
	Weight float64
	// Cost is what the organisation is charged, in tokens.
	Cost  float64
	Level int
	Class int
	// TimesOvertaken counts how often a later entry went before this one.
	TimesOvertaken int
	Value          T

	lane    *lane[T]
	element *list.Element
}

// Queue holds the entries that wait for one pool of upstreams.
type Queue[T any] struct {
	virtual       float64
	pushes        int
	entries       map[string]*Entry[T]
	organisations map[string]*organisation[T]
	lanes         [Levels][Classes]laneHeap[T]
	sizes         sizeHeap[T]
	backlog       float64
	weights       float64
}

type organisation[T any] struct {
	name    string
	weight  float64
	tag     float64
	backlog float64
	count   int
	lanes   [Levels][Classes]*lane[T]
	// place is the index in Queue.sizes, or -1.
	place int
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{
		entries:       map[string]*Entry[T]{},
		organisations: map[string]*organisation[T]{},
	}
}

// Push adds an entry behind its organisation's others of the same level and class.
func (q *Queue[T]) Push(entry *Entry[T]) {
	q.sweep()
	owner := q.owner(entry.Organisation, entry.Weight)
	if owner.count == 0 {
		q.weights += owner.weight
		q.retag(owner, max(owner.tag, q.virtual))
	}
	owner.count++
	owner.backlog += entry.Cost
	q.backlog += entry.Cost
	q.entries[entry.ID] = entry
	q.link(owner, entry)
	q.resize(owner)
}

// Remove takes an entry out without a charge and returns it, or nil.
func (q *Queue[T]) Remove(id string) *Entry[T] {
	entry := q.entries[id]
	if entry == nil {
		return nil
	}
	owner := entry.lane.owner
	q.unlink(entry)
	delete(q.entries, id)
	owner.count--
	owner.backlog -= entry.Cost
	q.backlog -= entry.Cost
	if owner.count == 0 {
		q.weights -= owner.weight
		owner.backlog = 0
	}
	q.resize(owner)
	if len(q.entries) == 0 {
		q.backlog, q.weights = 0, 0
	}
	return entry
}

// Take removes an entry that was placed and charges its organisation.
func (q *Queue[T]) Take(id string) {
	entry := q.entries[id]
	owner := entry.lane.owner
	q.virtual = max(q.virtual, owner.tag)
	q.retag(owner, owner.tag+entry.Cost/owner.weight)
	q.Remove(id)
}

// Charge corrects what an organisation was charged by a number of tokens.
func (q *Queue[T]) Charge(name string, weight, tokens float64) {
	owner := q.owner(name, weight)
	q.retag(owner, owner.tag+tokens/owner.weight)
}

// Raise moves an entry to a higher level.
func (q *Queue[T]) Raise(id string, level int) {
	entry := q.entries[id]
	if entry == nil || entry.Level >= level {
		return
	}
	owner := entry.lane.owner
	q.unlink(entry)
	entry.Level = level
	q.link(owner, entry)
}

// owner finds an organisation or adds it with no debt.
func (q *Queue[T]) owner(name string, weight float64) *organisation[T] {
	owner := q.organisations[name]
	if owner == nil {
		owner = &organisation[T]{name: name, tag: q.virtual, place: -1}
		q.organisations[name] = owner
	}
	if owner.count == 0 {
		owner.weight = max(weight, 1)
	}
	return owner
}

// retag moves an organisation in each of the heaps that hold it.
func (q *Queue[T]) retag(owner *organisation[T], tag float64) {
	owner.tag = tag
	for level := range owner.lanes {
		for class, lane := range owner.lanes[level] {
			if lane != nil && lane.index >= 0 {
				heap.Fix(&q.lanes[level][class], lane.index)
			}
		}
	}
}

func (q *Queue[T]) link(owner *organisation[T], entry *Entry[T]) {
	own := owner.lanes[entry.Level][entry.Class]
	if own == nil {
		own = &lane[T]{owner: owner, index: -1}
		owner.lanes[entry.Level][entry.Class] = own
	}
	entry.lane = own
	entry.element = own.entries.PushBack(entry)
	if own.index < 0 {
		heap.Push(&q.lanes[entry.Level][entry.Class], own)
	}
}

func (q *Queue[T]) unlink(entry *Entry[T]) {
	own := entry.lane
	own.entries.Remove(entry.element)
	if own.entries.Len() == 0 {
		heap.Remove(&q.lanes[entry.Level][entry.Class], own.index)
	}
}

// sweep forgets idle organisations that owe nothing.
func (q *Queue[T]) sweep() {
	q.pushes++
	if q.pushes%sweepInterval != 0 {
		return
	}
	for name, owner := range q.organisations {
		if owner.count == 0 && owner.tag <= q.virtual {
			delete(q.organisations, name)
		}
	}
}
