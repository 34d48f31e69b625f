package loadshare

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// nodeHash identifies a node in messages.
func nodeHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// rankByZone returns, by zone, its nodes in the order in which they become its relay: machines
// with more capacity first, and equal ones in a pseudo-random order.
func rankByZone(nodes []Node) map[string][]Node {
	zones := map[string][]Node{}
	for _, node := range nodes {
		zones[node.Zone] = append(zones[node.Zone], node)
	}
	for _, members := range zones {
		slices.SortFunc(members, compareRank)
	}
	return zones
}

func compareRank(a, b Node) int {
	if a.Capacity != b.Capacity {
		return cmp.Compare(b.Capacity, a.Capacity)
	}
	return cmp.Or(cmp.Compare(nodeHash(a.Name), nodeHash(b.Name)), cmp.Compare(a.Name, b.Name))
}

// rankOf returns the index of a node, or the number of nodes if it is not among them.
func rankOf(nodes []Node, name string) int {
	if i := slices.IndexFunc(nodes, func(n Node) bool { return n.Name == name }); i >= 0 {
		return i
	}
	return len(nodes)
}
