package placement

import "time"

// Occupancy is how full a service is, by what a node knows.
type Occupancy struct {
	Service string
	// Waiting is the number of this node's requests that have no place yet.
	Waiting int
	// Upstreams are those that may take requests, Slots theirs and Occupied the slots
	// that all nodes use.
	Upstreams, Slots, Occupied int
}

// Occupancies returns how full each service is that has waiting requests.
func (s *Scheduler) Occupancies(now time.Duration) map[string]*Occupancy {
	full := map[string]*Occupancy{}
	for _, request := range s.queue {
		p := full[request.Service]
		if p == nil {
			p = &Occupancy{Service: request.Service}
			full[request.Service] = p
		}
		p.Waiting++
	}
	if len(full) == 0 {
		return full
	}
	for _, l := range s.loads {
		p := full[l.entry.Service]
		if p == nil || l.entry.Draining || s.view.ZonesOutOfService[l.entry.Zone] || now < l.avoidUntil || l.entry.Missing() {
			continue
		}
		p.Upstreams++
		p.Slots += l.entry.Slots
		p.Occupied += l.occupied(now)
	}
	return full
}
