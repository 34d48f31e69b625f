package admission

import (
	"math"
	"slices"
	"time"
)

// Controller knows what waits and arrives at this node and at the others, and decides by it what
// runs, waits and is refused. It is not safe for concurrent use.
type Controller struct {
	ledger *Ledger
	meters map[Class]*meter
	// waiting returns how many requests of a class wait at this node.
	waiting func(class Class) (onTime, late int)
	// Alone is true for a node without others.
	Alone bool
}

// NewController returns a controller of the node whose queue counts what waits.
func NewController(waiting func(class Class) (onTime, late int)) *Controller {
	return &Controller{ledger: NewLedger(), meters: map[Class]*meter{}, waiting: waiting}
}

// Ledger returns the demand of the other nodes.
func (c *Controller) Ledger() *Ledger { return c.ledger }

// Room is what the upstreams that may run a request have room for, by what this node knows.
type Room struct {
	// Places is the number of requests that they run at a time; 0 is not known.
	Places int
	// Free is how many of the places are free.
	Free int
	// PerSecond is the most requests a second that they have memory and prefill time for; 0 is no
	// limit.
	PerSecond float64
}

// Action is what becomes of a request that arrives.
type Action int

// The actions.
const (
	// Run means that a place is free that no other request precedes it for.
	Run Action = iota
	// Wait means that the request waits for a place.
	Wait
	// Refuse means that it could not begin in time.
	Refuse
)

// overloadHorizon is how long the current rates are taken to last: a request that has more time
// than that waits, whatever arrives now.
const overloadHorizon = 3 * time.Second

// Arrive records the arrival of a request.
func (c *Controller) Arrive(now time.Duration, class Class) { c.meter(class).arrive(now) }

// End records for how long a request held its place.
func (c *Controller) End(class Class, held time.Duration) { c.meter(class).end(held) }

func (c *Controller) meter(class Class) *meter {
	if c.meters[class] == nil {
		c.meters[class] = &meter{}
	}
	return c.meters[class]
}

// Decide decides on a request that arrives, or that can't begin on time any more. It also returns the
// expected wait.
func (c *Controller) Decide(now time.Duration, request *Arrival, room Room) (Action, time.Duration) {
	fleet := c.demand(now, request.Service)
	ahead := 0
	for _, demand := range fleet {
		if demand.Priority < request.Priority {
			ahead += demand.OnTime + int(demand.ArrivalsPerSecond*newsTime.Seconds())
		} else if demand.Priority == request.Priority && !request.Returning {
			ahead += demand.OnTime
		}
	}
	if room.Places == 0 || room.Free > ahead {
		return Run, 0
	}
	perSecond := placesPerSecond(fleet, room, request.Hold)
	if perSecond <= 0 || !c.informed(now) {
		return Wait, 0
	}
	wait := expectedWait(ahead-room.Free, perSecond-arrivals(fleet, int16(request.Priority)))
	if now+wait <= request.StartBy {
		return Wait, wait
	}
	wait = lateWait(fleet, request.Priority, room, perSecond)
	if now+wait < request.GiveUpAt {
		return Wait, wait
	}
	return Refuse, wait
}

// informed reports whether this node knows the demand of others.
func (c *Controller) informed(now time.Duration) bool { return c.Alone || c.ledger.heard(now) }

// lateShare is the least part of the places which higher priorities leave that late requests are expected to get: a
// rate of arrivals above the room that was seen for a second may not last, so that what waits decides whether
// they are refused.
const lateShare = 0.5

// lateWait is the expected wait of a request that can't be on time.
func lateWait(fleet []Demand, priority uint8, room Room, perSecond float64) time.Duration {
	left := max(perSecond-arrivals(fleet, math.MaxUint8+1), lateShare*(perSecond-arrivals(fleet, int16(priority))))
	return expectedWait(lateAhead(fleet, priority)-room.Free, left)
}

// Forecast is when there will be room for a refused request.
type Forecast struct {
	// Clearing is the time until all that waits now is served.
	Clearing time.Duration
	// Growing is true if more arrives than there is room for, so that it is not known when that ends.
	Growing bool
}

// Forecast returns when there will be room, and whether it is known.
func (c *Controller) Forecast(now time.Duration, request *Arrival, room Room) (Forecast, bool) {
	fleet := c.demand(now, request.Service)
	perSecond := placesPerSecond(fleet, room, request.Hold)
	if room.Places == 0 || perSecond <= 0 || !c.informed(now) {
		return Forecast{}, false
	}
	return Forecast{
		Clearing: expectedWait(lateAhead(fleet, math.MaxUint8)-room.Free, perSecond),
		Growing:  arrivals(fleet, int16(request.Priority)+1) >= perSecond,
	}, true
}

// Pressure is the load of a service over all nodes, for operators.
type Pressure struct {
	// OnTime and Late count the waiting requests.
	OnTime, Late int
	// PlacesPerSecond is how many places are freed a second while all are taken; requests that
	// arrive at a higher rate are refused in part. 0 is not known.
	ArrivalsPerSecond, PlacesPerSecond float64
}

// Pressure returns the load of a service.
func (c *Controller) Pressure(now time.Duration, service uint32, room Room) Pressure {
	fleet := c.demand(now, service)
	p := Pressure{PlacesPerSecond: placesPerSecond(fleet, room, 0)}
	for _, demand := range fleet {
		p.OnTime += demand.OnTime
		p.Late += demand.Late
		p.ArrivalsPerSecond += demand.ArrivalsPerSecond
	}
	return p
}

