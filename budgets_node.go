package wigeontiller

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc"

	"github.com/wigeontiller/wigeontiller/budget"
	"github.com/wigeontiller/wigeontiller/budget/budgetrpc"
	"github.com/wigeontiller/wigeontiller/dispatch"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/settings"
	"github.com/wigeontiller/wigeontiller/tables"
)

// budgets is the node's part in sharing upstreams and rates with other nodes.
type budgets struct {
	dispatcher *dispatch.Dispatcher
	electorate electorate
	work       budgetWork
	node       *budgetrpc.Node
	// built are the tables that the resources are from.
	built *tables.Tables
}

// liveNode is an entry node of the site that lives.
type liveNode struct {
	name, dataCentre, region string
	address                  netip.AddrPort
	// started is when its process started, in Unix milliseconds.
	started uint64
}

// site lets budgets see the other nodes and call them.
type site interface {
	// live returns the live nodes of all regions, sorted by name, the node itself
	// included.
	live() []liveNode
	// startedAt is when this node's process started, as others see it in live.
	startedAt() uint64
	dial(ctx context.Context, address netip.AddrPort) drpc.Conn
}

// newBudgets returns nil when the settings hold no entry_nodes.
func newBudgets(s *settings.Settings, d *dispatch.Dispatcher, nodes site, logger zerolog.Logger) *budgets {
	if s.EntryNodes == nil {
		return nil
	}
	b := &budgets{
		dispatcher: d,
		electorate: electorate{dataCentre: s.DataCentre, region: s.Region, nodes: s.EntryNodes},
		work:       budgetWork{dispatcher: d, wanted: map[string]float64{}, looked: time.Now()},
	}
	b.node = budgetrpc.NewNode(budgetrpc.Config{
		Process: processName(s.Name, nodes.startedAt()),
		Timing:  budget.DefaultTiming(),
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
	if built := b.dispatcher.Tables(); built != nil && built != b.built {
		b.configure(built)
	}
	for _, id := range b.dispatcher.TakeColdStarts() {
		b.node.ColdStart(id)
	}
	return b.work.Demands()
}

// SetShares implements budgetrpc.Work.
func (b *budgets) SetShares(shares map[string]budget.Share) {
	b.work.SetShares(shares)
}

// configure takes in new tables. An upstream that came back is ramped.
func (b *budgets) configure(built *tables.Tables) {
	shared := sharedUpstreams(built, b.electorate)
	rates, unkept := sharedRates(built, b.electorate.region, b.electorate.inRegion(b.electorate.region))
	b.work.unkept = unkept
	b.node.Configure(append(shared, rates...))
	for id, upstream := range built.Upstreams {
		if b.built != nil && b.built.Upstreams[id] != nil && b.built.Upstreams[id].Out && !upstream.Out {
			b.node.ColdStart(id)
		}
	}
	b.built = built
}

// budgetMembers lets budgets see the other nodes.
type budgetMembers struct {
	nodes site
}

// Live implements budgetrpc.Members.
func (m budgetMembers) Live(scope string) []budgetrpc.Peer {
	var peers []budgetrpc.Peer
	for _, member := range m.nodes.live() {
		if scope == dataCentreScope(member.dataCentre) || scope == regionScope(member.region) {
			peers = append(peers, budgetrpc.Peer{Name: member.name, Address: member.address})
		}
	}
	return peers
}

// Processes implements budgetrpc.Members.
func (m budgetMembers) Processes() []string {
	var processes []string
	for _, member := range m.nodes.live() {
		processes = append(processes, processName(member.name, member.started))
	}
	return processes
}

func processName(vm string, started uint64) string {
	return fmt.Sprintf("%s/%x", vm, started)
}
