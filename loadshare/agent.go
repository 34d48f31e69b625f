package loadshare

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/admission"
	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/periodic"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

const (
	// flushDelay collects changes into one datagram; it is a fraction of the round trip
	// between data centres.
	flushDelay = 3 * time.Millisecond
	// heartbeatInterval is how often a node sends all of its totals again.
	heartbeatInterval = 500 * time.Millisecond
	// unresponsiveAfter is the time without a datagram after which a node's totals no
	// longer count: four heartbeats, so that packet loss alone does not cause it.
	unresponsiveAfter = 4 * heartbeatInterval
	// trustAfter is how long a node must have sent datagrams before its claims count.
	// The clock offset is then known from several datagrams, so that a single delayed
	// one can't make its view seem fresher than it is.
	trustAfter = 3 * heartbeatInterval
	// maxUpdateChanges bounds the changes in one datagram: an entry takes about 80 bytes.
	maxUpdateChanges = 300
	// maxDatagramBytes bounds a received datagram.
	maxDatagramBytes = 60 << 10
)

// View is a node's view of the store's tables.
type View interface {
	// Claims returns the revision and age of the view, by table.
	Claims() [2]fleet.Watermark
	// Confirm merges another node's claims, whose times are on this node's clock.
	Confirm(claims [2]fleet.Watermark)
	// ApplyUpdate merges another node's update of a table, whose time is on this node's clock.
	ApplyUpdate(update *fleet.Update)
}

// Gate runs functions with exclusive access to the scheduler, which knows the placements.
type Gate interface {
	Do(f func(s *placement.Scheduler, now time.Duration))
}

// packetConn sends and receives datagrams; it is a *net.UDPConn but in tests.
type packetConn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// peer is another node that was heard.
type peer struct {
	node        Node
	incarnation uint64
	sequence    uint64
	// receivedAt is when the last datagram arrived.
	receivedAt time.Time
	// firstReceivedAt is when the first datagram of the incarnation arrived.
	firstReceivedAt time.Time
	// clockOffset is this node's clock minus the peer's: the least value seen at the
	// arrival of a datagram.
	clockOffset time.Duration
	// freshAt is the time up to which the peer's view is complete, on this node's clock.
	freshAt      time.Duration
	unresponsive bool
	shuttingDown bool
	// relayed is true if the peer's totals are passed on by its zone's relay.
	relayed bool
	// bundleAt is when the last bundle arrived; bundlesSince is when they began to arrive.
	bundleAt, bundlesSince time.Time
	// listedAt is when a bundle last listed this node.
	listedAt time.Time
	// ranked is true while the peer is among Agent.candidates.
	ranked bool
}

func (p *peer) live(now time.Time) bool {
	return p.incarnation != 0 && !p.shuttingDown && now.Sub(p.receivedAt) < unresponsiveAfter
}

// Agent sends this node's load and view to its peers and receives theirs: in a small fleet
// each node to each other one, in a larger one by the relays of the zones.
type Agent struct {
	self        Node
	directory   Directory
	gate        Gate
	clock       func() time.Duration
	logger      zerolog.Logger
	metrics     *telemetry.Metrics
	conn        packetConn
	incarnation uint64
	started     time.Time
	// registerAgain is signaled when the directory may have lost this node's entry.
	registerAgain chan struct{}
	// OnNodeCount is called with the number of nodes that share limits, at each change.
	OnNodeCount func(nodes int)
	// View is the source of the claims in each datagram. It is set before Run.
	View View
	// Evidence is exchanged with the load; nil is none. It is set before Run.
	Evidence EvidenceGate
	// demandsOf and setDemands are the scheduler's Demands and ApplyDemands but in tests.
	demandsOf  func(s *placement.Scheduler, now time.Duration) []admission.Demand
	setDemands func(s *placement.Scheduler, now time.Duration, source string, demands []admission.Demand)

	// ages is used by runDirectory only.
	ages entryAges

	mutex sync.Mutex
	peers map[string]*peer
	// unheard are the entries of the directory whose nodes were not heard, and discoveredAt is when
	// the last one was added. The work of most calls does not grow with them.
	unheard      map[string]unheardNode
	discoveredAt time.Time
	// directoryRead is true once the directory was read.
	directoryRead bool
	// candidates are the peers that take part in the ranking.
	candidates   []*peer
	sequence     uint64
	flushPending bool
	nodeCount    int
	shuttingDown bool
	relay        relayState
	demand       demandState
}

