// Package virtual runs events in virtual time, in one goroutine. Events at the
// same instant run in the order in which they were added, so that a run with
// the same seed is the same each time.
package virtual

import (
	"container/heap"
	"time"
)

// Loop holds the events to come. The zero value starts at time 0.
type Loop struct {
	now   time.Duration
	added uint64
	queue events
}

// Now is the virtual time since the start.
func (l *Loop) Now() time.Duration {
	return l.now
}

// After runs the function once the delay has passed.
func (l *Loop) After(delay time.Duration, run func()) {
	l.At(l.now+delay, run)
}

// At runs the function at a time; a time that has passed means now.
func (l *Loop) At(at time.Duration, run func()) {
	l.added++
	heap.Push(&l.queue, event{at: max(at, l.now), order: l.added, run: run})
}

// Step runs the next event. It reports false when there is none.
func (l *Loop) Step() bool {
	if len(l.queue) == 0 {
		return false
	}
	next := heap.Pop(&l.queue).(event)
	l.now = next.at
	next.run()
	return true
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// events is a heap by time, then by order.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(item any) { *e = append(*e, item.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	item := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return item
}
