package wigeontiller

import (
	"context"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc"

	"github.com/wigeontiller/wigeontiller/dispatch"
	"github.com/wigeontiller/wigeontiller/entry"
	"github.com/wigeontiller/wigeontiller/membership"
	"github.com/wigeontiller/wigeontiller/observe"
	"github.com/wigeontiller/wigeontiller/observe/reportrpc"
	"github.com/wigeontiller/wigeontiller/orphan"
	"github.com/wigeontiller/wigeontiller/tables"
	"github.com/wigeontiller/wigeontiller/telemetry"
	"github.com/wigeontiller/wigeontiller/upstream"
)

// reportsTimeout is how long a new node with a site in force may stay unready while
// it waits for reports of engines.
const reportsTimeout = 5 * time.Second

// newOwner returns the name of a process for engines and allocators. started is its
// start in Unix milliseconds.
func newOwner(node string, started uint64) orphan.Owner {
	return orphan.Owner{Node: node, Process: strconv.FormatUint(started, 36)}
}

// loadReports connects the poller of engines' load reports to the node.
type loadReports struct {
	owner      orphan.Owner
	cluster    *cluster
	dispatcher *dispatch.Dispatcher
	entry      *entry.Server
	poller     *observe.Poller
	// waitingSince is when the node began to wait for reports; complete is set once,
	// when it has them all or after reportsTimeout.
	waitingSince atomic.Pointer[time.Time]
	complete     atomic.Bool
}

func newLoadReports(owner orphan.Owner, c *cluster, d *dispatch.Dispatcher, e *entry.Server, metrics *telemetry.Metrics, logger zerolog.Logger) (*loadReports, error) {
	r := &loadReports{owner: owner, cluster: c, dispatcher: d, entry: e}
	r.poller = observe.NewPoller(observe.Config{
		Engines:   observe.NewClient(),
		Canceler:  upstream.NewClient(),
		Members:   r,
		Publisher: reportrpc.NewPublisher(func(ctx context.Context, to netip.AddrPort) drpc.Conn { return c.pool.Conn(ctx, to) }),
		Scheduler: d,
		Metrics:   metrics,
		Logger:    logger,
	})
	return r, c.server.Register(reportrpc.NewService(r).Register)
}

// ready reports whether the node has had a report of each engine since its start, so
// that it sends nothing to an engine that is draining. An engine that is down delays
// it by at most reportsTimeout. It is called only when a site is in force.
func (r *loadReports) ready(now time.Time) bool {
	if r.complete.Load() {
		return true
	}
	r.waitingSince.CompareAndSwap(nil, &now)
	if !r.poller.Complete() && now.Sub(*r.waitingSince.Load()) < reportsTimeout {
		return false
	}
	r.complete.Store(true)
	return true
}

// Owns implements observe.Members. If a data centre has no live entry node, the nodes
// of all regions are candidates for the roles at its engines.
func (r *loadReports) Owns(role, dataCentre string) bool {
	live := r.cluster.agent.Live(membership.ClusterScope)
	var local []membership.Member
	for _, member := range live {
		if member.DataCentre == dataCentre {
			local = append(local, member)
		}
	}
	if len(local) == 0 {
		local = live
	}
	owner, ok := membership.Owner(role, local)
	return ok && owner.Name == r.owner.Node
}

// Peers implements observe.Members.
func (r *loadReports) Peers() []observe.Peer {
	var peers []observe.Peer
	for _, member := range r.cluster.agent.Live(membership.ClusterScope) {
		if member.Name != r.owner.Node {
			peers = append(peers, observe.Peer{
				Name: member.Name, DataCentre: member.DataCentre, Address: member.Address, Started: member.Started,
			})
		}
	}
	return peers
}

// Standing implements observe.Members.
func (r *loadReports) Standing(owner orphan.Owner) orphan.OwnerState {
	if r.cluster.agent.Isolated() {
		return orphan.Unknown
	}
	for _, peer := range r.cluster.agent.Peers() {
		switch {
		case peer.Name != owner.Node:
		case !peer.Live():
			return orphan.Gone
		case !peer.Reachable:
			return orphan.Unresponsive
		default:
			return orphan.Held
		}
	}
	return orphan.Unresponsive
}

// processStanding implements processes. If a node is live with another process, the
// given one has ended.
func (r *loadReports) processStanding(owner orphan.Owner) orphan.OwnerState {
	if r.cluster.agent.Isolated() {
		return orphan.Unknown
	}
	if owner.Node == r.owner.Node {
		return heldOrGone(owner == r.owner)
	}
	for _, live := range r.cluster.agent.Live(membership.ClusterScope) {
		if live.Name == owner.Node {
			return heldOrGone(newOwner(live.Name, live.Started) == owner)
		}
	}
	return r.Standing(owner)
}

func heldOrGone(same bool) orphan.OwnerState {
	if same {
		return orphan.Held
	}
	return orphan.Gone
}

// Holds implements observe.Members.
func (r *loadReports) Holds(streamID string) bool { return r.entry.HasActiveAttempt(streamID) }

// Self implements observe.Members.
func (r *loadReports) Self() orphan.Owner { return r.owner }

// Tables implements reportrpc.Node.
func (r *loadReports) Tables() *tables.Tables { return r.dispatcher.Tables() }

// Observe implements reportrpc.Node.
func (r *loadReports) Observe(o observe.Observation) { r.poller.Observe(o) }

// Process implements reportrpc.Node.
func (r *loadReports) Process() string { return r.owner.Process }

// HeldStreams implements reportrpc.Node.
func (r *loadReports) HeldStreams() []string { return r.entry.ActiveAttempts() }
