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

// budgets is the node's part in sharing upstreams and rates with other nodes.
type budgets struct {
	dispatcher *dispatch.Dispatcher
	dataCentre string
	region     string
	work       budgetWork
	node       *budgetrpc.Node
	nodes      site
	// built are the tables that the resources are from.
	built *tables.Tables
	// ready has the node's readiness, as far as it depends on shares.
	ready firstShares
	// most is the most nodes of the region that were ever seen at once: a node
	// that is cut off must not take the others' part of a rate.
	most int
}

// liveNode is an entry node of the site that lives.
type liveNode struct {
	name, dataCentre, region string
	address                  netip.AddrPort
}

// site lets budgets see the other nodes and call them.
type site interface {
	// live returns the live nodes of all regions, sorted by name, the node itself
	// included.
	live() []liveNode
	dial(ctx context.Context, address netip.AddrPort) drpc.Conn
}

func newBudgets(s *settings.Settings, process string, table storage.Table, d *dispatch.Dispatcher, nodes site, logger zerolog.Logger) *budgets {
	b := &budgets{
		dispatcher: d,
		dataCentre: s.DataCentre,
		region:     s.Region,
		work:       newBudgetWork(d),
		nodes:      nodes,
		most:       max(len(s.Seeds), 1),
	}
	b.node = budgetrpc.NewNode(budgetrpc.Config{
		Name:    s.Name,
		Process: process,
		Timing:  budget.DefaultTiming(),
		Table:   table,
		Members: budgetMembers{nodes},
		Work:    b,
		Dial:    nodes.dial,
		Logger:  logger,
	})
	return b
}

// register adds the service to the peer server.
func (b *budgets) register(mux drpc.Mux) error {
	return budgetrpc.DRPCRegisterBudget(mux, b.node)
}

// run shares upstreams until the context ends. Without a share nothing starts.
func (b *budgets) run(ctx context.Context) {
	b.dispatcher.SetFallback(func(string) scheduling.Share { return scheduling.Share{} })
	b.node.Run(ctx)
}

// Demands implements budgetrpc.Work.
func (b *budgets) Demands() map[string]budget.Demand {
	seen := b.seeNodes()
	if built := b.dispatcher.Tables(); built != nil && (built != b.built || seen) {
		b.configure(built)
	}
	for _, id := range b.dispatcher.TakeColdStarts() {
		b.node.ColdStart(id)
	}
	return b.work.Demands()
}

// seeNodes counts the region's nodes and reports whether there are more of them
// than ever.
func (b *budgets) seeNodes() bool {
	nodes := 0
	for _, node := range b.nodes.live() {
		if node.region == b.region {
			nodes++
		}
	}
	grown := nodes > b.most
	b.most = max(b.most, nodes)
	return grown
}

// SetShares implements budgetrpc.Work.
func (b *budgets) SetShares(shares map[string]budget.Share) {
	b.work.SetShares(shares)
	b.ready.set(shares)
}

// configure takes in new tables. An upstream that came back is ramped.
func (b *budgets) configure(built *tables.Tables) {
	shared := sharedUpstreams(built, b.dataCentre)
	rates, parts := sharedRates(built, b.region, b.most)
	b.work.parts = parts
	b.node.Configure(append(shared, rates...))
	for id, upstream := range built.Upstreams {
		if b.built != nil && b.built.Upstreams[id] != nil && b.built.Upstreams[id].Out && !upstream.Out {
			b.node.ColdStart(id)
		}
	}
	b.built = built
	b.ready.configure(time.Now(), built)
}

// settled reports whether the node has had its first shares, or has waited for
// them long enough.
func (b *budgets) settled(now time.Time) bool {
	return b.ready.settled(now)
}

// status counts the upstreams by the node's share.
func (b *budgets) status() admin.Shares {
	return b.ready.status()
}

// budgetMembers lets budgets see the other nodes.
type budgetMembers struct {
	nodes site
}

// Live implements budgetrpc.Members. The leases of a data centre or region
// without a live entry node fall to all nodes.
func (m budgetMembers) Live(scope string) []budgetrpc.Peer {
	var own, all []budgetrpc.Peer
	for _, member := range m.nodes.live() {
		peer := budgetrpc.Peer{Name: member.name, Address: member.address}
		all = append(all, peer)
		if scope == dataCentreScope(member.dataCentre) || scope == regionScope(member.region) {
			own = append(own, peer)
		}
	}
	if len(own) == 0 {
		return all
	}
	return own
}
