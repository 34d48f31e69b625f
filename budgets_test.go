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

func TestSharedResources(t *testing.T) {
	is := is.New(t)
	document := &environment.Document{Organisations: []environment.Organisation{
		{Name: "limited", TokensPerSecond: 1000}, {Name: "free"},
	}}
	built := &tables.Tables{
		Plans: []*tables.Plan{{Environment: "works", Lane: tables.Production, Document: document}},
		Upstreams: map[string]*tables.Upstream{"engine": {
			ID: "engine", DataCentre: "c", Slots: 64, KVTokens: 1000,
			Ramp: environment.Ramp{InitialPercent: 10, Duration: time.Minute},
		}},
	}
	upstreams := sharedUpstreams(built, "a")
	is.Equal(len(upstreams), 1)
	is.Equal(upstreams[0].Capacity, budget.Amount{Slots: 64, KVTokens: 1000})
	is.Equal(upstreams[0].Interest, budget.Interest{})
	is.Equal(upstreams[0].Lease, budgetrpc.UpstreamLease("data-centre/c", "engine"))
	rates, parts := sharedRates(built, "north", 5)
	key := scheduling.OrganisationKey("works", tables.Production, "limited")
	is.Equal(parts, map[string]ratePart{key: {always: 20, standby: 200}})
	is.Equal(len(rates), 1)
	is.Equal(rates[0].Capacity.Slots+5*20, 1000) // shares and unkept parts are the whole rate
	is.Equal(rates[0].Name, organisationPrefix+key)
	is.Equal(rates[0].Lease, budgetrpc.RateLease("region/north", key))
}

// A data centre's leases are held by its own nodes, if it has any.
func TestLeaseHoldersAreOfTheDataCentre(t *testing.T) {
	is := is.New(t)
	members := budgetMembers{twoNodes{}}
	is.Equal(members.Live("data-centre/b"), []budgetrpc.Peer{{Name: "vm-b"}})
	is.Equal(len(members.Live("data-centre/without")), 2)
	is.Equal(members.Live("region/north"), []budgetrpc.Peer{{Name: "vm-a"}})
}

type twoNodes struct{ site }

func (twoNodes) live() []liveNode {
	return []liveNode{
		{name: "vm-a", dataCentre: "a", region: "north"},
		{name: "vm-b", dataCentre: "b", region: "south"},
	}
}

func TestBudgetWorkAveragesRates(t *testing.T) {
	is := is.New(t)
	d := dispatch.New(scheduling.New("a"))
	made := newBudgetWork(d)
	work := &made
	work.parts = map[string]ratePart{"k": {always: 20, standby: 200}}
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		work.average(now, map[string]float64{"k": 50}) // 500 tokens a second
	}
	is.True(work.wanted["k"] > 480 && work.wanted["k"] < 540)
	is.Equal(len(work.Demands()), 0+len(work.wanted))
	work.SetShares(map[string]budget.Share{
		organisationPrefix + "k": {Amount: budget.Amount{Slots: 700}},
	})
	is.Equal(work.rates["k"], 700.0)
	work.SetShares(nil)
	is.Equal(work.rates["k"], 20.0) // the part without a share
}

// A rate that is asked for in vain for longer than a lease is used in even parts
// until a keeper divides it again.
func TestRateWithoutKeeperIsUsedInEvenParts(t *testing.T) {
	is := is.New(t)
	work := newBudgetWork(dispatch.New(scheduling.New("a")))
	work.parts = map[string]ratePart{"k": {always: 20, standby: 200}}
	start := time.Unix(1000, 0)
	at := func(age time.Duration, wanted bool, shares map[string]budget.Share) float64 {
		delete(work.wanted, "k")
		if wanted {
			work.wanted["k"] = 50
		}
		return work.unshared(start.Add(age), shares)["k"]
	}
	is.Equal(at(0, true, nil), 20.0)
	is.Equal(at(rateStandbyDelay-1, true, nil), 20.0)
	is.Equal(at(rateStandbyDelay, true, nil), 200.0)
	is.Equal(at(time.Hour, false, nil), 200.0) // nothing says that there is a keeper
	is.Equal(at(2*time.Hour, true, nil), 200.0)
	is.Equal(at(2*time.Hour, true, map[string]budget.Share{organisationPrefix + "k": {}}), 20.0)
	is.Equal(at(3*time.Hour, true, nil), 20.0)
	is.Equal(at(3*time.Hour+rateStandbyDelay-1, false, nil), 20.0) // not asked for all the time
	is.Equal(at(3*time.Hour+rateStandbyDelay, true, nil), 20.0)
}

// oneNode is a site of this node alone.
type oneNode struct {
	address netip.AddrPort
}

func (o oneNode) live() []liveNode {
	return []liveNode{{name: "vm", dataCentre: "a", region: "north", address: o.address}}
}

func (o oneNode) dial(ctx context.Context, address netip.AddrPort) drpc.Conn {
	plain, err := new(net.Dialer).DialContext(ctx, "tcp", address.String())
	if err != nil {
		plain, _ = net.Pipe()
		_ = plain.Close()
	}
	return drpcconn.New(plain)
}

// TestNodeKeepsAndUsesItsUpstream runs the budgets of a site with one node over
// loopback until its dispatcher may use the upstream.
func TestNodeKeepsAndUsesItsUpstream(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	d := dispatch.New(scheduling.New("a"))
	d.Configure(&tables.Tables{Upstreams: map[string]*tables.Upstream{
		"engine": {ID: "engine", DataCentre: "a", Slots: 64, KVTokens: 64_000},
	}})
	s := &settings.Settings{Name: "vm", DataCentre: "a", Region: "north"}
	nodes := oneNode{netip.MustParseAddrPort(listener.Addr().String())}
	b := newBudgets(s, "vm/7", memory.New(), d, nodes, zerolog.Nop())
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
