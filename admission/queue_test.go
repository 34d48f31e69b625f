package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func waitingItem(id string, priority uint8, target time.Duration, organisation string) *Item[int] {
	arrival := Arrival{Class: Class{Service: 1, Priority: priority}, StartBy: target - 100*time.Millisecond, GiveUpAt: 2 * time.Second}
	return &Item[int]{Arrival: arrival, ID: id, Target: target, Organisation: organisation, Work: 1, DueAt: target}
}

// served returns the IDs in the order in which places are offered.
func served(q *Queue[int], now time.Duration, places int) []string {
	var ids []string
	q.Serve(now, func(item *Item[int], _ bool) Verdict {
		if len(ids) == places {
			return Kept
		}
		ids = append(ids, item.ID)
		return Placed
	})
	return ids
}

func TestQueueServesOnTimeThenPriorityThenDueTime(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int]()
	q.Push(0, waitingItem("late", 0, 150*time.Millisecond, "a"))
	q.Push(0, waitingItem("low", 2, 300*time.Millisecond, "a"))
	q.Push(0, waitingItem("slow", 1, time.Second, "a"))
	q.Push(0, waitingItem("fast", 1, 400*time.Millisecond, "a"))
	again := waitingItem("again", 1, 400*time.Millisecond, "a")
	again.Returning = true
	q.Push(0, again)
	now := 100 * time.Millisecond
	onTime, late := q.Waiting(Class{Service: 1})
	is.Equal([]int{onTime, late}, []int{1, 0})
	is.Equal(served(q, now, 2), []string{"again", "fast"})
	onTime, late = q.Waiting(Class{Service: 1})
	is.Equal([]int{onTime, late}, []int{0, 1})
	is.Equal(served(q, now, 9), []string{"slow", "low", "late"})
	is.Equal(q.Len(), 0)
}

// TestOrganisationsShareScarcePlaces plays an organisation that sends nine of ten requests.
func TestOrganisationsShareScarcePlaces(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int]()
	for i := range 100 {
		organisation := "large"
		if i%10 == 0 {
			organisation = "small"
		}
		q.Push(0, waitingItem(fmt.Sprint(organisation, i), 1, 300*time.Millisecond, organisation))
	}
	small := 0
	for _, id := range served(q, 0, 20) {
		if id[0] == 's' {
			small++
		}
	}
	is.Equal(small, 10) // all that it sent, as half of the places are its share
}

func TestGivenUpItemsAreReturnedOnce(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int]()
	q.Push(0, waitingItem("a", 1, time.Second, ""))
	q.Push(0, waitingItem("b", 1, time.Second, ""))
	q.Remove("b")
	is.Equal(len(q.GivenUp(time.Second)), 0)
	is.Equal(len(q.GivenUp(2*time.Second)), 1)
	is.Equal(len(q.GivenUp(2*time.Second)), 0)
	is.Equal(q.Len(), 1)
}
