package exchange

import (
	"math/rand/v2"
	"strconv"
	"sync/atomic"
)

// keySource makes the keys of what the node holds for requests: placements, reservations at engines, requests
// at other nodes. A caller's ID is no key, as several requests may bear the same. Keys are unique over all
// nodes and over restarts, since engines and nodes may outlive the process that made them.
type keySource struct {
	process string
	count   atomic.Uint64
}

// keyBase is the base of the numbers in a key. A key has only letters, digits and hyphens, as engines list keys.
const keyBase = 36

func newKeySource() *keySource {
	return &keySource{process: strconv.FormatUint(rand.Uint64(), keyBase)}
}

func (s *keySource) next() string {
	return s.process + "-" + strconv.FormatUint(s.count.Add(1), keyBase)
}
