package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	service  = 7
	holdTime = time.Second
)

// newTestController returns the controller of a node with an empty queue, which has heard of a demand.
func newTestController(demands ...Demand) *Controller {
	c := NewController(func(Class) (int, int) { return 0, 0 })
	if len(demands) > 0 {
		c.Ledger().Apply(0, "n", demands)
	}
	return c
}

func demand(priority uint8, onTime, late int, arrivals float64) Demand {
	return Demand{Class: Class{Service: service, Priority: priority}, OnTime: onTime, Late: late, ArrivalsPerSecond: arrivals, PlaceMs: 1000}
}

// TestDecideAtTheLine plays a service of 100 places that are held for a second each.
func TestDecideAtTheLine(t *testing.T) {
	full := Room{Places: 100}
	for _, c := range []struct {
		name      string
		demands   []Demand
		room      Room
		priority  uint8
		patience  time.Duration
		want      Action
		returning bool
	}{
		{"a place is free", []Demand{demand(1, 3, 0, 50)}, Room{Places: 100, Free: 4}, 1, 2 * time.Second, Run, false},
		{"others precede", []Demand{demand(1, 4, 0, 50)}, Room{Places: 100, Free: 4}, 1, 2 * time.Second, Wait, false},
		{"on time after those that wait", []Demand{demand(1, 10, 0, 200)}, full, 1, 2 * time.Second, Wait, false},
		{"late, more arrive than there is room for, much waits", []Demand{demand(1, 110, 0, 200)}, full, 1, 2 * time.Second, Refuse, false},
		{"late, more arrive than there is room for, little waits", []Demand{demand(1, 30, 0, 200)}, full, 1, 2 * time.Second, Wait, false},
		{"late, and room is left over", []Demand{demand(1, 30, 0, 50)}, full, 1, 2 * time.Second, Wait, false},
		{"late, room is left over but too little", []Demand{demand(1, 60, 60, 80)}, full, 1, 2 * time.Second, Refuse, false},
		{"lower priorities don't precede", []Demand{demand(2, 110, 30, 200)}, full, 1, 2 * time.Second, Wait, false},
		{"higher priorities take all", []Demand{demand(0, 5, 0, 200)}, full, 1, 2 * time.Second, Refuse, false},
		{"more time than the rates may last", []Demand{demand(0, 5, 0, 200)}, full, 1, 8 * time.Second, Wait, false},
		{"comes back in its turn", []Demand{demand(1, 110, 0, 200)}, full, 1, 2 * time.Second, Wait, true},
		{"places are not known", []Demand{demand(1, 110, 0, 200)}, Room{}, 1, 2 * time.Second, Run, false},
		{"no node has told its demand", nil, full, 1, 2 * time.Second, Wait, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, _ := newTestController(c.demands...).Decide(0, &Arrival{
				Class: Class{Service: service, Priority: c.priority}, StartBy: 200 * time.Millisecond, GiveUpAt: c.patience, Hold: holdTime, Returning: c.returning,
			}, c.room)
			is.Equal(got, c.want)
		})
	}
}

func TestLateRequestTakesNoPlaceThatOneOnTimeWaitsFor(t *testing.T) {
	is := is.New(t)
	c := newTestController(demand(1, 4, 0, 20), demand(0, 0, 2, 0))
	request, now := &Arrival{Class: Class{Service: service, Priority: 1}, Hold: holdTime}, 80*time.Millisecond
	is.True(c.MayTake(now, request, false, Room{Places: 100, Free: 1}))
	is.True(!c.MayTake(now, request, true, Room{Places: 100, Free: 6})) // 4 on time, 2 of higher priority
	is.True(c.MayTake(now, request, true, Room{Places: 100, Free: 7}))
	// The sender is silent: by now its requests have been served.
	is.True(c.MayTake(now+100*time.Millisecond, request, true, Room{Places: 100, Free: 1}))
}

func TestSilentSourceIsIgnored(t *testing.T) {
	is := is.New(t)
	c := newTestController(demand(1, 130, 0, 200))
	class := Class{Service: service, Priority: 1}
	decide := func(now time.Duration) Action {
		action, _ := c.Decide(now, &Arrival{Class: class, StartBy: now + 200*time.Millisecond, GiveUpAt: now + 2*time.Second, Hold: holdTime}, Room{Places: 100})
		return action
	}
	is.Equal(decide(time.Second), Refuse)
	is.Equal(decide(demandTTL+time.Millisecond), Wait)
}

func TestDemandOfIdleClassIsForgotten(t *testing.T) {
	is := is.New(t)
	c := newTestController()
	c.Arrive(0, Class{Service: service})
	c.End(Class{Service: service}, holdTime)
	is.Equal(c.Demands(0), []Demand{{Class: Class{Service: service}, ArrivalsPerSecond: 1, PlaceMs: 1000}})
	is.Equal(len(c.Demands(5*time.Second)), 0)
	is.Equal(len(c.meters), 0)
}