// Listen returns an agent that is bound to its address.
// The clock must include the time in which the machine was suspended.
func Listen(self Node, directory Directory, gate Gate, clock func() time.Duration, logger zerolog.Logger, metrics *telemetry.Metrics) (*Agent, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(self.Address))
	if err != nil {
		return nil, eris.Wrap(err, "can't listen on the datagram address")
	}
	a := newAgent(self, gate, clock, logger, metrics)
	a.directory, a.conn = directory, conn
	return a, nil
}

// newAgent returns an agent without a socket and a directory.
func newAgent(self Node, gate Gate, clock func() time.Duration, logger zerolog.Logger, metrics *telemetry.Metrics) *Agent {
	a := &Agent{
		self: self, gate: gate, clock: clock, logger: logger, metrics: metrics, incarnation: uint64(time.Now().UnixNano()),
		started: time.Now(), registerAgain: make(chan struct{}, 1), peers: map[string]*peer{}, unheard: map[string]unheardNode{}, relay: newRelayState(time.Now()), demand: newDemandState(),
		demandsOf: (*placement.Scheduler).Demands, setDemands: (*placement.Scheduler).ApplyDemands,
		OnNodeCount: func(int) {},
	}
	a.rank()
	return a
}

// Close closes the socket of an agent that was not run.
func (a *Agent) Close() { _ = a.conn.Close() }

// Run sends and receives datagrams until the context is done.
func (a *Agent) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = a.conn.Close() })
	defer stop()
	var group sync.WaitGroup
	group.Go(a.receive)
	group.Go(func() { a.runDirectory(ctx) })
	group.Go(func() { periodic.Run(ctx, heartbeatInterval, a.heartbeat) })
	group.Go(func() { a.runRelay(ctx) })
	group.Go(func() { periodic.Run(ctx, demandInterval, a.sendDemands) })
	group.Wait()
}

// checkPeers drops the totals of unresponsive nodes and counts those that share limits.
func (a *Agent) checkPeers() {
	a.mutex.Lock()
	now := time.Now()
	var unresponsive []string
	relayed := a.relayed()
	for name, p := range a.peers {
		if now.Sub(p.receivedAt) > unresponsiveAfter && !p.unresponsive {
			p.unresponsive = true
			a.relay.totals.remove(nodeHash(name))
			a.forgetDemand(name)
			if !p.relayed || a.relay.acting && p.node.Zone == a.self.Zone {
				unresponsive = append(unresponsive, name)
			}
		}
	}
	a.mutex.Unlock()
	for _, name := range unresponsive {
		if !relayed || a.isMember(name) {
			// In a large fleet most nodes are heard through the relays only.
			a.logger.Warn().Str("peer", name).Msg("node is silent")
		}
		a.gate.Do(func(s *placement.Scheduler, _ time.Duration) {
			s.RemoveNode(name)
			s.RemoveNode(memberKey(nodeHash(name)))
		})
	}
	a.checkZones(now)
	a.checkDemands()
	a.mutex.Lock()
	a.rank()
	a.mutex.Unlock()
	a.updateNodeCount()
}

// isMember reports whether this node is the relay of a zone to which the node belongs.
func (a *Agent) isMember(name string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	p := a.peers[name]
	return a.relay.acting && p != nil && p.node.Zone == a.self.Zone
}

func (a *Agent) updateNodeCount() {
	a.mutex.Lock()
	nodes := a.countNodes(time.Now())
	changed := nodes != a.nodeCount
	a.nodeCount = nodes
	a.mutex.Unlock()
	if changed {
		a.OnNodeCount(nodes)
	}
}

func (a *Agent) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := a.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		m, err := decode(buffer[:n])
		if err != nil {
			a.metrics.Count("wigeontiller_datagrams_unreadable_total", 1)
			continue
		}
		a.metrics.Count("wigeontiller_datagrams_received_total", 1)
		a.metrics.Count("wigeontiller_datagram_bytes_received_total", int64(n))
		if m.Node != a.self.Name {
			a.handle(m, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		}
	}
}

