package loadshare

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// IsOwner reports whether this node is the one that polls an upstream for its load, by
// rendezvous hashing: in a small fleet over all live nodes, in a larger one over the live nodes
// of the upstream's zone, or, if that zone has none, of another one.
func (a *Agent) IsOwner(id, zone string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	own := weight(nodeHash(a.self.Name), id)
	if !a.relayed() {
		for name, p := range a.peers {
			if p.live(now) && weight(nodeHash(name), id) > own {
				return false
			}
		}
		return true
	}
	if a.homeZone(id, zone, now) != a.self.Zone {
		return false
	}
	for _, member := range a.relay.members {
		if weight(member, id) > own {
			return false
		}
	}
	return true
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
