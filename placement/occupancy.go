package placement

import "time"

// Occupancy is how full a service is, according to a node's view.
type Occupancy struct {
	Service string
	// Waiting is the number of this node's requests that are queued.
	Waiting int
	// Upstreams is the number of upstreams that may take requests, Slots the number of
	// their slots, and Occupied the number of slots that all nodes use.
	Upstreams, Slots, Occupied int
}

// Occupancies returns, by name, how full each service with waiting requests is.
func (s *Scheduler) Occupancies(now time.Duration) map[string]*Occupancy {
	byService := map[string]*Occupancy{}
	for _, request := range s.queue {
		p := byService[request.Service]
		if p == nil {
			p = &Occupancy{Service: request.Service}
			byService[request.Service] = p
		}
		p.Waiting++
	}
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
