package loadshare

import (
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

const (
	// maxPublisherAge is the view age up to which a node can be a publisher; relays hear of
	// each other more often and use maxRelayPublisherAge, one poll and the way of its answer.
	maxPublisherAge      = 2 * time.Second
	maxRelayPublisherAge = 1200 * time.Millisecond
	// publisherCount is how many nodes poll the store at short intervals and publish
	// its changes to the others.
	publisherCount = 2
)

// IsPublisher reports whether this node polls the store at short intervals and publishes
// its view: fewer than publisherCount live peers with a fresh view precede it. In a small fleet
// all nodes are ordered by name; in a larger one the relays are, by zone, and a relay's
// deputy replaces them if there is none with a fresh view.
func (a *Agent) IsPublisher() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	if a.relayed() {
		return a.isRelayPublisher(now)
	}
	before := 0
	for _, p := range a.candidates {
		if p.live(now) && a.clock()-p.freshAt < maxPublisherAge && p.node.Name < a.self.Name {
			before++
		}
	}
	return before < publisherCount
}

// isRelayPublisher is IsPublisher in a fleet with relays; the mutex is held.
func (a *Agent) isRelayPublisher(now time.Time) bool {
	if !a.relay.acting && a.relay.ownRank >= relayTargets {
		return false
	}
	before, fresh := 0, 0
	for zone, source := range a.relay.zones {
		relay := a.peerByHash(zone, source.relay)
		if now.Sub(source.receivedAt) > relayTimeout || relay == nil || a.clock()-relay.freshAt > maxRelayPublisherAge {
			continue
		}
		fresh++
		if zone < a.self.Zone {
			before++
		}
	}
	if a.relay.acting {
		return before < publisherCount
	}
	own := a.peers[a.currentRelay(now)]
	return fresh == 0 && (own == nil || a.clock()-own.freshAt > maxRelayPublisherAge)
}

// peerByHash returns the peer of a zone with a hash, or nil; the mutex is held.
func (a *Agent) peerByHash(zone string, hash uint32) *peer {
	for _, node := range a.relay.ranked[zone] {
		if nodeHash(node.Name) == hash {
			return a.peers[node.Name]
		}
	}
	return nil
}

// PublishView sends this node's claims and the update, if any, to the peers at once, if
// this node is a publisher. An update that is too long is left out; the peers then poll
// the store.
func (a *Agent) PublishView(update *fleet.Update) {
	if update != nil && len(update.Changes) > maxUpdateChanges {
		update = nil
	}
	if !a.IsPublisher() {
		return
	}
	a.mutex.Lock()
	relayed, targets := a.relayed(), a.targetsWith(time.Now(), maxPublished)
	a.mutex.Unlock()
	if update != nil && update.Table == fleet.OperatorTable && (!relayed && !update.Holds || documentBytes(update) > maxSentDocumentBytes) {
		// In a small fleet each node waits for the operator's table itself; a long document
		// does not fit into a datagram.
		update = nil
	}
	m := &message{Update: update, Relayed: relayed}
	a.addClaims(m)
	a.send(m, targets)
}

// maxSentDocumentBytes is the maximum compressed size of a document that is sent to the
// other nodes: with it a datagram stays below maxDatagramBytes.
const maxSentDocumentBytes = 48 << 10

// documentBytes returns the compressed size of the documents of an update.
func documentBytes(update *fleet.Update) int {
	total := 0
	for i := range update.Changes {
		if document := update.Changes[i].Configuration; document != nil {
			total += len(compress(document.Encoded))
		}
	}
	return total
}

// StaleCallSpacing returns the mean time between calls to the store of a node whose view is
// old although it hears other nodes: all nodes together then make about one call per
// fleetCallSpacing.
func (a *Agent) StaleCallSpacing() time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	heard := false
	now := time.Now()
	for _, p := range a.candidates {
		heard = heard || p.live(now)
	}
	if !heard || !a.relayed() {
		return 0
	}
	return time.Duration(a.heardNodes(now)) * fleetCallSpacing
}

// fleetCallSpacing is the time between calls to the store of all nodes with an old view.
const fleetCallSpacing = 50 * time.Millisecond