// handle merges a datagram. From one that arrives out of order, only the claims and the
// update are used, not the totals.
func (a *Agent) handle(m *message, from netip.AddrPort) {
	a.mutex.Lock()
	p := a.peerOf(m, from)
	if m.Incarnation < p.incarnation {
		a.mutex.Unlock()
		return
	}
	restarted := m.Incarnation > p.incarnation
	older := !restarted && m.Sequence <= p.sequence
	p.incarnation, p.receivedAt, p.unresponsive = m.Incarnation, time.Now(), false
	if !p.ranked {
		a.include(p)
	}
	if restarted && m.Announced != nil {
		a.answerAnnouncement(from)
	}
	if offset := a.clock() - m.SentAt; restarted || offset < p.clockOffset {
		p.clockOffset = offset
	}
	if restarted {
		p.firstReceivedAt = time.Now()
		p.bundleAt, p.bundlesSince, p.listedAt = time.Time{}, time.Time{}, time.Time{}
	}
	if !older {
		p.sequence, p.shuttingDown = m.Sequence, m.ShuttingDown
	}
	if p.node.Zone == a.self.Zone {
		a.relay.known.record(nodeHash(m.Node), p.receivedAt, p.shuttingDown)
	}
	if !older && m.HasClaims {
		p.freshAt = min(m.Claims[0].FreshAt, m.Claims[1].FreshAt) + p.clockOffset
	}
	offset := p.clockOffset
	claims, trusted := m.Claims, time.Since(p.firstReceivedAt) > trustAfter
	for i := range claims {
		claims[i].FreshAt += p.clockOffset
	}
	if m.Update != nil && trusted {
		m.Update.FreshAt += p.clockOffset
	} else if m.Update != nil {
		// Its changes count by their revisions; only its age rests on the clock offset.
		m.Update.FreshAt = 0
	}
	a.mutex.Unlock()
	if m.Update != nil {
		// A node of an older release passes on what it has read.
		a.metrics.Count("wigeontiller_invalid_entries_from_nodes_total", int64(fleet.CheckChanges(m.Update.Changes)))
		a.View.ApplyUpdate(m.Update)
	}
	if trusted && m.HasClaims {
		a.View.Confirm(claims)
	}
	a.applyEvidence(m.Evidence, offset, trusted)
	a.applyLimits(m.Limits, offset)
	a.applyTotals(m, restarted, older)
}

// peerOf returns the sender's peer, which it adds if it is new; the mutex is held.
func (a *Agent) peerOf(m *message, from netip.AddrPort) *peer {
	p := a.peers[m.Node]
	if p == nil {
		p = &peer{node: a.unheard[m.Node].node}
		p.node.Name = m.Node
		a.peers[m.Node] = p
		delete(a.unheard, m.Node)
		a.logger.Info().Str("peer", m.Node).Stringer("address", from).Msg("peer discovered")
	}
	p.node.Address = from
	if m.Announced != nil && (p.node.Zone != m.Announced.Zone || p.node.Capacity != m.Announced.Capacity) {
		p.node.Zone, p.node.Capacity = m.Announced.Zone, m.Announced.Capacity
		if p.ranked {
			a.rank()
		}
	}
	return p
}

// applyTotals merges the totals of a datagram, by the way on which they came.
func (a *Agent) applyTotals(m *message, restarted, older bool) {
	for i := range m.Zones {
		a.applyZone(&m.Zones[i], m.Bundle == nil)
	}
	a.mutex.Lock()
	p := a.peers[m.Node]
	dropDirect := restarted || m.Relayed && !p.relayed
	dropRelayed := !older && !m.Relayed && p.relayed
	if !older {
		p.relayed = m.Relayed
	}
	if dropRelayed {
		a.relay.totals.remove(nodeHash(m.Node))
	}
	if dropDirect || dropRelayed {
		a.forgetDemand(m.Node)
	}
	a.mutex.Unlock()
	if dropRelayed {
		// The fleet became small; the node sends its totals itself.
		a.gate.Do(func(s *placement.Scheduler, _ time.Duration) { s.RemoveNode(memberKey(nodeHash(m.Node))) })
	}
	if dropDirect {
		a.gate.Do(func(s *placement.Scheduler, _ time.Duration) { s.RemoveNode(m.Node) })
	}
	a.applyDemands(m)
	key := m.Node
	switch {
	case older:
		return
	case m.Bundle != nil:
		a.applyBundle(m)
		return
	case m.Relayed && !a.applyMember(m, restarted):
		return
	case m.Relayed:
		key = memberKey(nodeHash(m.Node))
	}
	a.gate.Do(func(s *placement.Scheduler, now time.Duration) {
		if restarted {
			s.RemoveNode(key)
		}
		s.ApplyLoadUpdates(now, key, m.Shares, m.Full)
	})
}

// HasFresherPeer reports whether a responsive peer has a view younger than age.
func (a *Agent) HasFresherPeer(age time.Duration) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, p := range a.candidates {
		if time.Since(p.receivedAt) < unresponsiveAfter && a.clock()-p.freshAt < age {
			return true
		}
	}
	return false
}

// AnnounceShutdown marks this node as shutting down in all further datagrams.
func (a *Agent) AnnounceShutdown() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.shuttingDown = true
}
