package budgetrpc

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// Shards is the number of leases that the upstreams of one data centre are
	// divided among. More of them cost each node more messages, fewer cost the
	// keepers more.
	Shards = 12
	// RateShards is the number of leases that the rates of one region are divided
	// among.
	RateShards = 4
)

// Lease is one row of the platform's table that says who keeps some resources.
type Lease struct {
	// Scope names the data centre or region that its holder is chosen from.
	Scope string
	Shard int
}

// Row is the key of the lease's row.
func (l Lease) Row() string {
	return "budgets/" + l.Scope + "/" + strconv.Itoa(l.Shard)
}

// UpstreamLease returns the lease of an upstream.
func UpstreamLease(scope, upstream string) Lease {
	return Lease{Scope: scope, Shard: int(xxhash.Sum64String(upstream) % Shards)}
}

// RateLease returns the lease of an organisation's rate.
func RateLease(scope, rate string) Lease {
	return Lease{Scope: scope, Shard: int(xxhash.Sum64String(rate) % RateShards)}
}

// Assign returns the holder of each shard of a scope among nodes, as an index
// into them, by rendezvous hashing. No node keeps a second shard before every
// node keeps one. Without nodes it returns nil.
func Assign(scope string, nodes []string) []int {
	if len(nodes) == 0 {
		return nil
	}
	owners := make([]int, Shards)
	kept := make([]int, len(nodes))
	for shard := range owners {
		owners[shard] = heaviest(scope, shard, nodes, kept)
		kept[owners[shard]]++
	}
	return owners
}

// heaviest returns the node of the highest weight among those that keep least.
func heaviest(scope string, shard int, nodes []string, kept []int) int {
	best, bestWeight := -1, uint64(0)
	for i, node := range nodes {
		if best >= 0 && kept[i] > kept[best] {
			continue
		}
		weight := xxhash.Sum64String(scope + "/" + strconv.Itoa(shard) + "/" + node)
		if best < 0 || kept[i] < kept[best] || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}
