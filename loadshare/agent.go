package loadshare

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

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
	// maxPublisherAge is the view age up to which a node can be a publisher.
	maxPublisherAge = 2 * time.Second
	// publisherCount is how many nodes poll the store at short intervals and publish
	// its changes to the others.
	publisherCount = 2
	// removeAfter is how long an unresponsive node still counts among those that share
	// limits: longer than a retry window.
	removeAfter = 15 * time.Second
	// directoryInterval is how often the directory is read.
	directoryInterval = 15 * time.Second
	// directoryRetryDelay is the delay after a failed request to the directory.
	directoryRetryDelay = 500 * time.Millisecond
	// directoryTimeout bounds the requests of one synchronization with the directory.
	directoryTimeout = time.Second
	// maxUpdateChanges bounds the changes in one datagram: an entry takes about 80 bytes.
	maxUpdateChanges = 300
	// maxDatagramBytes bounds a received datagram.
	maxDatagramBytes = 60 << 10
)

// Node is an entry of the directory: a node's name and the address of its datagrams.
type Node struct {
	Name    string
	Address netip.AddrPort
}

// Directory holds the list of the fleet's nodes.
type Directory interface {
	Register(ctx context.Context, node Node) error
	Nodes(ctx context.Context) ([]Node, error)
}

// View is a node's view of the store's tables.
type View interface {
	// Claims returns the revision and age of the view, by table.
	Claims() [2]fleet.Watermark
	// Confirm merges another node's claims, whose times are on this node's clock.
	Confirm(claims [2]fleet.Watermark)
	// ApplyUpdate merges another node's update of upstreams, whose time is on this node's clock.
	ApplyUpdate(update *fleet.Update)
}

// Gate runs functions with exclusive access to the scheduler, which knows the placements.
type Gate interface {
	Do(f func(s *placement.Scheduler, now time.Duration))
}

// peer is another node.
type peer struct {
	address     netip.AddrPort
	incarnation uint64
	sequence    uint64
	receivedAt  time.Time
	// firstReceivedAt is when the first datagram of the incarnation arrived.
	firstReceivedAt time.Time
	// clockOffset is this node's clock minus the peer's: the least value seen at the
	// arrival of a datagram.
	clockOffset time.Duration
	// freshAt is the time up to which the peer's view is complete, on this node's clock.
	freshAt      time.Duration
	unresponsive bool
	shuttingDown bool
}

// Agent sends this node's load and view to its peers and receives theirs.
type Agent struct {
	self        Node
	directory   Directory
	gate        Gate
	clock       func() time.Duration
	logger      zerolog.Logger
	metrics     *telemetry.Metrics
	conn        *net.UDPConn
	incarnation uint64
	// OnNodeCount is called with the number of nodes that share limits, at each change.
	OnNodeCount func(nodes int)
	// View is the source of the claims in each datagram. It is set before Run.
	View View

	mutex        sync.Mutex
	peers        map[string]*peer
	sequence     uint64
	flushPending bool
	nodeCount    int
	shuttingDown bool
}

// Listen returns an agent that is bound to its address.
// The clock must include the time in which the machine was suspended.
func Listen(self Node, directory Directory, gate Gate, clock func() time.Duration, logger zerolog.Logger, metrics *telemetry.Metrics) (*Agent, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(self.Address))
	if err != nil {
		return nil, eris.Wrap(err, "can't listen on the datagram address")
	}
	return &Agent{
		self: self, directory: directory, gate: gate, clock: clock, logger: logger, metrics: metrics, conn: conn,
		incarnation: uint64(time.Now().UnixNano()), peers: map[string]*peer{},
	}, nil
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
	group.Wait()
}

// ScheduleFlush sends the changed shares to the peers after flushDelay. It never blocks.
func (a *Agent) ScheduleFlush() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.flushPending {
		return
	}
	a.flushPending = true
	time.AfterFunc(flushDelay, a.flush)
}

func (a *Agent) flush() {
	a.mutex.Lock()
	a.flushPending = false
	a.mutex.Unlock()
	var shares []placement.LoadUpdate
	a.gate.Do(func(s *placement.Scheduler, now time.Duration) { shares = s.LoadUpdates(now, false) })
	if len(shares) > 0 {
		a.broadcast(shares, false, nil)
	}
}

// broadcast sends one datagram to each peer.
func (a *Agent) broadcast(shares []placement.LoadUpdate, full bool, update *fleet.Update) {
	claims := a.View.Claims()
	a.mutex.Lock()
	a.sequence++
	m := message{
		Node: a.self.Name, Incarnation: a.incarnation, Sequence: a.sequence, Full: full,
		SentAt: a.clock(), Claims: claims, ShuttingDown: a.shuttingDown, Shares: shares, Update: update,
	}
	addresses := make([]netip.AddrPort, 0, len(a.peers))
	for _, p := range a.peers {
		addresses = append(addresses, p.address)
	}
	a.mutex.Unlock()
	data := m.encode()
	for _, address := range addresses {
		if _, err := a.conn.WriteToUDPAddrPort(data, address); err != nil {
			a.metrics.Count("wigeontiller_datagrams_unsent_total", 1)
		}
	}
	a.metrics.Count("wigeontiller_datagrams_sent_total", int64(len(addresses)))
}

// heartbeat sends all of this node's totals and checks the peers.
func (a *Agent) heartbeat() {
	var shares []placement.LoadUpdate
	a.gate.Do(func(s *placement.Scheduler, now time.Duration) { shares = s.LoadUpdates(now, true) })
	a.broadcast(shares, true, nil)
	a.checkPeers()
}

