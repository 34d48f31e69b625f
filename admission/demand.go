// Package admission decides, while a service has too little room, which of its requests run now,
// which wait and which are refused, and when those may come back. Each node decides by the same
// rules from what it knows of the demand at all nodes, so that the nodes agree without asking each
// other. It does no I/O and reads no clock.
package admission

import (
	"cmp"
	"slices"
	"time"
)

// Class is a set of requests that are alike for admission: those of one service and priority.
type Class struct {
	// Service is the hash of the service's name.
	Service uint32
	// Priority is the requests' priority; 0 is served first.
	Priority uint8
}

func compareClasses(a, b Class) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
}

// Demand is what waits and arrives of one class, at one node or at several.
type Demand struct {
	Class
	// OnTime counts the waiting requests whose answer can still begin on time, Late the others.
	OnTime, Late int
	// ArrivalsPerSecond is the recent rate of requests, refused ones included.
	ArrivalsPerSecond float64
	// PlaceMs is the mean time for which a request holds its place.
	PlaceMs float64
}

// add adds another node's demand of the same class.
func (d *Demand) add(other Demand) {
	if total := d.ArrivalsPerSecond + other.ArrivalsPerSecond; total > 0 {
		d.PlaceMs = (d.PlaceMs*d.ArrivalsPerSecond + other.PlaceMs*other.ArrivalsPerSecond) / total
	}
	d.OnTime += other.OnTime
	d.Late += other.Late
	d.ArrivalsPerSecond += other.ArrivalsPerSecond
}

// competing is the number of requests that wait or arrive within newsTime.
func (d *Demand) competing(late bool) float64 {
	count := float64(d.OnTime) + d.ArrivalsPerSecond*newsTime.Seconds()
	if late {
		count += float64(d.Late)
	}
	return count
}

// messageTime is the time after which a newer message of a source is due.
const messageTime = 100 * time.Millisecond

// demandTTL is how long a source's demand counts without a new message: several heartbeats of
// a node. A source that is silent for longer is ignored, so that it can't hold up the others.
const demandTTL = 2 * time.Second

// Ledger holds the demand of the other nodes, by source: a node, or a zone. It is not safe for
// concurrent use.
type Ledger struct {
	sources map[string]*sourceDemand
}

type sourceDemand struct {
	receivedAt time.Duration
	// demands holds few classes.
	demands []Demand
}

// of returns the demand of a class.
func (s *sourceDemand) of(class Class) Demand {
	for _, demand := range s.demands {
		if demand.Class == class {
			return demand
		}
	}
	return Demand{Class: class}
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{sources: map[string]*sourceDemand{}} }

// Apply replaces the demand of a source.
func (l *Ledger) Apply(now time.Duration, source string, demands []Demand) {
	l.sources[source] = &sourceDemand{receivedAt: now, demands: slices.Clone(demands)}
}

// Remove forgets a source that is gone.
func (l *Ledger) Remove(source string) { delete(l.sources, source) }

// Others returns the demand of a class at all other nodes that were heard recently.
func (l *Ledger) Others(now time.Duration, class Class) Demand {
	sum := Demand{Class: class}
	for _, known := range l.sources {
		if now-known.receivedAt > demandTTL {
			continue
		}
		sum.add(known.of(class))
	}
	return sum
}

// heard reports whether any other node's demand is known.
func (l *Ledger) heard(now time.Duration) bool {
	for _, known := range l.sources {
		if now-known.receivedAt <= demandTTL {
			return true
		}
	}
	return false
}

// classes returns the classes of a service that other nodes have demand of.
func (l *Ledger) classes(service uint32) []Class {
	var classes []Class
	for _, known := range l.sources {
		for _, demand := range known.demands {
			if demand.Service == service && !slices.Contains(classes, demand.Class) {
				classes = append(classes, demand.Class)
			}
		}
	}
	return classes
}

// unserved estimates how many requests of a class still wait at other nodes, given the places a
// second that are freed from when their next message is due. With late, late ones count too.
func (l *Ledger) unserved(now time.Duration, class Class, placesPerSecond float64, late bool) float64 {
	others := l.Others(now, class)
	total := float64(others.OnTime)
	if late {
		total += float64(others.Late)
	}
	left := 0.0
	for _, known := range l.sources {
		age := now - known.receivedAt
		if age > demandTTL {
			continue
		}
		demand := known.of(class)
		waiting := float64(demand.OnTime)
		if late {
			waiting += float64(demand.Late)
		}
		left += waiting * max(0, 1-placesPerSecond*max(0, age-messageTime).Seconds()/max(total, 1))
	}
	return left
}
