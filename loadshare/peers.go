package loadshare

import (
	"net/netip"
	"slices"
	"time"
)

// Peers returns the other nodes that may be asked to serve a request: all known ones but those that
// shut down or are silent.
func (a *Agent) Peers() []Node {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now, relayed := time.Now(), a.relayed()
	nodes := make([]Node, 0, len(a.peers))
	for _, p := range a.candidates {
		silent := p.unresponsive || !p.heardWithin(now, unresponsiveAfter)
		if relayed {
			// The zone's relay hears its nodes; those of other zones are not heard one by one.
			silent = p.node.Zone == a.self.Zone && len(a.relay.members) > 0 && !p.live(now) && !slices.Contains(a.relay.members, nodeHash(p.node.Name))
		}
		if !p.shuttingDown && !silent && p.node.Zone != "" {
			nodes = append(nodes, p.node)
		}
	}
	return nodes
}

// IsPeer reports whether a known node has the IP address.
func (a *Agent) IsPeer(address netip.Addr) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, p := range a.peers {
		if p.node.Address.Addr() == address {
			return true
		}
	}
	for _, known := range a.unheard {
		if known.node.Address.Addr() == address {
			return true
		}
	}
	return false
}
