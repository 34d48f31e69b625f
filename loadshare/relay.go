package loadshare

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/wigeontiller/wigeontiller/periodic"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/quarantine"
)

// In a fleet of more than maxDirectNodes, a node sends its load to the relay of its zone and
// to the relay's deputy, not to all nodes. The relay sends, at relayInterval, one bundle to each
// node of its zone, with the load of the zone's nodes and the sums of the other zones, and its
// zone's sums to the relays of the other zones. So a node receives one datagram per
// relayInterval, however many nodes there are.
const (
	// maxDirectNodes is the fleet size up to which each node sends to each other one.
	maxDirectNodes = 24
	// relayInterval is how often a relay sends. Placement sees the load of another zone at
	// most two intervals late.
	relayInterval = 40 * time.Millisecond
	// relayedFlushDelay is flushDelay where a relay collects the changes anyway.
	relayedFlushDelay = 4 * time.Millisecond
	// fullEvery is the number of bundles from one with all totals to the next: 2 s, so that
	// a lost datagram is made good.
	fullEvery = 50
	// earlyFullEvery replaces fullEvery for a relay's first fullEvery bundles, while it learns
	// which nodes there are.
	earlyFullEvery = 5
	// relayTimeout is the time without a bundle after which a relay counts as gone.
	relayTimeout = 500 * time.Millisecond
	// takeoverStep is the additional time that each further node in the ranking waits before
	// it takes over.
	takeoverStep = 200 * time.Millisecond
	// listTimeout is how long a relay may leave this node out of its bundles although this
	// node sends to it: a full bundle and a half.
	listTimeout = 3 * time.Second
	// relayProbeInterval is how often a node tries a relay again that leaves it out.
	relayProbeInterval = 4 * listTimeout
	// zoneTimeout is the time after which another zone's sums no longer count.
	zoneTimeout = 2 * time.Second
	// relayTargets is how many nodes of a zone get what is meant for its relay: the relay
	// and its deputy.
	relayTargets = 2
)

// relayState is what a node keeps of the relays. Agent.mutex guards it.
type relayState struct {
	// large is true while the fleet is so large that relays pass the load on; largeAt is when
	// so many nodes were last heard.
	large   bool
	largeAt time.Time
	// counted is true if this node's own count says so.
	counted bool
	// ranked holds the nodes that take part by zone, this node included, in the order of rankByZone.
	ranked map[string][]Node
	// ownRank is this node's place in its zone.
	ownRank int
	// acting is true while this node is its zone's relay, since actingSince.
	acting      bool
	actingSince time.Time
	// betterAt is when a usable relay that precedes this node was last heard.
	betterAt time.Time
	// bundles counts the bundles sent while acting.
	bundles int
	// totals are the loads of this zone's nodes that send to this one.
	totals *zoneTotals
	// pending are the sums of other zones to be passed on with the next bundle.
	pending []zoneLoad
	// zones are the sources of the other zones' sums.
	zones map[string]*zoneSource
	// members are the nodes in the last full bundle; shutting down ones are left out.
	members []uint32
	// membersAt is when the last full bundle was sent or received; zero is never.
	membersAt time.Time
	// known are the nodes of this zone that were heard or listed by a relay.
	known sightings
	// zoneNodes is the number of nodes of this zone that share limits, by the last bundle.
	zoneNodes   int
	zoneNodesAt time.Time
}

func newRelayState(now time.Time) relayState {
	return relayState{ranked: map[string][]Node{}, totals: newZoneTotals(), zones: map[string]*zoneSource{}, known: sightings{}, betterAt: now}
}

// relayed reports whether the fleet is so large that relays pass the load on; the mutex is held.
func (a *Agent) relayed() bool { return a.relay.large }

func (a *Agent) isRelayed() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.relayed()
}

// usableRelay reports whether a node of this zone acts as relay and receives what this node
// sends; the mutex is held.
func (a *Agent) usableRelay(p *peer, now time.Time) bool {
	if p == nil || p.shuttingDown || now.Sub(p.bundleAt) > relayTimeout {
		return false
	}
	probing := now.Sub(p.bundlesSince)%relayProbeInterval < listTimeout
	return probing || now.Sub(p.listedAt) < listTimeout
}

