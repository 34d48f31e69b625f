package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Scope is the set of members among which a role's owner is chosen.
type Scope uint8

// The scopes.
const (
	// DataCentreScope is the node's own data centre.
	DataCentreScope Scope = iota
	// RegionScope is the node's own region.
	RegionScope
	// ClusterScope is every region.
	ClusterScope
)

// Peer is another member as shown in the node's status.
type Peer struct {
	Member
	// Reachable is false while the member's data centre is unreachable.
	Reachable bool
	// SiteVersion is the highest version received from the member itself; 0 means
	// none yet.
	SiteVersion uint64
}

// Self returns the node's own entry.
func (s *State) Self() Member {
	return s.self
}

// Live returns the live members of a scope, sorted by name, including the node
// itself. Members of unreachable data centres are left out.
func (s *State) Live(now time.Time, scope Scope) []Member {
	return s.table.list(func(r *record) bool {
		return r.Live() && s.inScope(r, scope) && s.reachable(now, r)
	})
}

func (s *State) inScope(r *record, scope Scope) bool {
	switch scope {
	case DataCentreScope:
		return s.isLocal(r)
	case RegionScope:
		return r.Region == s.self.Region
	}
	return true
}

func (s *State) reachable(now time.Time, r *record) bool {
	return s.heartbeatAge(now, r.DataCentre) < unreachableAfter
}

// Peers returns all other members, including dead ones until they are removed.
func (s *State) Peers(now time.Time) []Peer {
	others := s.table.list(func(r *record) bool { return r.Name != s.self.Name })
	peers := make([]Peer, 0, len(others))
	for _, member := range others {
		r := s.table.records[member.Name]
		peers = append(peers, Peer{Member: member, Reachable: s.reachable(now, r), SiteVersion: r.siteVersion})
	}
	return peers
}

// Isolated reports whether the node has received no message from another node for
// isolatedAfter. Its view is then stale, and it neither suspects members nor
// declares them dead.
func (s *State) Isolated(now time.Time) bool {
	return now.Sub(s.lastReceived) >= isolatedAfter
}

// LastReceived returns when the node last received a message from another node; zero
// means never.
func (s *State) LastReceived() time.Time {
	return s.lastReceived
}

// HasOtherMembers reports whether the view holds another member that has not
// announced that it left.
func (s *State) HasOtherMembers() bool {
	return slices.ContainsFunc(s.table.sorted, func(r *record) bool {
		return r.Name != s.self.Name && r.Status != Left
	})
}

// Owns reports whether this node owns a role among the live members of a scope. It
// equals Owner over Live but makes no copy.
func (s *State) Owns(now time.Time, role string, scope Scope) bool {
	base := xxhash.Sum64String(role)
	own := rendezvousWeight(base, s.self.Name)
	for _, r := range s.table.sorted {
		if !r.Live() || r.Name == s.self.Name || !s.inScope(r, scope) {
			continue
		}
		weight := rendezvousWeight(base, r.Name)
		precedes := weight > own || weight == own && r.Name < s.self.Name
		if precedes && s.reachable(now, r) {
			return false
		}
	}
	return s.self.Live()
}
