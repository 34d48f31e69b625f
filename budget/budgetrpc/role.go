package budgetrpc

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// Shards is the number of keepers that the upstreams of one data centre are
	// divided among. More of them cost each node more messages, fewer cost the
	// keepers more.
	Shards = 12
	// BallotShards is the number of keepers that the rates of one region are
	// divided among. Every node of the region votes on each.
	BallotShards = 4
)

// Ballot names the resource that holds the pledges for a rate of a region, and
// that its keeper is chosen by.
func Ballot(region, rate string) string {
	return ballotName(region, xxhash.Sum64String(rate)%BallotShards)
}

// Ballots names all ballots of a region.
func Ballots(region string) []string {
	var names []string
	for shard := range uint64(BallotShards) {
		names = append(names, ballotName(region, shard))
	}
	return names
}

func ballotName(region string, shard uint64) string {
	return "ballot/" + region + "/" + strconv.FormatUint(shard, 10)
}

// ShardOf returns the shard of a resource.
func ShardOf(resource string) int {
	return int(xxhash.Sum64String(resource) % Shards)
}

// Assign returns the keeper of each shard of a scope among nodes, as an index
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