// currentRelay returns this zone's relay as this node knows it, or "" if there is none; the
// mutex is held.
func (a *Agent) currentRelay(now time.Time) string {
	for _, node := range a.relay.ranked[a.self.Zone] {
		if node.Name == a.self.Name && a.relay.acting || a.usableRelay(a.peers[node.Name], now) {
			return node.Name
		}
	}
	return ""
}

// relayTargets returns the addresses that get this node's totals: the current relay and the
// node after it, or, without one, the first of the ranking; the mutex is held.
func (a *Agent) relayTargets(now time.Time) []netip.AddrPort {
	ranked := a.relay.ranked[a.self.Zone]
	start := 0
	if current := a.currentRelay(now); current != "" {
		start = rankOf(ranked, current)
	}
	var targets []netip.AddrPort
	for _, node := range ranked[min(start, len(ranked)):] {
		if node.Name != a.self.Name {
			targets = append(targets, node.Address)
		}
		if len(targets) == relayTargets {
			break
		}
	}
	return targets
}

// updateActing decides whether this node is its zone's relay; the mutex is held.
func (a *Agent) updateActing(now time.Time) {
	for _, node := range a.relay.ranked[a.self.Zone][:a.relay.ownRank] {
		if p := a.peers[node.Name]; a.usableRelay(p, now) && p.bundleAt.After(a.relay.betterAt) {
			a.relay.betterAt = p.bundleAt
		}
	}
	wait := time.Duration(0)
	if a.relay.ownRank > 0 {
		wait = relayTimeout + time.Duration(a.relay.ownRank-1)*takeoverStep
	}
	acting := a.relay.counted && !a.shuttingDown && now.Sub(a.relay.betterAt) >= wait && !a.isolated(now)
	started := acting && !a.relay.acting
	if acting != a.relay.acting {
		a.logger.Info().Bool("relay", acting).Int("rank", a.relay.ownRank).Str("zone", a.self.Zone).Msg("relay of the zone's load")
	}
	if started {
		a.relay.bundles, a.relay.actingSince = 0, now
		a.relay.totals.discardPending()
	}
	a.relay.acting = acting
	if !acting {
		a.relay.pending = nil
	}
}

// isolated reports whether this node hears none of the others, so that it can't pass on what
// they send; the mutex is held.
func (a *Agent) isolated(now time.Time) bool {
	for _, p := range a.candidates {
		if p.heardWithin(now, unresponsiveAfter) {
			return false
		}
	}
	return true
}

// runRelay sends bundles while this node is its zone's relay.
func (a *Agent) runRelay(ctx context.Context) {
	periodic.Run(ctx, relayInterval, func() {
		a.mutex.Lock()
		a.updateActing(time.Now())
		acting := a.relay.acting
		a.mutex.Unlock()
		if acting {
			a.sendBundles()
		}
	})
}

// knowsTotals reports whether this node, as its zone's relay, has the totals of the nodes that the zone had in the last
// full bundle: one that lists too few makes all nodes take the others' load for gone. One that was neither relay
// nor deputy hears them within a heartbeat; the mutex is held.
func (a *Agent) knowsTotals(now time.Time) bool {
	if now.Sub(a.relay.actingSince) >= heartbeatInterval+2*relayInterval {
		return true
	}
	for _, member := range a.relay.members {
		if a.relay.totals.members[member] == nil && member != nodeHash(a.self.Name) {
			return false
		}
	}
	return true
}

