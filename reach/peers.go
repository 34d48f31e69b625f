package reach

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Peer is another node.
type Peer struct{ Name, Zone, Region string }

const (
	// RefusalTime is how long a node that could not take a request is left out.
	RefusalTime = 2 * time.Second
	// maxZoneTries is the number of nodes of its own zone that a request is offered to before nodes of
	// other zones.
	maxZoneTries = 1
	// minZoneShare is the share of the zone's nodes that must be usable for them to take all requests of
	// the others. Below it the rest goes to other zones.
	minZoneShare = 0.5
)

// Peers chooses the nodes that requests are handed to.
type Peers struct {
	zone, region string
	random       *rand.Rand
	// unusable holds until when a node is left out, and running the requests that it has from here.
	unusable map[string]time.Duration
	running  map[string]int
}

// NewPeers returns the choice for a node of a zone and region.
func NewPeers(zone, region string, random *rand.Rand) *Peers {
	return &Peers{zone: zone, region: region, random: random, unusable: map[string]time.Duration{}, running: map[string]int{}}
}

// Choose returns the node to hand a request to, and false if there is none: one of the same zone while
// enough of them are usable, and of two the one with fewer requests from here. regions are those that
// may see the request, empty is all; tried are nodes that it was offered to.
func (p *Peers) Choose(now time.Duration, nodes []Peer, regions, tried []string) (Peer, bool) {
	var near, far []Peer
	zoneNodes, zoneTries := 1, 0
	for _, node := range nodes {
		sameZone := node.Zone == p.zone
		if sameZone {
			zoneNodes++
		}
		if slices.Contains(tried, node.Name) {
			if sameZone {
				zoneTries++
			}
			continue
		}
		if now < p.unusable[node.Name] || len(regions) > 0 && !slices.Contains(regions, node.Region) {
			continue
		}
		if sameZone {
			near = append(near, node)
		} else {
			far = append(far, node)
		}
	}
	far = p.preferRegion(far)
	share := float64(len(near)) / (minZoneShare * float64(zoneNodes))
	if len(near) > 0 && (len(far) == 0 || zoneTries < maxZoneTries && p.random.Float64() < share) {
		return p.leastRunning(near), true
	}
	if len(far) > 0 {
		return p.leastRunning(far), true
	}
	return Peer{}, false
}

// preferRegion leaves only the nodes of this region, if there are any.
func (p *Peers) preferRegion(nodes []Peer) []Peer {
	same := slices.DeleteFunc(slices.Clone(nodes), func(n Peer) bool { return n.Region != p.region })
	if len(same) > 0 {
		return same
	}
	return nodes
}

func (p *Peers) leastRunning(nodes []Peer) Peer {
	a, b := nodes[p.random.IntN(len(nodes))], nodes[p.random.IntN(len(nodes))]
	if p.running[b.Name] < p.running[a.Name] {
		return b
	}
	return a
}

// Begin counts a request that was handed to a node, until End.
func (p *Peers) Begin(name string) { p.running[name]++ }

// End ends a request that Begin counted.
func (p *Peers) End(name string) {
	if p.running[name]--; p.running[name] <= 0 {
		delete(p.running, name)
	}
}

// RecordRefusal records that a node could not take a request.
func (p *Peers) RecordRefusal(now time.Duration, name string) {
	for known, until := range p.unusable {
		if now >= until {
			delete(p.unusable, known)
		}
	}
	p.unusable[name] = now + RefusalTime
}
