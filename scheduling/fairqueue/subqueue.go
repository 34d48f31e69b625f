package fairqueue

import "container/list"

// subqueue holds one organisation's entries of one level and class, oldest first.
type subqueue[T any] struct {
	owner   *organisation[T]
	entries list.List
	// heapIndex is the index in Queue.heaps, or -1 while the subqueue is empty.
	heapIndex int
}

// subqueueHeap orders non-empty subqueues by their organisation's start tag,
// smallest first.
type subqueueHeap[T any] []*subqueue[T]

func (h subqueueHeap[T]) Len() int { return len(h) }

func (h subqueueHeap[T]) Less(i, j int) bool {
	a, b := h[i].owner, h[j].owner
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.name < b.name
}

func (h subqueueHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *subqueueHeap[T]) Push(x any) {
	sub := x.(*subqueue[T])
	sub.heapIndex = len(*h)
	*h = append(*h, sub)
}

// Pop implements heap.Interface.
func (h *subqueueHeap[T]) Pop() any {
	last := len(*h) - 1
	sub := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	sub.heapIndex = -1
	return sub
}
