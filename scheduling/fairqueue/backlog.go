package fairqueue

import "container/heap"

// backlogHeap orders organisations that have entries by backlog divided by weight,
// largest first.
type backlogHeap[T any] []*organisation[T]

func (h backlogHeap[T]) Len() int { return len(h) }

func (h backlogHeap[T]) Less(i, j int) bool {
	a, b := h[i].weightedBacklog(), h[j].weightedBacklog()
	if a != b {
		return a > b
	}
	return h[i].name < h[j].name
}

func (h backlogHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *backlogHeap[T]) Push(x any) {
	owner := x.(*organisation[T])
	owner.heapIndex = len(*h)
	*h = append(*h, owner)
}

// Pop implements heap.Interface.
func (h *backlogHeap[T]) Pop() any {
	last := len(*h) - 1
	owner := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	owner.heapIndex = -1
	return owner
}

func (o *organisation[T]) weightedBacklog() float64 { return o.backlog / o.weight }

// fixBacklogHeap adds, moves or removes an organisation whose backlog changed.
func (q *Queue[T]) fixBacklogHeap(owner *organisation[T]) {
	switch {
	case owner.heapIndex < 0 && owner.waiting > 0:
		heap.Push(&q.byBacklog, owner)
	case owner.heapIndex >= 0 && owner.waiting == 0:
		heap.Remove(&q.byBacklog, owner.heapIndex)
	case owner.heapIndex >= 0:
		heap.Fix(&q.byBacklog, owner.heapIndex)
	}
}

// EvictionCandidate returns the entry to evict when added, which is already in the queue,
// exceeds the queue's limit: the last entry at the lowest level of the organisation
// with the largest backlog for its weight, never of a higher level than added. It
// returns nil when added itself is to be evicted.
func (q *Queue[T]) EvictionCandidate(added *Entry[T]) *Entry[T] {
	largest := q.byBacklog[0]
	if largest == added.subqueue.owner {
		return nil
	}
	for level := range added.Level + 1 {
		for _, sub := range largest.subqueues[level] {
			if sub == nil || sub.heapIndex < 0 {
				continue
			}
			last := sub.entries.Back().Value.(*Entry[T])
			if largest.weightedBacklog()-last.Cost/largest.weight < added.subqueue.owner.weightedBacklog() {
				return nil
			}
			return last
		}
	}
	return nil
}
