package fairqueue

import "container/list"

// upcoming is an organisation's next entry and the start tag that it will be served at.
type upcoming[T any] struct {
	element *list.Element
	tag     float64
	owner   *organisation[T]
}

// upcomingHeap orders organisations by the tag of their next entry, smallest first.
type upcomingHeap[T any] []upcoming[T]

func (h upcomingHeap[T]) Len() int { return len(h) }

func (h upcomingHeap[T]) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].owner.name < h[j].owner.name
}

func (h upcomingHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *upcomingHeap[T]) Push(x any) { *h = append(*h, x.(upcoming[T])) }

// Pop implements heap.Interface.
func (h *upcomingHeap[T]) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}
