package loadshare

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// IsOwner reports whether this node is the one that polls an upstream for its load: the first of
// the order of SenderRank.
func (a *Agent) IsOwner(id, zone string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.settling(time.Now()) {
		return false
	}
	rank, _ := a.rankAt(id, zone)
	return rank == 0
}

const (
	// ownersKnownAfter is how long after its start a node waits to hear of the others.
	ownersKnownAfter = 500 * time.Millisecond
	// membersKnownAfter is how long after its start a node also counts those of its zone that it heard
	// itself: the first lists of a relay that has just started are not complete.
	membersKnownAfter = 3 * unresponsiveAfter
)

// settling reports whether this node has just started, in a fleet that may be large, and does not know
// yet who is there: all nodes of a fleet that starts at once would poll each upstream. The mutex is held.
func (a *Agent) settling(now time.Time) bool {
	if now.Sub(a.started) > ownersKnownAfter || a.relay.acting || len(a.relay.members) > 0 {
		return false
	}
	return !a.directoryRead || len(a.peers)+len(a.unheard) >= maxDirectNodes
}

// SenderRank returns this node's place in the order of rendezvous hashing for an upstream, and the
// number of nodes in it: in a small fleet all live ones, in a larger one those of the upstream's zone,
// or, if that zone has none, of another one. A node that is not among them, or that shuts down, comes
// after the last one. part is the part of the upstream's limit that these nodes may use: others that may be sending are cut
// off from this one, and order themselves.
func (a *Agent) SenderRank(id, zone string) (rank, nodes int, part float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	rank, nodes = a.rankAt(id, zone)
	if a.shuttingDown {
		rank = nodes
	}
	return rank, nodes, a.reachedPart(time.Now())
}

// reachedPart returns the part of the nodes that share limits that this one is in touch with; the mutex is held.
func (a *Agent) reachedPart(now time.Time) float64 {
	if !a.relayed() {
		reached := 1
		for _, p := range a.peers {
			if p.live(now) || p.shuttingDown && p.heardWithin(now, removeAfter) {
				reached++
			}
		}
		return min(1, float64(reached)/float64(a.countNodes(now)))
	}
	ownZone := a.zoneSize(now)
	reached, all := ownZone, ownZone
	for _, source := range a.relay.zones {
		switch age := now.Sub(source.receivedAt); {
		case age < zoneTimeout:
			reached += source.nodes
			all += source.nodes
		case age <= sharesFor:
			all += source.nodes
		}
	}
	members := max(1, len(a.relay.members))
	return min(1, float64(members)/float64(ownZone)) * float64(reached) / float64(all)
}

// rankAt is SenderRank for a node that does not shut down; the mutex is held.
func (a *Agent) rankAt(id, zone string) (rank, nodes int) {
	now := time.Now()
	self := nodeHash(a.self.Name)
	own := weight(self, id)
	nodes = 1
	count := func(node uint32) {
		if node == self {
			return
		}
		nodes++
		if weight(node, id) > own {
			rank++
		}
	}
	if !a.relayed() {
		for name, p := range a.peers {
			if p.live(now) {
				count(nodeHash(name))
			}
		}
		return rank, nodes
	}
	for _, member := range a.relay.members {
		count(member)
	}
	if now.Sub(a.started) < membersKnownAfter {
		for _, p := range a.candidates {
			if hash := nodeHash(p.node.Name); p.node.Zone == a.self.Zone && p.live(now) && !slices.Contains(a.relay.members, hash) {
				count(hash)
			}
		}
	}
	if a.homeZone(id, zone, now) != a.self.Zone {
		rank = nodes
	}
	return rank, nodes
}

func weight(node uint32, id string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(uint64(node), 16) + "/" + id)
}

// homeZone returns the zone whose nodes poll an upstream: its own if that has live nodes; the
// mutex is held.
func (a *Agent) homeZone(id, zone string, now time.Time) string {
	live := []string{a.self.Zone}
	for name, source := range a.relay.zones {
		if now.Sub(source.receivedAt) < zoneTimeout {
			live = append(live, name)
		}
	}
	sort.Strings(live)
	best := live[0]
	for _, name := range live {
		if name == zone {
			return zone
		}
		if xxhash.Sum64String(name+"/"+id) > xxhash.Sum64String(best+"/"+id) {
			best = name
		}
	}
	return best
}
