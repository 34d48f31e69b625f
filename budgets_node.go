package wigeontiller

import (
	"context"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc"

	"github.com/wigeontiller/wigeontiller/admin"
	"github.com/wigeontiller/wigeontiller/budget"
	"github.com/wigeontiller/wigeontiller/budget/budgetrpc"
	"github.com/wigeontiller/wigeontiller/dispatch"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/settings"
	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/tables"
)

// budgetController shares the limits of upstreams and rates with other nodes.
type budgetController struct {
	dispatcher *dispatch.Dispatcher
	dataCentre string
	region     string
	adapter    budgetAdapter
	node       *budgetrpc.Node
	nodes      nodeDirectory
	// tables are the tables that the resources were last configured from.
	tables *tables.Tables
	// firstShares tracks whether the node is ready as far as shares are concerned.
	firstShares firstShares
	// maxNodes is the largest number of live nodes of the region seen at once: a node
	// that is cut off must not use the other nodes' part of a rate.
	maxNodes int
}

// liveNode is a live entry node.
type liveNode struct {
	name, dataCentre, region string
	address                  netip.AddrPort
}

// nodeDirectory lists the live entry nodes and opens connections to them.
type nodeDirectory interface {
	// liveNodes returns the live nodes of all regions, including this node, sorted
	// by name.
	liveNodes() []liveNode
	dial(ctx context.Context, address netip.AddrPort) drpc.Conn
}

func newBudgetController(s *settings.Settings, process string, table storage.Table, d *dispatch.Dispatcher, nodes nodeDirectory, logger zerolog.Logger) *budgetController {
	b := &budgetController{
		dispatcher: d,
		dataCentre: s.DataCentre,
		region:     s.Region,
		adapter:    newBudgetAdapter(d),
		nodes:      nodes,
		maxNodes:   max(len(s.Seeds), 1),
	}
	b.node = budgetrpc.NewNode(budgetrpc.Config{
		Name:     s.Name,
		Process:  process,
		Timing:   budget.DefaultTiming(),
		Table:    table,
		Members:  budgetMembers{nodes},
		Workload: b,
		Dial:     nodes.dial,
		Logger:   logger,
	})
	return b
}

// register adds the service to the peer server.
func (b *budgetController) register(mux drpc.Mux) error {
	return budgetrpc.DRPCRegisterBudget(mux, b.node)
}

// run shares upstreams until the context ends. Without a share no request is sent to
// an upstream.
func (b *budgetController) run(ctx context.Context) {
	b.dispatcher.SetFallback(func(string) scheduling.Share { return scheduling.Share{} })
	b.node.Run(ctx)
}

// Demands implements budgetrpc.Workload.
func (b *budgetController) Demands() map[string]budget.Demand {
	grown := b.updateMaxNodes()
	if current := b.dispatcher.Tables(); current != nil && (current != b.tables || grown) {
		b.configure(current)
	}
	for _, id := range b.dispatcher.TakeColdStarts() {
		b.node.ColdStart(id)
	}
	return b.adapter.Demands()
}

// updateMaxNodes counts the region's live nodes and reports whether there are more
// than ever before.
func (b *budgetController) updateMaxNodes() bool {
	nodes := 0
	for _, node := range b.nodes.liveNodes() {
		if node.region == b.region {
			nodes++
		}
	}
	grown := nodes > b.maxNodes
	b.maxNodes = max(b.maxNodes, nodes)
	return grown
}

// SetShares implements budgetrpc.Workload.
func (b *budgetController) SetShares(shares map[string]budget.Share) {
	b.adapter.SetShares(shares)
	b.firstShares.set(shares)
}

// configure applies new tables. An upstream that returns to service starts cold.
func (b *budgetController) configure(current *tables.Tables) {
	shared := sharedUpstreams(current, b.dataCentre)
	rates, allowances := sharedRates(current, b.region, b.maxNodes)
	b.adapter.allowances = allowances
	b.node.Configure(append(shared, rates...))
	for id, upstream := range current.Upstreams {
		if b.tables != nil && b.tables.Upstreams[id] != nil && b.tables.Upstreams[id].OutOfService && !upstream.OutOfService {
			b.node.ColdStart(id)
		}
	}
	b.tables = current
	b.firstShares.configure(time.Now(), current)
}

// ready reports whether the node has received its first shares or has waited for
// them for firstShareTimeout.
func (b *budgetController) ready(now time.Time) bool {
	return b.firstShares.ready(now)
}

// status counts the upstreams by the node's share of them.
func (b *budgetController) status() admin.Shares {
	return b.firstShares.status()
}

// budgetMembers implements budgetrpc.Members.
type budgetMembers struct {
	nodes nodeDirectory
}

// Live returns the live nodes of the scope. If a data centre or region has no live
// entry node, all nodes are candidates for its leases.
func (m budgetMembers) Live(scope string) []budgetrpc.Peer {
	var inScope, all []budgetrpc.Peer
	for _, member := range m.nodes.liveNodes() {
		peer := budgetrpc.Peer{Name: member.name, Address: member.address}
		all = append(all, peer)
		if scope == dataCentreScope(member.dataCentre) || scope == regionScope(member.region) {
			inScope = append(inScope, peer)
		}
	}
	if len(inScope) == 0 {
		return all
	}
	return inScope
}
