package fairqueue

import "container/heap"

// sizeHeap orders waiting organisations by backlog for their weight, largest first.
type sizeHeap[T any] []*organisation[T]

func (h sizeHeap[T]) Len() int { return len(h) }

func (h sizeHeap[T]) Less(i, j int) bool {
	a, b := h[i].size(), h[j].size()
	if a != b {
		return a > b
	}
	return h[i].name < h[j].name
}

func (h sizeHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place = i
	h[j].place = j
}

// Push implements heap.Interface.
func (h *sizeHeap[T]) Push(x any) {
	owner := x.(*organisation[T])
	owner.place = len(*h)
	*h = append(*h, owner)
}

// Pop implements heap.Interface.
func (h *sizeHeap[T]) Pop() any {
	last := len(*h) - 1
	owner := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	owner.place = -1
	return owner
}

func (o *organisation[T]) size() float64 { return o.backlog / o.weight }

// resize moves an organisation whose backlog changed.
func (q *Queue[T]) resize(owner *organisation[T]) {
	switch {
	case owner.place < 0 && owner.count > 0:
		heap.Push(&q.sizes, owner)
	case owner.place >= 0 && owner.count == 0:
		heap.Remove(&q.sizes, owner.place)
	case owner.place >= 0:
		heap.Fix(&q.sizes, owner.place)
	}
}

// EvictionCandidate returns the entry that gives way to a newcomer already in a full
// queue: the last of the organisation with the largest backlog for its weight,
// of the lowest level, and never of a higher level than the newcomer's. It is
// nil when the newcomer itself gives way.
func (q *Queue[T]) EvictionCandidate(newcomer *Entry[T]) *Entry[T] {
	largest := q.sizes[0]
	if largest == newcomer.lane.owner {
		return nil
	}
	for level := range newcomer.Level + 1 {
		for _, own := range largest.lanes[level] {
			if own == nil || own.index < 0 {
				continue
			}
			last := own.entries.Back().Value.(*Entry[T])
			if largest.size()-last.Cost/largest.weight < newcomer.lane.owner.size() {
				return nil
			}
			return last
		}
	}
	return nil
}
