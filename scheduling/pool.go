package scheduling

import (
	"cmp"
	"slices"

	"github.com/wigeontiller/wigeontiller/scheduling/estimation"
	"github.com/wigeontiller/wigeontiller/scheduling/fairqueue"
	"github.com/wigeontiller/wigeontiller/tables"
)

// poolKey identifies the requests that can run on the same upstreams.
type poolKey struct {
	environment string
	lane        tables.Lane
	model       string
	service     string
}

func (k poolKey) compare(other poolKey) int {
	return cmp.Or(
		cmp.Compare(k.environment, other.environment),
		cmp.Compare(k.lane, other.lane),
		cmp.Compare(k.model, other.model),
		cmp.Compare(k.service, other.service),
	)
}

func poolKeyOf(r *Request) poolKey {
	return poolKey{r.Plan.Environment, r.Plan.Lane, r.Model, r.Service}
}

// pool is a queue and the upstreams that serve it.
type pool struct {
	key poolKey
	// plan is the plan in force.
	plan       *tables.Plan
	queue      *fairqueue.Queue[*waitingRequest]
	throughput estimation.Throughput
	// local holds the upstreams of this node's data centre, remote all others.
	local, remote memberSet
	// inServiceCount and maxKVTokens are the number of upstreams in service and the
	// largest engine memory among them.
	inServiceCount, maxKVTokens int
	// heldUpstream is held free of other requests for the long prompt
	// heldForRequestID, which was overtaken too often.
	heldUpstream     *upstreamState
	heldForRequestID string
	// groupHeldUpstreams are the engines held for the prompt groupRequestID, which
	// needs several.
	groupHeldUpstreams []*upstreamState
	groupRequestID     string
	// groupBacklog is the cost in tokens of the waiting prompts that need several
	// engines.
	groupBacklog float64
	running      int
	// lastShortNanos is when a short prompt was last submitted, in Unix nanoseconds.
	lastShortNanos int64
}

func newPool(key poolKey) *pool {
	return &pool{key: key, queue: fairqueue.New[*waitingRequest]()}
}

// memberSet is the upstreams of a pool that are in the local data centre, or
// those that are not.
type memberSet struct {
	// all is ordered by hash.
	all  []*member
	free []*member
	// preferred is the subset that this node prefers for short prompts.
	preferred []*member
}

func (set *memberSet) sort() {
	slices.SortFunc(set.all, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.state.hash, b.state.hash), cmp.Compare(a.state.upstream.ID, b.state.upstream.ID))
	})
}

func (set *memberSet) setFree(m *member, isFree bool) {
	if isFree == (m.freeIndex >= 0) {
		return
	}
	if isFree {
		m.freeIndex = len(set.free)
		set.free = append(set.free, m)
		return
	}
	last := set.free[len(set.free)-1]
	set.free[m.freeIndex] = last
	last.freeIndex = m.freeIndex
	set.free = set.free[:len(set.free)-1]
	m.freeIndex = -1
}

// firstAtOrAfter returns the index of the first member whose hash is not below
// the given one, or the number of members.
func (set *memberSet) firstAtOrAfter(hash uint64) int {
	at, _ := slices.BinarySearchFunc(set.all, hash, func(m *member, h uint64) int { return cmp.Compare(m.state.hash, h) })
	return at
}
