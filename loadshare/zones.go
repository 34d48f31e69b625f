package loadshare

import (
	"net/netip"
	"time"

	"github.com/wigeontiller/wigeontiller/placement"
)

// zoneSource is where the sums of one other zone come from.
type zoneSource struct {
	relay       uint32
	incarnation uint64
	sequence    uint64
	receivedAt  time.Time
	nodes       int
	// dropped is true after the sums were dropped because they were too old.
	dropped bool
}

// zoneTargets returns the addresses in another zone that get this zone's sums; the mutex is held.
func (a *Agent) zoneTargets(zone string, ranked []Node) []netip.AddrPort {
	var targets []netip.AddrPort
	for _, node := range ranked[:min(relayTargets, len(ranked))] {
		targets = append(targets, node.Address)
	}
	source := a.relay.zones[zone]
	if source == nil {
		return targets
	}
	for i, node := range ranked {
		if i >= relayTargets && nodeHash(node.Name) == source.relay {
			targets = append(targets, node.Address)
		}
	}
	return targets
}

// applyZone merges another zone's sums. If direct is true they came from that zone's relay,
// and this node passes them on if it is its own zone's relay.
func (a *Agent) applyZone(z *zoneLoad, direct bool) {
	if z.Zone == a.self.Zone {
		return
	}
	now := time.Now()
	a.mutex.Lock()
	if direct && a.relay.acting {
		a.relay.pending = append(a.relay.pending, *z)
	}
	source := a.relay.zones[z.Zone]
	accepted := a.acceptZone(source, z, now)
	if accepted {
		if source == nil {
			source = &zoneSource{}
			a.relay.zones[z.Zone] = source
		}
		*source = zoneSource{relay: z.Relay, incarnation: z.Incarnation, sequence: z.Sequence, receivedAt: now, nodes: z.Nodes}
	}
	a.mutex.Unlock()
	if accepted {
		a.gate.Do(func(s *placement.Scheduler, now time.Duration) {
			s.ApplyLoadUpdates(now, zoneKey(z.Zone), z.Shares, z.Full)
		})
	}
}

// acceptZone reports whether sums are to be used: newer ones of the same relay, or all totals
// of another relay that precedes it or takes over from it. The mutex is held.
func (a *Agent) acceptZone(source *zoneSource, z *zoneLoad, now time.Time) bool {
	if source == nil || source.dropped {
		return z.Full
	}
	if source.relay == z.Relay && source.incarnation == z.Incarnation {
		return z.Sequence > source.sequence
	}
	if !z.Full || source.relay == z.Relay && z.Incarnation < source.incarnation {
		return false
	}
	rank := func(hash uint32) int {
		ranked := a.relay.ranked[z.Zone]
		for i, node := range ranked {
			if nodeHash(node.Name) == hash {
				return i
			}
		}
		return len(ranked)
	}
	return source.relay == z.Relay || now.Sub(source.receivedAt) > relayTimeout || rank(z.Relay) < rank(source.relay)
}

// checkZones drops the sums of zones that are silent.
func (a *Agent) checkZones(now time.Time) {
	var silent []string
	a.mutex.Lock()
	for zone, source := range a.relay.zones {
		if now.Sub(source.receivedAt) > zoneTimeout && !source.dropped {
			source.dropped = true
			silent = append(silent, zone)
		}
	}
	a.mutex.Unlock()
	for _, zone := range silent {
		a.logger.Warn().Str("zone", zone).Msg("zone is silent")
		a.gate.Do(func(s *placement.Scheduler, _ time.Duration) { s.RemoveNode(zoneKey(zone)) })
	}
}

// countNodes returns the number of nodes that share limits: those that may be sending, heard or not. The mutex is held.
func (a *Agent) countNodes(now time.Time) int {
	if !a.relayed() {
		return 1 + a.limitNodes(now, func(string) bool { return true })
	}
	nodes := a.zoneSize(now)
	for _, source := range a.relay.zones {
		if now.Sub(source.receivedAt) <= sharesFor {
			nodes += source.nodes
		}
	}
	if now.Sub(a.started) <= removeAfter {
		nodes += a.limitNodes(now, func(zone string) bool {
			source := a.relay.zones[zone]
			return zone != a.self.Zone && (source == nil || now.Sub(source.receivedAt) > sharesFor)
		})
	}
	return max(1, nodes)
}

// zoneSize is the number of nodes of this zone that share limits; the mutex is held.
func (a *Agent) zoneSize(now time.Time) int {
	nodes := a.countZone(now)
	if !a.relay.acting && now.Sub(a.relay.zoneNodesAt) <= removeAfter {
		nodes = max(nodes, a.relay.zoneNodes)
	}
	return nodes
}

// countZone counts the nodes of this zone that this one knows to be there, by its relays' lists or because they were heard, and
// shortly after the start also those of the directory; the mutex is held.
func (a *Agent) countZone(now time.Time) int {
	nodes := 1 + a.relay.known.count(now, nodeHash(a.self.Name))
	if now.Sub(a.started) <= removeAfter {
		nodes = max(nodes, 1+a.limitNodes(now, func(zone string) bool { return zone == a.self.Zone }))
	}
	return nodes
}
