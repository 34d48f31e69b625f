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
	// maxCalls bounds the number of reports in flight.
	maxCalls = 32
	// loopsPerInterval is how often per interval the loop checks for due
	// reports.
	loopsPerInterval = 5
	// expireInterval is how often an allocator removes state that can no longer
	// be held.
	expireInterval = time.Minute
)

// Members lists the live nodes.
type Members interface {
	// Live returns the live nodes from which the holders of a scope's leases
	// are chosen, sorted by name.
	Live(scope string) []Peer
}

// Peer is a live node.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Workload reports the node's running and waiting requests and applies its shares.
type Workload interface {
	// Demands returns what runs and waits, by resource.
	Demands() map[string]budget.Demand
	// SetShares replaces what may run, by resource.
	SetShares(shares map[string]budget.Share)
}

// Dial returns a connection to a node; it is closed after one call.
type Dial func(ctx context.Context, address netip.AddrPort) drpc.Conn

// SharedResource is a resource with the lease that its allocator holds.
type SharedResource struct {
	budget.Resource
	budget.Interest
	Lease Lease
}

// Node is the budget part of one entry node: the allocator of the resources
// that other nodes assign to it, and the client for all resources. It is safe
// for concurrent use.
type Node struct {
	DRPCBudgetUnimplementedServer
	name      string
	timing    budget.Timing
	table     storage.Table
	calls     conc.WaitGroup
	members   Members
	workload  Workload
	dial      Dial
	logger    zerolog.Logger
	mutex     sync.Mutex
	allocator *budget.Allocator
	client    *budget.Client
	names     ResourceNames
	// leases maps a row's key to its lease; resourceLeases maps a resource's
	// name to its lease.
	leases         map[string]Lease
	resourceLeases map[string]Lease
}

// Config holds what a Node needs.
type Config struct {
	// Name is the node's name among Members.
	Name string
	// Process names the process; it must be unique to it.
	Process string
	Timing  budget.Timing
	// Table holds the leases' rows.
	Table    storage.Table
	Members  Members
	Workload Workload
	Dial     Dial
	Logger   zerolog.Logger
}

// NewNode returns a node without resources.
func NewNode(c Config) *Node {
	now := time.Now()
	return &Node{
		name:      c.Name,
		timing:    c.Timing,
		table:     c.Table,
		members:   c.Members,
		workload:  c.Workload,
		dial:      c.Dial,
		logger:    c.Logger,
		allocator: budget.NewAllocator(c.Process, c.Timing, now),
		client:    budget.NewClient(c.Process, c.Timing),
	}
}

// Configure replaces the resources.
func (n *Node) Configure(shared []SharedResource) {
	var names []string
	var resources []budget.Resource
	var interests []budget.Interest
	leases := map[string]Lease{}
	resourceLeases := map[string]Lease{}
	for _, s := range shared {
		names = append(names, s.Name)
		s.Resource.Lease = s.Lease.RowKey()
		resources = append(resources, s.Resource)
		s.Interest.Resource = s.Name
		s.Interest.Ramp = s.Resource.Ramp
		interests = append(interests, s.Interest)
		leases[s.Lease.RowKey()] = s.Lease
		resourceLeases[s.Name] = s.Lease
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.names = NewResourceNames(names)
	n.leases = leases
	n.resourceLeases = resourceLeases
	n.allocator.Configure(resources)
	n.client.Configure(interests)
}

// ColdStart records that a resource has started cold.
func (n *Node) ColdStart(resource string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.client.ColdStart(time.Now(), resource)
}

// Released records that a node's process has died and no upstream still runs
// its requests.
func (n *Node) Released(process string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.allocator.ProcessEnded(time.Now(), process)
}

// Unheard returns, sorted, the processes that may hold shares under this node's
// leases and have not reported for longer than the report timeout.
func (n *Node) Unheard() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.allocator.Unresponsive(time.Now())
}

// Statuses returns the status of the resources that this node has allocated.
func (n *Node) Statuses() map[string]budget.Status {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.allocator.Statuses(time.Now())
}

// Shares returns what this node may use now, by resource.
func (n *Node) Shares() map[string]budget.Share {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.client.Shares(time.Now())
}

// Report answers a node's report. It implements DRPCBudgetServer. Errors:
// ErrMalformed, ErrStaleReport.
func (n *Node) Report(_ context.Context, request *ReportRequest) (*ReportResponse, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	report, err := DecodeReport(request, n.names)
	if err != nil {
		return nil, err
	}
	answer, ok := n.allocator.Handle(time.Now(), report)
	if !ok {
		return nil, ErrStaleReport
	}
	return EncodeAnswer(answer, request.Keeper), nil
}

// Run reports to allocators until the context ends.
func (n *Node) Run(ctx context.Context) {
	defer n.calls.Wait()
	expired := time.Now()
	periodic.Run(ctx, n.timing.Interval/loopsPerInterval, func() {
		n.callTable(ctx)
		n.exchangeReports(ctx)
		if time.Since(expired) > expireInterval {
			expired = time.Now()
			n.expire(expired)
		}
	})
}

func (n *Node) expire(now time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.allocator.Expire(now)
}

// reportCall is one report with its destination.
type reportCall struct {
	allocator string
	address   netip.AddrPort
	report    budget.Report
}

// exchangeReports sends the reports that are due and applies their answers.
func (n *Node) exchangeReports(ctx context.Context) {
	demands := n.workload.Demands()
	calls := n.due(time.Now(), demands)
	ctx, cancel := context.WithTimeout(ctx, n.timing.Interval)
	defer cancel()
	workers := pool.New().WithMaxGoroutines(maxCalls)
	for _, c := range calls {
		workers.Go(func() { n.sendReport(ctx, c) })
	}
	workers.Wait()
	n.mutex.Lock()
	shares := n.client.Shares(time.Now())
	err := n.allocator.Check()
	n.mutex.Unlock()
	if err != nil {
		n.logger.Error().Err(err).Msg("budget invariant violated")
	}
	n.workload.SetShares(shares)
}

func (n *Node) due(now time.Time, demands map[string]budget.Demand) []reportCall {
	owners := ownerLookup(n.members)
	addresses := map[string]netip.AddrPort{}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.client.SetDemands(demands)
	due := n.client.Due(now, func(resource string) string {
		owner := owners(n.resourceLeases[resource])
		addresses[owner.Name] = owner.Address
		return owner.Name
	})
	var calls []reportCall
	for allocator, resources := range due {
		report := n.client.Report(now, allocator, resources)
		calls = append(calls, reportCall{allocator: allocator, address: addresses[allocator], report: report})
	}
	return calls
}

// ownerLookup returns a function that finds the node that should hold a lease,
// or returns the zero Peer. It looks up each scope once.
func ownerLookup(members Members) func(Lease) Peer {
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
	for _, index := range AssignShards(scope, names) {
		owners = append(owners, live[index])
	}
	return owners
}

func (n *Node) sendReport(ctx context.Context, c reportCall) {
	conn := n.dial(ctx, c.address)
	defer func() { _ = conn.Close() }()
	response, err := NewDRPCBudgetClient(conn).Report(ctx, EncodeReport(c.report))
	if err != nil {
		n.logger.Debug().Err(err).Str("keeper", c.allocator).Msg("sending budget report failed")
		return
	}
	answer, err := DecodeAnswer(response, c.report)
	if err != nil {
		n.logger.Warn().Err(err).Str("keeper", c.allocator).Msg("decoding budget answer failed")
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.client.Apply(time.Now(), c.allocator, answer)
}
