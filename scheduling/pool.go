package scheduling

import (
	"cmp"
	"slices"

	"github.com/wigeontiller/wigeontiller/scheduling/estimation"
	"github.com/wigeontiller/wigeontiller/scheduling/fairqueue"
	"github.com/wigeontiller/wigeontiller/tables"
)

// poolKey names the requests that can run on the same upstreams.
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

func keyOf(r *Request) poolKey {
	return poolKey{r.Plan.Environment, r.Plan.Lane, r.Model, r.Service}
}

// pool is one queue with the upstreams that serve it.
type pool struct {
	key poolKey
	// plan is the plan in force.
	plan  *tables.Plan
	queue *fairqueue.Queue[*waiting]
	drain estimation.Throughput
	// local is the node's own data centre; remote is the rest.
	local, remote group
	// inService and maxKV describe the upstreams that are not out.
	inService, maxKV int
	// held is kept free of short prompts for the long one that waits longest.
	held    *upstreamState
	heldFor string
	// groupHeld is the engines kept for the prompt groupFor, which needs several.
	groupHeld []*upstreamState
	groupFor  string
	// groupBacklog is the cost of the waiting prompts that need several engines.
	groupBacklog float64
	running      int
	// lastShort is when a short prompt was last submitted, in nanoseconds.
	lastShort int64
}

func newPool(key poolKey) *pool {
	return &pool{key: key, queue: fairqueue.New[*waiting]()}
}

// group is the upstreams of a pool on one side of the links.
type group struct {
	// all is ordered by hash.
	all  []*member
	free []*member
	// home is the part of all that this node prefers for short prompts.
	home []*member
}

func (g *group) sort() {
	slices.SortFunc(g.all, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.state.hash, b.state.hash), cmp.Compare(a.state.upstream.ID, b.state.upstream.ID))
	})
}

func (g *group) setFree(m *member, isFree bool) {
	if isFree == (m.free >= 0) {
		return
	}
	if isFree {
		m.free = len(g.free)
		g.free = append(g.free, m)
		return
	}
	last := g.free[len(g.free)-1]
	g.free[m.free] = last
	last.free = m.free
	g.free = g.free[:len(g.free)-1]
	m.free = -1
}

// after returns the place of the first member at or after a hash on the ring.
func (g *group) after(hash uint64) int {
	at, _ := slices.BinarySearchFunc(g.all, hash, func(m *member, h uint64) int { return cmp.Compare(m.state.hash, h) })
	return at
}
