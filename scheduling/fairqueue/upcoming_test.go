package fairqueue

import (
	"testing"

	"github.com/matryer/is"
)

func TestUpcomingIsTheOrderOfService(t *testing.T) {
	is := is.New(t)
	q := New[int]()
	push := func(id, organisation string, cost float64) {
		q.Push(&Entry[int]{ID: id, Organisation: organisation, Weight: 1, Cost: cost})
	}
	push("a1", "a", 2)
	push("a2", "a", 2)
	push("a3", "a", 2)
	push("b1", "b", 3)
	push("b2", "b", 3)
	var upcoming, served []string
	for _, entry := range q.Upcoming(0, 0, 4) {
		upcoming = append(upcoming, entry.ID)
	}
	for range 4 {
		id := q.Head(0, 0).ID
		q.Take(id)
		served = append(served, id)
	}
	is.Equal(upcoming, served)
	is.Equal(upcoming, []string{"a1", "b1", "a2", "b2"})
}
