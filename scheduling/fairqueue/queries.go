package fairqueue

import "container/heap"

// Len is the number of entries.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Get returns an entry, or nil.
func (q *Queue[T]) Get(id string) *Entry[T] { return q.entries[id] }

// Each visits all entries in no order. The visitor must not change the queue.
func (q *Queue[T]) Each(visit func(*Entry[T])) {
	for _, entry := range q.entries {
		visit(entry)
	}
}

// Heads returns at most limit first entries of a level and class, each of
// another organisation, the one served least first.
func (q *Queue[T]) Heads(level, class, limit int) []*Entry[T] {
	lanes := &q.lanes[level][class]
	if lanes.Len() == 0 {
		return nil
	}
	var taken []*lane[T]
	var heads []*Entry[T]
	for lanes.Len() > 0 && len(taken) < limit {
		own := heap.Pop(lanes).(*lane[T])
		taken = append(taken, own)
		heads = append(heads, first(own))
	}
	for _, own := range taken {
		heap.Push(lanes, own)
	}
	return heads
}

// Head returns the entry of a level and class that goes first, or nil.
func (q *Queue[T]) Head(level, class int) *Entry[T] {
	if len(q.lanes[level][class]) == 0 {
		return nil
	}
	return first(q.lanes[level][class][0])
}

// StartTag is how far the organisation of a head has been served, in virtual time.
// The level and class must hold an entry.
func (q *Queue[T]) StartTag(level, class int) float64 {
	return q.lanes[level][class][0].owner.tag
}

// TokensAhead is an upper bound in tokens on the work that fair sharing lets run
// before a new entry of the organisation ends its wait.
func (q *Queue[T]) TokensAhead(name string, weight float64) float64 {
	weight = max(weight, 1)
	owner := q.organisations[name]
	if owner == nil || owner.count == 0 {
		return 0
	}
	return min(q.backlog, owner.backlog*q.weights/weight)
}

// Backlog is the cost of all entries, in tokens.
func (q *Queue[T]) Backlog() float64 { return q.backlog }

func first[T any](own *lane[T]) *Entry[T] {
	return own.entries.Front().Value.(*Entry[T])
}