// checkPeers drops the totals of unresponsive nodes and counts those that share limits.
func (a *Agent) checkPeers() {
	a.mutex.Lock()
	var unresponsive []string
	for name, p := range a.peers {
		age := time.Since(p.receivedAt)
		if age > removeAfter {
			delete(a.peers, name)
		}
		if age > unresponsiveAfter && !p.unresponsive {
			p.unresponsive = true
			unresponsive = append(unresponsive, name)
		}
	}
	a.mutex.Unlock()
	for _, name := range unresponsive {
		a.logger.Warn().Str("peer", name).Msg("node is silent")
		a.gate.Do(func(s *placement.Scheduler, _ time.Duration) { s.RemoveNode(name) })
	}
	a.updateNodeCount()
}

func (a *Agent) updateNodeCount() {
	a.mutex.Lock()
	nodes := 1 + len(a.peers)
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
		if m.Node != a.self.Name {
			a.handle(m, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		}
	}
}

// handle merges a datagram. From one that arrives out of order, only the claims and the
// update are used, not the shares.
func (a *Agent) handle(m *message, from netip.AddrPort) {
	a.mutex.Lock()
	p := a.peers[m.Node]
	if p == nil {
		p = &peer{}
		a.peers[m.Node] = p
		a.logger.Info().Str("peer", m.Node).Stringer("address", from).Msg("peer discovered")
	}
	if m.Incarnation < p.incarnation {
		a.mutex.Unlock()
		return
	}
	restarted := m.Incarnation > p.incarnation
	older := !restarted && m.Sequence <= p.sequence
	p.address, p.incarnation, p.receivedAt, p.unresponsive = from, m.Incarnation, time.Now(), false
	if offset := a.clock() - m.SentAt; restarted || offset < p.clockOffset {
		p.clockOffset = offset
	}
	if restarted {
		p.firstReceivedAt = time.Now()
	}
	if !older {
		p.sequence, p.shuttingDown = m.Sequence, m.ShuttingDown
		p.freshAt = min(m.Claims[0].FreshAt, m.Claims[1].FreshAt) + p.clockOffset
	}
	claims, trusted := m.Claims, time.Since(p.firstReceivedAt) > trustAfter
	for i := range claims {
		claims[i].FreshAt += p.clockOffset
	}
	if m.Update != nil {
		m.Update.FreshAt += p.clockOffset
	}
	a.mutex.Unlock()
	if trusted && m.Update != nil {
		a.View.ApplyUpdate(m.Update)
	}
	if trusted {
		a.View.Confirm(claims)
	}
	a.gate.Do(func(s *placement.Scheduler, now time.Duration) {
		if restarted {
			s.RemoveNode(m.Node)
		}
		if !older {
			s.ApplyLoadUpdates(now, m.Node, m.Shares, m.Full)
		}
	})
}

// LivePeers returns the names of the responsive peers that are not shutting down.
func (a *Agent) LivePeers() []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	names := make([]string, 0, len(a.peers))
	for name, p := range a.peers {
		if p.incarnation != 0 && !p.shuttingDown && time.Since(p.receivedAt) < unresponsiveAfter {
			names = append(names, name)
		}
	}
	return names
}

// HasFresherPeer reports whether a responsive peer has a view younger than age.
func (a *Agent) HasFresherPeer(age time.Duration) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, p := range a.peers {
		if time.Since(p.receivedAt) < unresponsiveAfter && a.clock()-p.freshAt < age {
			return true
		}
	}
	return false
}

// runDirectory registers this node and reads the directory at each directoryInterval.
func (a *Agent) runDirectory(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		pause := directoryInterval
		if err := a.syncDirectory(ctx, &registered); err != nil {
			a.logger.Warn().Err(err).Msg("list of nodes not reached")
			pause = directoryRetryDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (a *Agent) syncDirectory(ctx context.Context, registered *bool) error {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	if !*registered {
		if err := a.directory.Register(ctx, a.self); err != nil {
			return err
		}
		*registered = true
	}
	nodes, err := a.directory.Nodes(ctx)
	if err != nil {
		return err
	}
	a.mutex.Lock()
	for _, node := range nodes {
		if node.Name != a.self.Name && a.peers[node.Name] == nil {
			a.peers[node.Name] = &peer{address: node.Address, receivedAt: time.Now()}
		}
	}
	a.mutex.Unlock()
	a.updateNodeCount()
	a.broadcast(nil, false, nil)
	return nil
}

// IsPublisher reports whether this node polls the store at short intervals and publishes
// its view: fewer than publisherCount live peers with a fresh view precede it by name.
func (a *Agent) IsPublisher() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	before := 0
	for name, p := range a.peers {
		fresh := p.incarnation != 0 && !p.shuttingDown && time.Since(p.receivedAt) < unresponsiveAfter && a.clock()-p.freshAt < maxPublisherAge
		if fresh && name < a.self.Name {
			before++
		}
	}
	return before < publisherCount
}

// PublishView sends this node's claims and the update, if any, to the peers at once, if
// this node is a publisher. An update that is too long is left out; the peers then poll
// the store.
func (a *Agent) PublishView(update *fleet.Update) {
	if update != nil && len(update.Changes) > maxUpdateChanges {
		update = nil
	}
	if a.IsPublisher() {
		a.broadcast(nil, false, update)
	}
}

// AnnounceShutdown marks this node as shutting down in all further datagrams.
func (a *Agent) AnnounceShutdown() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.shuttingDown = true
}
