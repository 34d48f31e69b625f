package budgetrpc

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of keepers that the resources of one data centre are
// divided among. More of them cost each node more messages, fewer cost the
// keepers more.
const Shards = 16

// Role names the role of the keeper of a resource. The live member of the
// scope, a data centre or a region, that owns the role keeps the resource.
func Role(scope, resource string) string {
	shard := xxhash.Sum64String(resource) % Shards
	return "budget/" + scope + "/" + strconv.FormatUint(shard, 10)
}
