package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Scope is the set of members that a role falls to one of.
type Scope uint8

// The scopes.
const (
	// DataCentreScope is the node's own data centre.
	DataCentreScope Scope = iota
	// RegionScope is the node's own region.
	RegionScope
	// SiteScope is every region.
	SiteScope
)

// Peer is a member as status shows it.
type Peer struct {
	Member
	// Reachable is false while the member's data centre can't be heard.
	Reachable bool
	// SiteVersion is the highest one heard from the member itself; 0 means none yet.
	SiteVersion uint64
}

// Self returns the node's own entry.
func (s *State) Self() Member {
	return s.self
}

// Live returns the live members of a scope, sorted by name, the node itself
// included. Members of data centres that can't be heard are left out.
func (s *State) Live(now time.Time, scope Scope) []Member {
	return s.table.list(func(r *record) bool {
		return r.Live() && s.within(r, scope) && s.reachable(now, r)
	})
}

func (s *State) within(r *record, scope Scope) bool {
	switch scope {
	case DataCentreScope:
		return s.sameCentre(r)
	case RegionScope:
		return r.Region == s.self.Region
	}
	return true
}

func (s *State) reachable(now time.Time, r *record) bool {
	return s.centreSilent(now, r.DataCentre) < unreachableAfter
}

// Peers returns all other members, dead ones included until they are forgotten.
func (s *State) Peers(now time.Time) []Peer {
	others := s.table.list(func(r *record) bool { return r.Name != s.self.Name })
	peers := make([]Peer, 0, len(others))
	for _, member := range others {
		r := s.table.records[member.Name]
		peers = append(peers, Peer{Member: member, Reachable: s.reachable(now, r), SiteVersion: r.siteVersion})
	}
	return peers
}

// Isolated reports whether the node hears nobody. Its view is then old, and it
// neither suspects nor declares dead.
func (s *State) Isolated(now time.Time) bool {
	return now.Sub(s.lastHeard) >= isolatedAfter
}

// LastHeard returns when the node last heard another; zero for never.
func (s *State) LastHeard() time.Time {
	return s.lastHeard
}

// KnowsOthers reports whether there is a member besides the node that has not
// left by its own word.
func (s *State) KnowsOthers() bool {
	return slices.ContainsFunc(s.table.sorted, func(r *record) bool {
		return r.Name != s.self.Name && r.Status != Left
	})
}

// Owns reports whether a role falls to this node among the live members of a
// scope; it is Owner over Live without a copy.
func (s *State) Owns(now time.Time, role string, scope Scope) bool {
	base := xxhash.Sum64String(role)
	own := weigh(base, s.self.Name)
	for _, r := range s.table.sorted {
		if !r.Live() || r.Name == s.self.Name || !s.within(r, scope) {
			continue
		}
		weight := weigh(base, r.Name)
		ahead := weight > own || weight == own && r.Name < s.self.Name
		if ahead && s.reachable(now, r) {
			return false
		}
	}
	return s.self.Live()
}