// expectedWait is the time until a request has a place that others precede, while a number of
// places a second is left to them.
func expectedWait(ahead int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return overloadHorizon
	}
	return min(overloadHorizon, time.Duration(float64(max(0, ahead)+1)/perSecond*float64(time.Second)))
}

// newsTime is about the time in which nodes hear of each other's requests. Places for the requests of
// higher priority that arrive meanwhile are kept free, so that these don't wait for news of a place.
const newsTime = 60 * time.Millisecond

// MayTake reports whether a waiting request may take a free place: no request may that others of
// higher priority need, and a late one only if no other that is on time is known to wait for it.
func (c *Controller) MayTake(now time.Duration, request *Arrival, late bool, room Room) bool {
	if room.Places == 0 {
		return true
	}
	fleet := c.demand(now, request.Service)
	perSecond := placesPerSecond(fleet, room, request.Hold)
	claimed := 0.0
	for _, demand := range fleet {
		higher := demand.Priority < request.Priority
		if higher {
			claimed += demand.ArrivalsPerSecond * newsTime.Seconds()
		}
		if higher || late {
			claimed += c.ledger.unserved(now, demand.Class, perSecond, late && higher)
		}
	}
	return float64(room.Free) > claimed
}

// demand returns what waits and arrives at all nodes for a service, by priority.
func (c *Controller) demand(now time.Duration, service uint32) []Demand {
	classes := c.ledger.classes(service)
	for class := range c.meters {
		if class.Service == service && !slices.Contains(classes, class) {
			classes = append(classes, class)
		}
	}
	slices.SortFunc(classes, func(a, b Class) int { return int(a.Priority) - int(b.Priority) })
	demands := make([]Demand, 0, len(classes))
	for _, class := range classes {
		sum := c.ledger.Others(now, class)
		sum.add(c.own(now, class))
		demands = append(demands, sum)
	}
	return demands
}

func (c *Controller) own(now time.Duration, class Class) Demand {
	own := Demand{Class: class}
	own.OnTime, own.Late = c.waiting(class)
	if m := c.meters[class]; m != nil {
		own.ArrivalsPerSecond, own.PlaceMs = m.rate(now), m.placeMs
	}
	return own
}

// negligibleRate is the rate of arrivals below which a class without waiting requests is not worth
// a message.
const negligibleRate = 0.05

// Demands returns what waits and arrives at this node, by class. Classes that are not asked for any
// more are forgotten.
func (c *Controller) Demands(now time.Duration) []Demand {
	var demands []Demand
	for class := range c.meters {
		own := c.own(now, class)
		if own.OnTime+own.Late == 0 && own.ArrivalsPerSecond < negligibleRate {
			delete(c.meters, class)
			continue
		}
		demands = append(demands, own)
	}
	slices.SortFunc(demands, func(a, b Demand) int { return compareClasses(a.Class, b.Class) })
	return demands
}

// arrivals is the rate of arrivals of the priorities before one.
func arrivals(demands []Demand, priority int16) float64 {
	sum := 0.0
	for _, demand := range demands {
		if int16(demand.Priority) < priority {
			sum += demand.ArrivalsPerSecond
		}
	}
	return sum
}

// lateAhead counts what precedes a late request: all that are on time, and the late ones of its
// priority and higher ones.
func lateAhead(demands []Demand, priority uint8) int {
	ahead := 0
	for _, demand := range demands {
		ahead += demand.OnTime
		if demand.Priority <= priority {
			ahead += demand.Late
		}
	}
	return ahead
}

// placesPerSecond is how many places of a service are freed a second while all are taken.
func placesPerSecond(demands []Demand, room Room, expectedHold time.Duration) float64 {
	var sum Demand
	for _, demand := range demands {
		if demand.PlaceMs > 0 {
			sum.add(demand)
		}
	}
	placeMs := sum.PlaceMs
	if placeMs <= 0 {
		placeMs = float64(expectedHold.Microseconds()) / 1000
	}
	if placeMs <= 0 {
		return 0
	}
	perSecond := float64(room.Places) * 1000 / placeMs
	if room.PerSecond > 0 {
		perSecond = min(perSecond, room.PerSecond)
	}
	return perSecond
}

// Share returns this node's share of what competes for a place with a request of a class: what waits
// at all nodes, and arrives within newsTime, of its priority or a higher one, without late ones
// unless it is late itself. It also reports whether there are less than factor places for each.
func (c *Controller) Share(now time.Duration, class Class, late bool, room Room, factor float64) (share float64, scarce bool) {
	if room.Places == 0 || c.Alone || !c.informed(now) {
		return 1, false
	}
	own, all, lower := 0.0, 0.0, 0.0
	for _, demand := range c.demand(now, class.Service) {
		if demand.Priority > class.Priority {
			lower += demand.competing(late)
			continue
		}
		mine := c.own(now, demand.Class)
		all += demand.competing(late)
		own += mine.competing(late)
	}
	// The request itself may have just arrived.
	own = max(own, 1)
	all = max(all, own)
	return own / all * (takersPerPlace + (urgentTakersPerPlace-takersPerPlace)*lower/(lower+all)), float64(room.Free) < factor*all
}

const (
	// takersPerPlace is the mean number of nodes that take a place which all of them hear of. With
	// fewer, places stay empty until they are drawn for again; with more, requests queue at upstreams.
	takersPerPlace = 0.7
	// urgentTakersPerPlace is the same for requests that precede all others: they also precede others
	// at the upstream.
	urgentTakersPerPlace = 1.3
)
