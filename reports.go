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

// reportsPatience is how long a new node may stay unready for the reports of
// engines, from when it has a site in force.
const reportsPatience = 5 * time.Second

// newOwner names a process to engines and keepers by when it started, in Unix
// milliseconds.
func newOwner(node string, started uint64) orphan.Owner {
	return orphan.Owner{Node: node, Process: strconv.FormatUint(started, 36)}
}

// reports is the node's part in reading the engines' load reports.
type reports struct {
	owner      orphan.Owner
	cluster    *cluster
	dispatcher *dispatch.Dispatcher
	entry      *entry.Server
	poller     *observe.Poller
	// waiting is when the node began to wait for reports; informed is set for
	// good when it has them or time is up.
	waiting  atomic.Pointer[time.Time]
	informed atomic.Bool
}

func newReports(owner orphan.Owner, c *cluster, d *dispatch.Dispatcher, e *entry.Server, metrics *telemetry.Metrics, logger zerolog.Logger) (*reports, error) {
	r := &reports{owner: owner, cluster: c, dispatcher: d, entry: e}
	r.poller = observe.NewPoller(observe.Config{
		Engines:   observe.NewClient(),
		Canceler:  upstream.NewClient(),
		Members:   r,
		Teller:    reportrpc.NewTeller(func(ctx context.Context, to netip.AddrPort) drpc.Conn { return c.pool.Conn(ctx, to) }),
		Scheduler: d,
		Metrics:   metrics,
		Logger:    logger,
	})
	return r, c.server.Register(reportrpc.NewService(r).Register)
}

// ready reports whether the node has heard of each engine since its start, so
// that it sends nothing to one that leaves. An engine that is away can't hold it
// up for longer than reportsPatience. It is asked once a site is in force.
func (r *reports) ready(now time.Time) bool {
	if r.informed.Load() {
		return true
	}
	r.waiting.CompareAndSwap(nil, &now)
	if !r.poller.Complete() && now.Sub(*r.waiting.Load()) < reportsPatience {
		return false
	}
	r.informed.Store(true)
	return true
}

// Owns implements observe.Members. The engines of a data centre without a live
// entry node fall to the nodes of all regions.
func (r *reports) Owns(role, dataCentre string) bool {
	live := r.cluster.agent.Live(membership.SiteScope)
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
func (r *reports) Peers() []observe.Peer {
	var peers []observe.Peer
	for _, member := range r.cluster.agent.Live(membership.SiteScope) {
		if member.Name != r.owner.Node {
			peers = append(peers, observe.Peer{
				Name: member.Name, DataCentre: member.DataCentre, Address: member.Address, Started: member.Started,
			})
		}
	}
	return peers
}

// Standing implements observe.Members.
func (r *reports) Standing(owner orphan.Owner) orphan.Standing {
	if r.cluster.agent.Isolated() {
		return orphan.Unknown
	}
	for _, peer := range r.cluster.agent.Peers() {
		switch {
		case peer.Name != owner.Node:
		case !peer.Live():
			return orphan.Gone
		case !peer.Reachable:
			return orphan.Silent
		default:
			return orphan.Held
		}
	}
	return orphan.Silent
}

// processStanding implements processes. A node that lives under a later process
// has ended the earlier one.
func (r *reports) processStanding(owner orphan.Owner) orphan.Standing {
	if r.cluster.agent.Isolated() {
		return orphan.Unknown
	}
	if owner.Node == r.owner.Node {
		return endedUnless(owner == r.owner)
	}
	for _, live := range r.cluster.agent.Live(membership.SiteScope) {
		if live.Name == owner.Node {
			return endedUnless(newOwner(live.Name, live.Started) == owner)
		}
	}
	return r.Standing(owner)
}

func endedUnless(same bool) orphan.Standing {
	if same {
		return orphan.Held
	}
	return orphan.Gone
}

// Holds implements observe.Members.
func (r *reports) Holds(streamID string) bool { return r.entry.Holds(streamID) }

// Self implements observe.Members.
func (r *reports) Self() orphan.Owner { return r.owner }

// Tables implements reportrpc.Node.
func (r *reports) Tables() *tables.Tables { return r.dispatcher.Tables() }

// Observe implements reportrpc.Node.
func (r *reports) Observe(o observe.Observation) { r.poller.Observe(o) }

// Process implements reportrpc.Node.
func (r *reports) Process() string { return r.owner.Process }

// HeldStreams implements reportrpc.Node.
func (r *reports) HeldStreams() []string { return r.entry.HeldAttempts() }
