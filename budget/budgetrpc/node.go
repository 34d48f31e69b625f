package budgetrpc

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"storj.io/drpc"

	"github.com/wigeontiller/wigeontiller/budget"
	"github.com/wigeontiller/wigeontiller/periodic"
	"github.com/wigeontiller/wigeontiller/storage"
)

const (
	// maxCalls bounds the reports that are on their way at once.
	maxCalls = 32
	// loopsPerInterval is how often in an interval the loop looks for due reports.
	loopsPerInterval = 5
	// expireInterval is how often a keeper forgets what can no longer be held.
	expireInterval = time.Minute
)

// Members tells which nodes live.
type Members interface {
	// Live returns the live nodes that the holders of a scope's leases are chosen
	// from, sorted by name.
	Live(scope string) []Peer
}

// Peer is a live node.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Work is what the node has running and waiting, and who may start it.
type Work interface {
	// Demands returns what runs and waits, by resource.
	Demands() map[string]budget.Demand
	// SetShares replaces what may run, by resource.
	SetShares(shares map[string]budget.Share)
}

// Dial returns a connection to a node; it is closed after one call.
type Dial func(ctx context.Context, address netip.AddrPort) drpc.Conn

// Shared is a resource with the lease that its keeper holds.
type Shared struct {
	budget.Resource
	budget.Interest
	Lease Lease
}

// Node is the budget part of one entry node: the keeper of the resources that
// others believe it keeps, and the client for all. It is safe for concurrent use.
type Node struct {
	DRPCBudgetUnimplementedServer
	name    string
	timing  budget.Timing
	table   storage.Table
	calls   conc.WaitGroup
	members Members
	work    Work
	dial    Dial
	logger  zerolog.Logger
	mutex   sync.Mutex
	keeper  *budget.Keeper
	client  *budget.Client
	names   Names
	// leases maps the key of a row to its lease, and resources a name to one.
	leases    map[string]Lease
	resources map[string]Lease
}

// Config holds what a node's budgets need.
type Config struct {
	// Name is the node's name among Members.
	Name string
	// Process is unique to the process.
	Process string
	Timing  budget.Timing
	// Table holds the leases' rows.
	Table   storage.Table
	Members Members
	Work    Work
	Dial    Dial
	Logger  zerolog.Logger
}

// NewNode returns a node without resources.
func NewNode(c Config) *Node {
	now := time.Now()
	return &Node{
		name:    c.Name,
		timing:  c.Timing,
		table:   c.Table,
		members: c.Members,
		work:    c.Work,
		dial:    c.Dial,
		logger:  c.Logger,
		keeper:  budget.NewKeeper(c.Process, c.Timing, now),
		client:  budget.NewClient(c.Process, c.Timing),
	}
}

// Configure replaces the resources.
func (n *Node) Configure(shared []Shared) {
	var names []string
	var resources []budget.Resource
	var interests []budget.Interest
	leases := map[string]Lease{}
	keptBy := map[string]Lease{}
	for _, s := range shared {
		names = append(names, s.Name)
		s.Resource.Lease = s.Lease.Row()
		resources = append(resources, s.Resource)
		s.Interest.Resource = s.Name
		s.Interest.Ramp = s.Resource.Ramp
		interests = append(interests, s.Interest)
		leases[s.Lease.Row()] = s.Lease
		keptBy[s.Name] = s.Lease
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.names = NewNames(names)
	n.leases = leases
	n.resources = keptBy
	n.keeper.Configure(resources)
	n.client.Configure(interests)
}

// ColdStart records that a resource has fallen back into its start.
func (n *Node) ColdStart(resource string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.client.ColdStart(time.Now(), resource)
}

// Released records that no upstream runs work of a dead node's process.
func (n *Node) Released(process string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.keeper.Released(time.Now(), process)
}

// Unheard returns the processes that may hold shares of this node's leases and
// were not heard of for a while, sorted.
func (n *Node) Unheard() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.keeper.Unheard(time.Now())
}

