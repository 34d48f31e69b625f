package budgetrpc

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of keepers that the resources of one data centre are
// divided among. More of them cost each node more messages, fewer cost the
// keepers more.
const Shards = 16

// BallotShards is the number of keepers that the rates of one region are divided
// among. Every node of the region votes on each.
const BallotShards = 4

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

// Role names the role of the keeper of a resource. The live member of the
// scope, a data centre or a region, that owns the role keeps the resource.
func Role(scope, resource string) string {
	shard := xxhash.Sum64String(resource) % Shards
	return "budget/" + scope + "/" + strconv.FormatUint(shard, 10)
}
