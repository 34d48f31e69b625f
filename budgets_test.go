package wigeontiller

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wigeontiller/wigeontiller/budget"
	"github.com/wigeontiller/wigeontiller/budget/budgetrpc"
	"github.com/wigeontiller/wigeontiller/dispatch"
	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/settings"
	"github.com/wigeontiller/wigeontiller/storage/memory"
	"github.com/wigeontiller/wigeontiller/tables"
)

func TestTablesBecomeSharedResources(t *testing.T) {
	is := is.New(t)
	document := &environment.Document{Organisations: []environment.Organisation{
		{Name: "limited", TokensPerSecond: 1000}, {Name: "free"},
	}}
	current := &tables.Tables{
		Plans: []*tables.Plan{{Environment: "works", Lane: tables.Production, Document: document}},
		Upstreams: map[string]*tables.Upstream{"engine": {
			ID: "engine", DataCentre: "c", Slots: 64, KVTokens: 1000,
			Ramp: environment.Ramp{InitialPercent: 10, Duration: time.Minute},
		}},
	}
	upstreams := sharedUpstreams(current, "a")
	is.Equal(len(upstreams), 1)
	is.Equal(upstreams[0].Capacity, budget.Amount{Slots: 64, KVTokens: 1000})
	is.Equal(upstreams[0].Interest, budget.Interest{})
	is.Equal(upstreams[0].Lease, budgetrpc.UpstreamLease("data-centre/c", "engine"))
	rates, allowances := sharedRates(current, "north", 5)
	key := scheduling.OrganisationKey("works", tables.Production, "limited")
	is.Equal(allowances, map[string]rateAllowance{key: {always: 20, standby: 200}})
	is.Equal(len(rates), 1)
	is.Equal(rates[0].Capacity.Slots+5*20, 1000) // shares and evenly divided parts add up to the whole rate
	is.Equal(rates[0].Name, organisationPrefix+key)
	is.Equal(rates[0].Lease, budgetrpc.RateLease("region/north", key))
}

// A data centre's leases are held by its own live nodes, if it has any.
func TestLeaseCandidatesAreNodesOfScope(t *testing.T) {
	is := is.New(t)
	members := budgetMembers{twoNodeDirectory{}}
	is.Equal(members.Live("data-centre/b"), []budgetrpc.Peer{{Name: "vm-b"}})
	is.Equal(len(members.Live("data-centre/without")), 2)
	is.Equal(members.Live("region/north"), []budgetrpc.Peer{{Name: "vm-a"}})
}

type twoNodeDirectory struct{ nodeDirectory }

func (twoNodeDirectory) liveNodes() []liveNode {
	return []liveNode{
		{name: "vm-a", dataCentre: "a", region: "north"},
		{name: "vm-b", dataCentre: "b", region: "south"},
	}
}

func TestBudgetAdapterAveragesDemandedRates(t *testing.T) {
	is := is.New(t)
	d := dispatch.New(scheduling.New("a"))
	value := newBudgetAdapter(d)
	adapter := &value
	adapter.allowances = map[string]rateAllowance{"k": {always: 20, standby: 200}}
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		adapter.updateDemandedRates(now, map[string]float64{"k": 50}) // 500 tokens per second
	}
	is.True(adapter.demandedRates["k"] > 480 && adapter.demandedRates["k"] < 540)
	is.Equal(len(adapter.Demands()), 0+len(adapter.demandedRates))
	adapter.SetShares(map[string]budget.Share{
		organisationPrefix + "k": {Amount: budget.Amount{Slots: 700}},
	})
	is.Equal(adapter.appliedRates["k"], 700.0)
	adapter.SetShares(nil)
	is.Equal(adapter.appliedRates["k"], 20.0) // the allowance without a share
}

// If demand for a rate gets no share for longer than a lease lasts, each node uses
// an even part of the rate until an allocator divides it again.
func TestRateWithoutAllocatorIsDividedEvenly(t *testing.T) {
	is := is.New(t)
	adapter := newBudgetAdapter(dispatch.New(scheduling.New("a")))
	adapter.allowances = map[string]rateAllowance{"k": {always: 20, standby: 200}}
	start := time.Unix(1000, 0)
	at := func(age time.Duration, wanted bool, shares map[string]budget.Share) float64 {
		delete(adapter.demandedRates, "k")
		if wanted {
			adapter.demandedRates["k"] = 50
		}
		return adapter.ratesWithoutShare(start.Add(age), shares)["k"]
	}
	is.Equal(at(0, true, nil), 20.0)
	is.Equal(at(rateStandbyDelay-1, true, nil), 20.0)
	is.Equal(at(rateStandbyDelay, true, nil), 200.0)
	is.Equal(at(time.Hour, false, nil), 200.0) // no sign of an allocator yet
	is.Equal(at(2*time.Hour, true, nil), 200.0)
	is.Equal(at(2*time.Hour, true, map[string]budget.Share{organisationPrefix + "k": {}}), 20.0)
	is.Equal(at(3*time.Hour, true, nil), 20.0)
	is.Equal(at(3*time.Hour+rateStandbyDelay-1, false, nil), 20.0) // demand was interrupted
	is.Equal(at(3*time.Hour+rateStandbyDelay, true, nil), 20.0)
}

// singleNodeDirectory is a directory of this node alone.
type singleNodeDirectory struct {
	address netip.AddrPort
}

func (o singleNodeDirectory) liveNodes() []liveNode {
	return []liveNode{{name: "vm", dataCentre: "a", region: "north", address: o.address}}
}

func (o singleNodeDirectory) dial(ctx context.Context, address netip.AddrPort) drpc.Conn {
	plain, err := new(net.Dialer).DialContext(ctx, "tcp", address.String())
	if err != nil {
		plain, _ = net.Pipe()
		_ = plain.Close()
	}
	return drpcconn.New(plain)
}

// TestSingleNodeIsGrantedWholeUpstream runs a single node over loopback until it has
// granted itself a share of all slots of its upstream.
func TestSingleNodeIsGrantedWholeUpstream(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	d := dispatch.New(scheduling.New("a"))
	d.Configure(&tables.Tables{Upstreams: map[string]*tables.Upstream{
		"engine": {ID: "engine", DataCentre: "a", Slots: 64, KVTokens: 64_000},
	}})
	s := &settings.Settings{Name: "vm", DataCentre: "a", Region: "north"}
	nodes := singleNodeDirectory{netip.MustParseAddrPort(listener.Addr().String())}
	b := newBudgetController(s, "vm/7", memory.New(), d, nodes, zerolog.Nop())
	mux := drpcmux.New()
	is.NoErr(b.register(mux))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { _ = drpcserver.New(mux).Serve(ctx, listener); done <- struct{}{} }()
	go func() { b.run(ctx); done <- struct{}{} }()
	granted := func() bool { return b.node.Shares()["engine"].Slots == 64 }
	for end := time.Now().Add(30 * time.Second); !granted() && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	is.True(granted())
	stop()
	<-done
	<-done
}
