package exchange

import (
	"sync"
	"time"
)

// RetryBudget bounds this node's part of the repeats that all nodes may send to a
// service in a window. It is safe for concurrent use.
type RetryBudget struct {
	// Ratio is the share of the requests that may be repeated.
	Ratio float64
	// Extra is what all nodes together may repeat beside, in a window.
	Extra float64
	// Window is the length of the sliding window.
	Window time.Duration

	mutex    sync.Mutex
	nodes    int
	services map[string]*window
}

// buckets is the number of steps in which a window slides.
const buckets = 10

type window struct {
	first, again [buckets]float64
	at           [buckets]int64
}

func (w *window) slot(step int64) int {
	slot := int(step % buckets)
	if w.at[slot] != step {
		w.first[slot], w.again[slot], w.at[slot] = 0, 0, step
	}
	return slot
}

func (w *window) sums(step int64) (first, again float64) {
	for i := range buckets {
		if step-w.at[i] < buckets {
			first += w.first[i]
			again += w.again[i]
		}
	}
	return first, again
}

// SetNodes sets how many nodes share the budget.
func (b *RetryBudget) SetNodes(nodes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.nodes = max(1, nodes)
}

func (b *RetryBudget) window(service string) *window {
	if b.services == nil {
		b.services = map[string]*window{}
	}
	if b.services[service] == nil {
		b.services[service] = &window{}
	}
	return b.services[service]
}

func (b *RetryBudget) step(now time.Duration) int64 {
	return int64(now / (b.Window / buckets))
}

// First counts a request for a service.
func (b *RetryBudget) First(now time.Duration, service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	w := b.window(service)
	w.first[w.slot(b.step(now))]++
}

// Spend takes one repeat and reports whether the budget held it.
func (b *RetryBudget) Spend(now time.Duration, service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	w, step := b.window(service), b.step(now)
	first, again := w.sums(step)
	if again+1 > b.Ratio*first+b.Extra/float64(max(1, b.nodes)) {
		return false
	}
	w.again[w.slot(step)]++
	return true
}