// sendBundles sends one bundle to each node of the zone and the zone's sums to the relays of
// the other zones.
func (a *Agent) sendBundles() {
	var own []placement.LoadUpdate
	a.mutex.Lock()
	full := a.relay.bundles%fullEvery == 0 || a.relay.bundles < fullEvery && a.relay.bundles%earlyFullEvery == 0
	full = full && a.knowsTotals(time.Now())
	a.relay.bundles++
	a.mutex.Unlock()
	a.gate.Do(func(s *placement.Scheduler, now time.Duration) { own = s.LoadUpdates(now, full) })
	now := time.Now()
	a.mutex.Lock()
	self := nodeHash(a.self.Name)
	a.relay.totals.apply(self, own, full, a.shuttingDown)
	members := a.relay.totals.takeMembers(full)
	sums := zoneLoad{
		Zone: a.self.Zone, Relay: self, Incarnation: a.incarnation, Sequence: a.sequence + 1, Full: full,
		Nodes: a.countZone(now), Shares: a.relay.totals.takeSums(full),
	}
	if full {
		a.keepMembers(members)
	}
	content := &bundle{Nodes: sums.Nodes, Members: members}
	zones := a.relay.pending
	a.relay.pending = nil
	var inZone, others []netip.AddrPort
	for zone, ranked := range a.relay.ranked {
		if zone == a.self.Zone {
			for _, node := range ranked {
				if node.Name != a.self.Name {
					inZone = append(inZone, node.Address)
				}
			}
			continue
		}
		others = append(others, a.zoneTargets(zone, ranked)...)
	}
	a.mutex.Unlock()
	evidenceScope, limitScope := quarantine.Unsent, placement.Unsent
	if full {
		evidenceScope, limitScope = quarantine.All, placement.All
	}
	evidence, limits := a.evidenceToSend(evidenceScope), a.limitsToSend(limitScope)
	m := &message{Full: full, Relayed: true, Bundle: content, Zones: zones, Evidence: evidence, Limits: limits}
	if full {
		m.Announced = &a.self
	}
	toZones := &message{Relayed: true, Zones: []zoneLoad{sums}, Announced: &a.self, Evidence: evidence, Limits: limits}
	a.addRelayDemands(m, toZones)
	a.send(m, inZone)
	a.metrics.Count("wigeontiller_bundles_sent_total", 1)
	a.addClaims(toZones)
	a.send(toZones, others)
}

// keepMembers records the nodes of this zone that are listed in a full bundle; the mutex is held.
func (a *Agent) keepMembers(members []memberLoad) {
	a.relay.membersAt = time.Now()
	a.relay.members = a.relay.members[:0]
	for i := range members {
		a.relay.known.record(members[i].Hash, a.relay.membersAt, members[i].ShuttingDown)
		if !members[i].ShuttingDown {
			a.relay.members = append(a.relay.members, members[i].Hash)
		}
	}
}

// applyMember merges the totals that a node of this zone sent to this node as relay or deputy.
// It reports whether the scheduler takes them from here: a deputy's takes them from bundles.
func (a *Agent) applyMember(m *message, restarted bool) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.peers[m.Node].node.Zone != a.self.Zone || len(m.Zones) > 0 || m.HasClaims {
		return false
	}
	hash := nodeHash(m.Node)
	if restarted {
		a.relay.totals.remove(hash)
	}
	a.relay.totals.apply(hash, m.Shares, m.Full, m.ShuttingDown)
	return a.relay.acting
}

// memberKey names a node of this zone, and zoneKey a zone, to the scheduler.
func memberKey(hash uint32) string { return fmt.Sprintf("#%08x", hash) }

func zoneKey(zone string) string { return "zone/" + zone }

// applyBundle merges a bundle, if it comes from the relay that this node uses.
func (a *Agent) applyBundle(m *message) {
	now, self := time.Now(), nodeHash(a.self.Name)
	a.mutex.Lock()
	p := a.peers[m.Node]
	if now.Sub(p.bundleAt) > relayTimeout {
		p.bundlesSince = now
	}
	p.bundleAt = now
	listed := false
	for i := range m.Bundle.Members {
		listed = listed || m.Bundle.Members[i].Hash == self
	}
	if listed {
		p.listedAt = now
	}
	used := a.currentRelay(now) == m.Node
	if used {
		a.relay.zoneNodes, a.relay.zoneNodesAt = m.Bundle.Nodes, now
		if !a.relay.large {
			a.updateSize(now)
		}
	}
	var gone []uint32
	if used && m.Full {
		gone = a.relay.members
		a.relay.members = nil
		a.keepMembers(m.Bundle.Members)
		gone = without(gone, a.relay.members)
	}
	a.mutex.Unlock()
	if !used {
		return
	}
	a.gate.Do(func(s *placement.Scheduler, now time.Duration) {
		for i := range m.Bundle.Members {
			if member := &m.Bundle.Members[i]; member.Hash != self {
				s.ApplyLoadUpdates(now, memberKey(member.Hash), member.Shares, m.Full)
			}
		}
		for _, hash := range gone {
			s.RemoveNode(memberKey(hash))
		}
	})
}

// without returns the hashes that are not in other.
func without(hashes, other []uint32) []uint32 {
	present := make(map[uint32]bool, len(other))
	for _, hash := range other {
		present[hash] = true
	}
	var left []uint32
	for _, hash := range hashes {
		if !present[hash] {
			left = append(left, hash)
		}
	}
	return left
}
