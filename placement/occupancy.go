package placement

import (
	"time"

	"github.com/wigeontiller/wigeontiller/admission"
)

// Occupancy is how full a service is, according to a node's view.
type Occupancy struct {
	Service string
	// Waiting is the number of this node's requests that are queued.
	Waiting int
	// Upstreams is the number of upstreams that may take requests, Slots the number of
	// their slots, and Occupied the number of slots that all nodes use.
	Upstreams, Slots, Occupied int
	// Pressure is what waits and arrives at all nodes.
	Pressure admission.Pressure
}

// Occupancies returns, by name, how full each service with waiting requests is.
func (s *Scheduler) Occupancies(now time.Duration) map[string]*Occupancy {
	byService := map[string]*Occupancy{}
	s.queue.Each(func(item *admission.Item[*Request]) {
		service := item.Value.Service
		p := byService[service]
		if p == nil {
			p = &Occupancy{Service: service, Pressure: s.admission.Pressure(now, item.Service, s.room(now, item.Value, 0))}
			byService[service] = p
		}
		p.Waiting++
	})
	if len(byService) == 0 {
		return byService
	}
	for _, l := range s.loads {
		p := byService[l.entry.Service]
		if p == nil || l.entry.Draining || s.view.ZonesOutOfService[l.entry.Zone] || now < l.avoidUntil || l.entry.Missing() {
			continue
		}
		p.Upstreams++
		p.Slots += l.entry.Slots
		p.Occupied += l.occupied(now)
	}
	return byService
}
