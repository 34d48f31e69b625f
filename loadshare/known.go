package loadshare

import (
	"net/netip"
	"slices"
	"time"
)

// The directory keeps the entry of a node for some time after the node is gone, so that an entry
// alone proves nothing: sizes, the ranking and waits rest on the nodes that were heard. A node
// that starts announces itself to all entries, and each that hears it for the first time answers.
const (
	// DiscoveryTime is the time after its start by which all nodes that can hear a node count it: it has
	// announced itself twice and sent several heartbeats.
	DiscoveryTime = announceAgainDelay + unresponsiveAfter
	// unheardLimitGrace is how long each entry whose node was not heard counts among the nodes that share limits.
	unheardLimitGrace = DiscoveryTime
	// rankedFor is how long a silent node stays in the ranking.
	rankedFor = 10 * time.Minute
	// answerSpread spreads the answers to an announcement.
	answerSpread = 50 * time.Millisecond
	// maxProbed, maxPublished and maxAnnounced bound the nodes out of contact that get a
	// heartbeat, the publisher's view and the regular announcement: they may be cut off only.
	maxProbed, maxPublished, maxAnnounced = 16, 64, 512
)

// heardWithin reports whether a datagram of the peer arrived within the time.
func (p *peer) heardWithin(now time.Time, within time.Duration) bool {
	return !p.receivedAt.IsZero() && now.Sub(p.receivedAt) <= within
}

// unheardNode is an entry of the directory whose node was not heard.
type unheardNode struct {
	node         Node
	discoveredAt time.Time
}

// rank updates which known nodes take part, and their ranking; the mutex is held.
func (a *Agent) rank() {
	now := time.Now()
	nodes := append(make([]Node, 0, 1+len(a.candidates)), a.self)
	a.candidates = a.candidates[:0]
	zones := map[string]bool{a.self.Zone: true}
	take := func(p *peer) {
		p.ranked = true
		a.candidates = append(a.candidates, p)
		nodes = append(nodes, p.node)
	}
	for _, p := range a.peers {
		if p.ranked = a.takesPart(p, now); p.ranked {
			zones[p.node.Zone] = true
			take(p)
		}
	}
	for _, p := range a.peers {
		// A zone that is silent as a whole may be cut off.
		if !zones[p.node.Zone] {
			take(p)
		}
	}
	a.relay.ranked = rankByZone(nodes)
	a.relay.ownRank = rankOf(a.relay.ranked[a.self.Zone], a.self.Name)
	a.updateSize(now)
}

// takesPart reports whether a known node takes part in the ranking; the mutex is held.
func (a *Agent) takesPart(p *peer, now time.Time) bool {
	if p.node.Zone != a.self.Zone || a.relay.membersAt.IsZero() {
		return p.heardWithin(now, rankedFor)
	}
	// The zone's relay hears all nodes of the zone.
	return p.receivedAt.After(a.relay.membersAt.Add(-listTimeout)) || slices.Contains(a.relay.members, nodeHash(p.node.Name))
}

// include adds a node that was just heard to the ranking; the mutex is held.
func (a *Agent) include(p *peer) {
	p.ranked = true
	a.candidates = append(a.candidates, p)
	ranked := a.relay.ranked[p.node.Zone]
	i, _ := slices.BinarySearchFunc(ranked, p.node, compareRank)
	a.relay.ranked[p.node.Zone] = slices.Insert(ranked, i, p.node)
	if p.node.Zone == a.self.Zone && i <= a.relay.ownRank {
		a.relay.ownRank++
	}
	if !a.relay.large {
		a.updateSize(time.Now())
	}
}

// updateSize decides whether relays pass the load on; the mutex is held. The relay of a zone decides
// by the nodes that were heard, and its nodes go by its bundles. A fleet that became smaller goes on
// with relays for a while, so that restarts don't change the way of the load.
func (a *Agent) updateSize(now time.Time) {
	heard, bundled := a.heardNodes(now), false
	for _, p := range a.candidates {
		bundled = bundled || now.Sub(p.bundleAt) <= relayTimeout
	}
	if heard > maxDirectNodes {
		a.relay.largeAt = now
	}
	a.relay.counted = heard > maxDirectNodes || !a.relay.largeAt.IsZero() && now.Sub(a.relay.largeAt) < removeAfter
	a.relay.large = a.relay.counted || bundled
}

// heardNodes returns the number of nodes that this one knows to be there, itself included; the mutex
// is held.
func (a *Agent) heardNodes(now time.Time) int {
	lately, ranked := map[string]int{}, map[string]int{}
	for _, p := range a.candidates {
		if p.heardWithin(now, removeAfter) {
			lately[p.node.Zone]++
		}
		ranked[p.node.Zone]++
	}
	nodes := 1
	for zone, count := range ranked {
		source := a.relay.zones[zone]
		switch {
		case zone == a.self.Zone && now.Sub(a.relay.membersAt) <= removeAfter:
			nodes += count
		case source != nil && now.Sub(source.receivedAt) <= removeAfter:
			nodes += max(lately[zone], min(count, source.nodes))
		default:
			nodes += lately[zone]
		}
	}
	return nodes
}

// limitNodes returns how many of the other nodes of some zones share limits: those that were heard, and
// for a while those that were never heard, of which only a bounded part counts after unheardLimitGrace.
// The mutex is held.
func (a *Agent) limitNodes(now time.Time, ofZone func(zone string) bool) int {
	heard, early, late := 0, 0, 0
	for _, p := range a.peers {
		if p.heardWithin(now, countedFor(p.shuttingDown)) && ofZone(p.node.Zone) {
			heard++
		}
	}
	if now.Sub(a.discoveredAt) <= removeAfter {
		for _, known := range a.unheard {
			switch age := now.Sub(known.discoveredAt); {
			case !ofZone(known.node.Zone):
			case age <= unheardLimitGrace:
				early++
			case age <= removeAfter:
				late++
			}
		}
	}
	return heard + early + min(late, max(heard, maxDirectNodes))
}

// activeTargets returns the addresses of the nodes in contact: in a large fleet all ranked ones,
// which are heard seldom, and in a small one those heard lately; the mutex is held.
func (a *Agent) activeTargets(now time.Time) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(a.candidates))
	for _, p := range a.candidates {
		if a.inContact(p, now) {
			addresses = append(addresses, p.node.Address)
		}
	}
	return addresses
}

func (a *Agent) inContact(p *peer, now time.Time) bool {
	return p.ranked && (a.relay.large || p.heardWithin(now, removeAfter))
}

// targetsWith returns the active targets and, in no order, at most count of the other known nodes;
// the mutex is held.
func (a *Agent) targetsWith(now time.Time, count int) []netip.AddrPort {
	addresses := a.activeTargets(now)
	for _, p := range a.peers {
		if count <= 0 {
			break
		}
		if !a.inContact(p, now) {
			addresses = append(addresses, p.node.Address)
			count--
		}
	}
	for _, known := range a.unheard {
		if count <= 0 {
			break
		}
		addresses = append(addresses, known.node.Address)
		count--
	}
	return addresses
}

// answerAnnouncement announces this node to one that was just heard for the first time, so that
// both know that the other is there.
func (a *Agent) answerAnnouncement(to netip.AddrPort) {
	time.AfterFunc(randomDuration(answerSpread), func() {
		a.send(&message{Announced: &a.self, Relayed: a.isRelayed()}, []netip.AddrPort{to})
	})
}