// Accounts returns the accounts of the resources that this node has kept.
func (n *Node) Accounts() map[string]budget.Account {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.keeper.Accounts(time.Now())
}

// Shares returns what this node may use now, by resource.
func (n *Node) Shares() map[string]budget.Share {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.client.Shares(time.Now())
}

// Report answers a node's report. It implements DRPCBudgetServer. Errors:
// ErrMalformed, ErrOvertaken.
func (n *Node) Report(_ context.Context, request *ReportRequest) (*ReportResponse, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	report, err := DecodeReport(request, n.names)
	if err != nil {
		return nil, err
	}
	answer, ok := n.keeper.Handle(time.Now(), report)
	if !ok {
		return nil, ErrOvertaken
	}
	return EncodeAnswer(answer, request.Keeper), nil
}

// Run reports to keepers until the context ends.
func (n *Node) Run(ctx context.Context) {
	defer n.calls.Wait()
	expired := time.Now()
	periodic.Run(ctx, n.timing.Interval/loopsPerInterval, func() {
		n.callTable(ctx)
		n.round(ctx)
		if time.Since(expired) > expireInterval {
			expired = time.Now()
			n.expire(expired)
		}
	})
}

func (n *Node) expire(now time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.keeper.Expire(now)
}

// call is one report with where it goes.
type call struct {
	keeper  string
	address netip.AddrPort
	report  budget.Report
}

// round sends the reports that are due and applies their answers.
func (n *Node) round(ctx context.Context) {
	demands := n.work.Demands()
	calls := n.due(time.Now(), demands)
	ctx, cancel := context.WithTimeout(ctx, n.timing.Interval)
	defer cancel()
	workers := pool.New().WithMaxGoroutines(maxCalls)
	for _, c := range calls {
		workers.Go(func() { n.exchange(ctx, c) })
	}
	workers.Wait()
	n.mutex.Lock()
	shares := n.client.Shares(time.Now())
	err := n.keeper.Check()
	n.mutex.Unlock()
	if err != nil {
		n.logger.Error().Err(err).Msg("budget bound broken")
	}
	n.work.SetShares(shares)
}

func (n *Node) due(now time.Time, demands map[string]budget.Demand) []call {
	owners := ownersOf(n.members)
	addresses := map[string]netip.AddrPort{}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.client.Observe(demands)
	due := n.client.Due(now, func(resource string) string {
		owner := owners(n.resources[resource])
		addresses[owner.Name] = owner.Address
		return owner.Name
	})
	var calls []call
	for keeper, resources := range due {
		report := n.client.Report(now, keeper, resources)
		calls = append(calls, call{keeper: keeper, address: addresses[keeper], report: report})
	}
	return calls
}

// ownersOf returns a function that finds the node that is to hold a lease, or
// the zero Peer. It looks each scope up once.
func ownersOf(members Members) func(Lease) Peer {
	scopes := map[string][]Peer{}
	return func(lease Lease) Peer {
		owners, ok := scopes[lease.Scope]
		if !ok {
			owners = shardOwners(lease.Scope, members.Live(lease.Scope))
			scopes[lease.Scope] = owners
		}
		if owners == nil {
			return Peer{}
		}
		return owners[lease.Shard]
	}
}

func shardOwners(scope string, live []Peer) []Peer {
	var names []string
	for _, peer := range live {
		names = append(names, peer.Name)
	}
	var owners []Peer
	for _, at := range Assign(scope, names) {
		owners = append(owners, live[at])
	}
	return owners
}

func (n *Node) exchange(ctx context.Context, c call) {
	conn := n.dial(ctx, c.address)
	defer func() { _ = conn.Close() }()
	response, err := NewDRPCBudgetClient(conn).Report(ctx, EncodeReport(c.report))
	if err != nil {
		n.logger.Debug().Err(err).Str("keeper", c.keeper).Msg("budget report failed")
		return
	}
	answer, err := DecodeAnswer(response, c.report)
	if err != nil {
		n.logger.Warn().Err(err).Str("keeper", c.keeper).Msg("budget answer malformed")
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.client.Apply(time.Now(), c.keeper, answer)
}
