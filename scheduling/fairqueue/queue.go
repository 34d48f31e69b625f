// Package fairqueue orders waiting requests: by level first, and within a level
// by weighted fair queueing of tokens between organisations (start-time fair
// queueing). It does not depend on upstreams.
package fairqueue

import (
	"container/heap"
	"container/list"
)

// Levels is the number of priority levels; a higher level is served first.
const Levels = 3

// Classes is the number of length classes; a blocked class does not block the
// others.
const Classes = 2

// pushesPerCleanup is the number of pushes between removals of idle organisations.
const pushesPerCleanup = 1024

// Entry is one waiting request.
type Entry[T any] struct {
	ID           string
	Organisation string
	// Weight is the organisation's weight in fair sharing; it is at least 1.
	Weight float64
	// Cost is what the organisation is charged, in tokens.
	Cost  float64
	Level int
	Class int
	// TimesOvertaken counts how often a later entry was served before this one.
	TimesOvertaken int
	Value          T

	subqueue *subqueue[T]
	element  *list.Element
}

// Queue holds the entries that wait for one pool of upstreams.
type Queue[T any] struct {
	// virtualTime is the largest start tag among the organisations served.
	virtualTime   float64
	pushes        int
	entries       map[string]*Entry[T]
	organisations map[string]*organisation[T]
	// heaps holds the non-empty subqueues by level and class.
	heaps [Levels][Classes]subqueueHeap[T]
	// byBacklog holds the organisations that have entries.
	byBacklog backlogHeap[T]
	backlog   float64
	// activeWeight is the sum of the weights of organisations that have entries.
	activeWeight float64
}

// organisation holds the entries and the virtual time of one organisation.
type organisation[T any] struct {
	name      string
	weight    float64
	startTag  float64
	backlog   float64
	waiting   int
	subqueues [Levels][Classes]*subqueue[T]
	// heapIndex is the index in Queue.byBacklog, or -1 while it has no entries.
	heapIndex int
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{
		entries:       map[string]*Entry[T]{},
		organisations: map[string]*organisation[T]{},
	}
}

// Push appends an entry to its organisation's others of the same level and class.
func (q *Queue[T]) Push(entry *Entry[T]) {
	q.removeIdle()
	owner := q.findOrAdd(entry.Organisation, entry.Weight)
	if owner.waiting == 0 {
		q.activeWeight += owner.weight
		q.setStartTag(owner, max(owner.startTag, q.virtualTime))
	}
	owner.waiting++
	owner.backlog += entry.Cost
	q.backlog += entry.Cost
	q.entries[entry.ID] = entry
	q.link(owner, entry)
	q.fixBacklogHeap(owner)
}

// Remove removes an entry without charging its organisation. It returns the entry,
// or nil if there is none.
func (q *Queue[T]) Remove(id string) *Entry[T] {
	entry := q.entries[id]
	if entry == nil {
		return nil
	}
	owner := entry.subqueue.owner
	q.unlink(entry)
	delete(q.entries, id)
	owner.waiting--
	owner.backlog -= entry.Cost
	q.backlog -= entry.Cost
	if owner.waiting == 0 {
		q.activeWeight -= owner.weight
		owner.backlog = 0
	}
	q.fixBacklogHeap(owner)
	if len(q.entries) == 0 {
		q.backlog, q.activeWeight = 0, 0
	}
	return entry
}

// Take removes an entry that was placed on an upstream and charges its cost to its
// organisation. The entry must exist.
func (q *Queue[T]) Take(id string) {
	entry := q.entries[id]
	owner := entry.subqueue.owner
	q.virtualTime = max(q.virtualTime, owner.startTag)
	q.setStartTag(owner, owner.startTag+entry.Cost/owner.weight)
	q.Remove(id)
}

// Charge adds a number of tokens to the charge of an organisation; a negative
// number reduces it.
func (q *Queue[T]) Charge(name string, weight, tokens float64) {
	owner := q.findOrAdd(name, weight)
	q.setStartTag(owner, owner.startTag+tokens/owner.weight)
}

// Raise moves an entry to a higher level.
func (q *Queue[T]) Raise(id string, level int) {
	entry := q.entries[id]
	if entry == nil || entry.Level >= level {
		return
	}
	owner := entry.subqueue.owner
	q.unlink(entry)
	entry.Level = level
	q.link(owner, entry)
}

// findOrAdd returns an organisation, added at the current virtual time if missing.
func (q *Queue[T]) findOrAdd(name string, weight float64) *organisation[T] {
	owner := q.organisations[name]
	if owner == nil {
		owner = &organisation[T]{name: name, startTag: q.virtualTime, heapIndex: -1}
		q.organisations[name] = owner
	}
	if owner.waiting == 0 {
		owner.weight = max(weight, 1)
	}
	return owner
}

// setStartTag sets the start tag of an organisation and restores the order of the
// heaps that hold it.
func (q *Queue[T]) setStartTag(owner *organisation[T], tag float64) {
	owner.startTag = tag
	for level := range owner.subqueues {
		for class, sub := range owner.subqueues[level] {
			if sub != nil && sub.heapIndex >= 0 {
				heap.Fix(&q.heaps[level][class], sub.heapIndex)
			}
		}
	}
}

func (q *Queue[T]) link(owner *organisation[T], entry *Entry[T]) {
	sub := owner.subqueues[entry.Level][entry.Class]
	if sub == nil {
		sub = &subqueue[T]{owner: owner, heapIndex: -1}
		owner.subqueues[entry.Level][entry.Class] = sub
	}
	entry.subqueue = sub
	entry.element = sub.entries.PushBack(entry)
	if sub.heapIndex < 0 {
		heap.Push(&q.heaps[entry.Level][entry.Class], sub)
	}
}

func (q *Queue[T]) unlink(entry *Entry[T]) {
	sub := entry.subqueue
	sub.entries.Remove(entry.element)
	if sub.entries.Len() == 0 {
		heap.Remove(&q.heaps[entry.Level][entry.Class], sub.heapIndex)
	}
}

// removeIdle removes organisations that have no entries and whose start tag is not
// ahead of virtual time.
func (q *Queue[T]) removeIdle() {
	q.pushes++
	if q.pushes%pushesPerCleanup != 0 {
		return
	}
	for name, owner := range q.organisations {
		if owner.waiting == 0 && owner.startTag <= q.virtualTime {
			delete(q.organisations, name)
		}
	}
}
