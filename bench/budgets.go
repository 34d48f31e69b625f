package bench

import (
	"time"

	"github.com/wigeontiller/wigeontiller/bench/policy"
	"github.com/wigeontiller/wigeontiller/budget"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
)

const (
	// shareInterval is how often a node reports its demand and takes its shares.
	shareInterval = 100 * time.Millisecond
	// warmUp is the time before the first arrival in which keepers form.
	warmUp = 15 * time.Second
	// The most of an upstream that one node may hold.
	nodeSlotsPercent = 50
	nodeKVPercent    = 100
)

// maxSharedNodes is the largest site whose keepers are run; a fleet's would take
// too long.
const maxSharedNodes = 9

// fewVoters is the number of nodes below which a data centre's upstreams are
// voted on by all nodes, as in a node.
const fewVoters = 5

// budgets divides the upstreams among the product's nodes. The first node of
// each data centre keeps its upstreams; the first of all keeps those of a data
// centre without nodes.
type budgets struct {
	site    *site
	clients map[*node]*budget.Client
	keepers map[*node]*budget.Keeper
	// keeperOf maps an upstream to its keeper.
	keeperOf map[string]*node
}

func (s *site) startBudgets(built *tables.Tables) {
	if s.config.Policy != policy.Product || len(s.nodes) > maxSharedNodes {
		return
	}
	b := &budgets{
		site:     s,
		clients:  map[*node]*budget.Client{},
		keepers:  map[*node]*budget.Keeper{},
		keeperOf: map[string]*node{},
	}
	resources := b.resources(built)
	var names []string
	for _, node := range s.nodes {
		names = append(names, node.name())
	}
	for _, node := range s.nodes {
		b.clients[node] = budget.NewClient(node.name(), budget.DefaultTiming(), s.now())
		b.clients[node].Configure(s.interests(built, node.dataCentre))
		b.keepers[node] = budget.NewKeeper(node.name(), budget.DefaultTiming(), s.now())
		b.keepers[node].Configure(resources)
		b.keepers[node].Know(s.now(), names)
	}
	s.budgets = b
	s.loop.After(0, b.round)
}

func (b *budgets) resources(built *tables.Tables) []budget.Resource {
	var resources []budget.Resource
	for _, upstream := range built.Plans[0].Upstreams {
		b.keeperOf[upstream.ID] = b.site.keeperFor(upstream.DataCentre)
		resources = append(resources, budget.Resource{
			Name:             upstream.ID,
			Capacity:         budget.Amount{Slots: upstream.Slots, KVTokens: upstream.KVTokens},
			Ramp:             budget.Ramp{InitialPercent: upstream.Ramp.InitialPercent, Duration: upstream.Ramp.Duration},
			Voters:           b.site.voters(upstream.DataCentre),
			NodeSlotsPercent: nodeSlotsPercent,
			NodeKVPercent:    nodeKVPercent,
			FallbackPercent:  upstream.Ramp.InitialPercent,
		})
	}
	return resources
}

func (s *site) keeperFor(dataCentre string) *node {
	for _, node := range s.nodes {
		if node.dataCentre == dataCentre {
			return node
		}
	}
	return s.nodes[0]
}

// nodesIn counts the nodes of a data centre.
func (s *site) nodesIn(dataCentre string) int {
	count := 0
	for _, node := range s.nodes {
		if node.dataCentre == dataCentre {
			count++
		}
	}
	return count
}

// voters is how many nodes vote on the keeper of a data centre's upstreams.
func (s *site) voters(dataCentre string) int {
	if count := s.nodesIn(dataCentre); count >= fewVoters {
		return count
	}
	return len(s.nodes)
}

func (s *site) interests(built *tables.Tables, dataCentre string) []budget.Interest {
	var interests []budget.Interest
	for _, upstream := range built.Plans[0].Upstreams {
		local := upstream.DataCentre == dataCentre
		voter := local || s.nodesIn(upstream.DataCentre) < fewVoters
		interests = append(interests, budget.Interest{Resource: upstream.ID, Voter: voter, Local: local})
	}
	return interests
}

// check asserts the bound on the sums of shares.
func (b *budgets) check() {
	for _, node := range b.site.nodes {
		if err := b.keepers[node].Check(); err != nil {
			b.site.breach("keeper of node %d: %v", node.number, err)
		}
	}
}

// round sends the reports that are due and applies each node's shares.
func (b *budgets) round() {
	for _, node := range b.site.nodes {
		b.report(node)
		b.apply(node)
	}
	if !b.site.finished {
		b.site.loop.After(shareInterval, b.round)
	}
}

func (b *budgets) report(from *node) {
	now, client := b.site.now(), b.clients[from]
	for _, id := range from.policy.TakeColdStarts() {
		client.ColdStart(now, id)
	}
	client.Observe(demands(from.policy.Demand(now)))
	due := client.Due(now, func(resource string) string { return b.keeperOf[resource].name() })
	for _, keeper := range b.site.nodes {
		if names := due[keeper.name()]; names != nil {
			report := client.Report(now, keeper.name(), names, nil)
			delay := b.site.delay(from.dataCentre, keeper.dataCentre)
			b.site.loop.After(delay, func() { b.answer(keeper, from, report) })
		}
	}
}

func (b *budgets) answer(keeper, to *node, report budget.Report) {
	answer, ok := b.keepers[keeper].Handle(b.site.now(), report)
	if !ok {
		return
	}
	b.site.loop.After(b.site.delay(keeper.dataCentre, to.dataCentre), func() {
		b.clients[to].Apply(b.site.now(), keeper.name(), answer)
		b.apply(to)
	})
}

func (b *budgets) apply(to *node) {
	shares := map[string]scheduling.Share{}
	for name, share := range b.clients[to].Shares(b.site.now()) {
		shares[name] = scheduling.Share{Slots: share.Slots, KVTokens: share.KVTokens, Expires: share.Expires}
	}
	to.policy.SetShares(b.site.now(), shares)
	to.handleAll(to.policy.Advance(b.site.now()))
}

func demands(held map[string]scheduling.Demand) map[string]budget.Demand {
	demands := map[string]budget.Demand{}
	for id, demand := range held {
		demands[id] = budget.Demand{
			Running: budget.Amount{Slots: demand.Running, KVTokens: demand.RunningKVTokens},
			Waiting: budget.Amount{Slots: demand.Waiting, KVTokens: demand.KVTokens - demand.RunningKVTokens},
			Next:    budget.Amount{Slots: min(demand.Waiting, 1), KVTokens: demand.NextKVTokens},
		}
	}
	return demands
}

// returned tells a node's budgets of upstreams that are back in service.
func (b *budgets) returned(to *node, before, built *tables.Tables) {
	for _, upstream := range built.Plans[0].Upstreams {
		if was := before.Upstreams[upstream.ID]; was != nil && was.Out && !upstream.Out {
			b.clients[to].ColdStart(b.site.now(), upstream.ID)
		}
	}
}
