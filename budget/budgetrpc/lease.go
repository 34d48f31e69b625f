package budgetrpc

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// UpstreamShards is the number of leases among which the upstreams of one
	// data centre are divided. More leases cost each node more messages; fewer
	// cost the allocators more.
	UpstreamShards = 12
	// RateShards is the number of leases among which the rates of one region
	// are divided.
	RateShards = 4
)

// Lease identifies one row of the platform's table that names the allocator of
// some resources.
type Lease struct {
	// Scope names the data centre or region from which the holder is chosen.
	Scope string
	Shard int
}

// RowKey returns the key of the lease's row.
func (l Lease) RowKey() string {
	return "budgets/" + l.Scope + "/" + strconv.Itoa(l.Shard)
}

// UpstreamLease returns the lease of an upstream.
func UpstreamLease(scope, upstream string) Lease {
	return Lease{Scope: scope, Shard: int(xxhash.Sum64String(upstream) % UpstreamShards)}
}

// RateLease returns the lease of an organisation's rate.
func RateLease(scope, rate string) Lease {
	return Lease{Scope: scope, Shard: int(xxhash.Sum64String(rate) % RateShards)}
}

// AssignShards returns the holder of each shard of a scope among nodes, as an
// index into them, by rendezvous hashing. No node gets a second shard before
// every node has one. Without nodes it returns nil.
func AssignShards(scope string, nodes []string) []int {
	if len(nodes) == 0 {
		return nil
	}
	owners := make([]int, UpstreamShards)
	assigned := make([]int, len(nodes))
	for shard := range owners {
		owners[shard] = highestWeight(scope, shard, nodes, assigned)
		assigned[owners[shard]]++
	}
	return owners
}

// highestWeight returns the node of the highest weight among those with the
// fewest shards.
func highestWeight(scope string, shard int, nodes []string, assigned []int) int {
	best, bestWeight := -1, uint64(0)
	for i, node := range nodes {
		if best >= 0 && assigned[i] > assigned[best] {
			continue
		}
		weight := xxhash.Sum64String(scope + "/" + strconv.Itoa(shard) + "/" + node)
		if best < 0 || assigned[i] < assigned[best] || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}
