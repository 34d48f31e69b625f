package fairqueue

import "container/heap"

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Get returns the entry with the given ID, or nil.
func (q *Queue[T]) Get(id string) *Entry[T] { return q.entries[id] }

// Each calls visit for each entry, in no particular order. The function must not
// change the queue.
func (q *Queue[T]) Each(visit func(*Entry[T])) {
	for _, entry := range q.entries {
		visit(entry)
	}
}

// Heads returns at most limit entries of a level and class: the first of each
// organisation, ordered by start tag, smallest first.
func (q *Queue[T]) Heads(level, class, limit int) []*Entry[T] {
	subqueues := &q.heaps[level][class]
	if subqueues.Len() == 0 {
		return nil
	}
	var taken []*subqueue[T]
	var heads []*Entry[T]
	for subqueues.Len() > 0 && len(taken) < limit {
		sub := heap.Pop(subqueues).(*subqueue[T])
		taken = append(taken, sub)
		heads = append(heads, first(sub))
	}
	for _, sub := range taken {
		heap.Push(subqueues, sub)
	}
	return heads
}

// Head returns the next entry of a level and class, or nil.
func (q *Queue[T]) Head(level, class int) *Entry[T] {
	if len(q.heaps[level][class]) == 0 {
		return nil
	}
	return first(q.heaps[level][class][0])
}

// StartTag returns the start tag, in virtual time, of the organisation whose entry is
// the head of a level and class, which must not be empty.
func (q *Queue[T]) StartTag(level, class int) float64 {
	return q.heaps[level][class][0].owner.startTag
}

// TokensAhead returns an upper bound of the cost, in tokens, of the entries that fair
// sharing serves before a new entry of the organisation.
func (q *Queue[T]) TokensAhead(name string, weight float64) float64 {
	weight = max(weight, 1)
	owner := q.organisations[name]
	if owner == nil || owner.waiting == 0 {
		return 0
	}
	return min(q.backlog, owner.backlog*q.activeWeight/weight)
}

// Backlog returns the cost of all entries, in tokens.
func (q *Queue[T]) Backlog() float64 { return q.backlog }

func first[T any](sub *subqueue[T]) *Entry[T] {
	return sub.entries.Front().Value.(*Entry[T])
}

// Upcoming returns at most limit entries of a level and class in the order in which fair sharing
// serves them while nothing is added.
func (q *Queue[T]) Upcoming(level, class, limit int) []*Entry[T] {
	next := make(upcomingHeap[T], 0, len(q.heaps[level][class]))
	for _, sub := range q.heaps[level][class] {
		next = append(next, upcoming[T]{element: sub.entries.Front(), tag: sub.owner.startTag, owner: sub.owner})
	}
	heap.Init(&next)
	var entries []*Entry[T]
	for len(next) > 0 && len(entries) < limit {
		entry := next[0].element.Value.(*Entry[T])
		entries = append(entries, entry)
		next[0].tag += entry.Cost / next[0].owner.weight
		if next[0].element = next[0].element.Next(); next[0].element == nil {
			heap.Pop(&next)
		} else {
			heap.Fix(&next, 0)
		}
	}
	return entries
}
