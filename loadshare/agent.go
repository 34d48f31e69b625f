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
	// flushDelay gathers changes into one datagram; it is a part of the round trip
	// between data centres.
	flushDelay = 3 * time.Millisecond
	// beatInterval is how often all of a node's totals are told again.
	beatInterval = 500 * time.Millisecond
	// silentAfter is the silence after which a node's totals no longer count: four
	// beats, so that a lossy link alone does not do it.
	silentAfter = 4 * beatInterval
	// trustAfter is how long a node must have been heard before its claims count: the
	// difference of the clocks is known from several datagrams by then, and a single
	// late one can't make it seem fresher than it is.
	trustAfter = 3 * beatInterval
	// tellerAge is the age of beliefs up to which a node counts as one that tells.
	tellerAge = 2 * time.Second
	// tellers is how many nodes ask the store in short turns and tell the others.
	tellers = 2
	// forgetAfter is how long a silent node still counts among those that share
	// limits: longer than a retry window.
	forgetAfter = 15 * time.Second
	// listInterval is how often the list of nodes is read again.
	listInterval = 15 * time.Second
	// registerPause is the pause after a failed call to the list.
	registerPause = 500 * time.Millisecond
	// callTimeout bounds a call to the list.
	callTimeout = time.Second
	// maxNews bounds the changes in one datagram: an entry takes about 80 bytes.
	maxNews = 300
	// maxDatagram is what one datagram may hold.
	maxDatagram = 60 << 10
)

// Node is an entry of the list of nodes.
type Node struct {
	Name    string
	Address netip.AddrPort
}

// Directory lists the nodes of the fleet.
type Directory interface {
	Register(ctx context.Context, node Node) error
	Nodes(ctx context.Context) ([]Node, error)
}

// Beliefs are what a node knows of the store's tables.
type Beliefs interface {
	Claims() [2]fleet.Watermark
	// Confirm takes another node's claims, with their times on this node's clock.
	Confirm(claims [2]fleet.Watermark)
	// Learn takes another node's news of upstreams, with their time on this node's clock.
	Learn(news *fleet.Update)
}

// Gate is where placements are known.
type Gate interface {
	Do(f func(s *placement.Scheduler, now time.Duration))
}

// peer is another node.
type peer struct {
	address     netip.AddrPort
	incarnation uint64
	sequence    uint64
	heardAt     time.Time
	// firstAt is when the incarnation was first heard.
	firstAt time.Time
	// offset is the least difference of this node's clock and the peer's at the
	// arrival of a datagram.
	offset time.Duration
	// freshAt is the time up to which the peer's beliefs are complete, on this
	// node's clock.
	freshAt time.Duration
	silent  bool
	leaving bool
}

// Agent tells and hears.
type Agent struct {
	self      Node
	directory Directory
	gate      Gate
	clock     func() time.Duration
	logger    zerolog.Logger
	metrics   *telemetry.Metrics
	conn      *net.UDPConn
	started   uint64
	// OnNodes is called with the number of nodes that share limits, at each change.
	OnNodes func(nodes int)
	// Beliefs are told with each datagram.
	Beliefs Beliefs

	mutex    sync.Mutex
	peers    map[string]*peer
	sequence uint64
	pending  bool
	nodes    int
	leaving  bool
}

// Listen returns an agent that is bound to its address.
// The clock also counts the time in which the machine was suspended.
func Listen(self Node, directory Directory, gate Gate, clock func() time.Duration, logger zerolog.Logger, metrics *telemetry.Metrics) (*Agent, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(self.Address))
	if err != nil {
		return nil, eris.Wrap(err, "datagram address")
	}
	return &Agent{
		self: self, directory: directory, gate: gate, clock: clock, logger: logger, metrics: metrics, conn: conn,
		started: uint64(time.Now().UnixNano()), peers: map[string]*peer{},
	}, nil
}

// Close gives the address up, for an agent that was not run.
func (a *Agent) Close() { _ = a.conn.Close() }

// Run tells and hears until the context ends.
func (a *Agent) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = a.conn.Close() })
	defer stop()
	var group sync.WaitGroup
	group.Go(a.hear)
	group.Go(func() { a.enlist(ctx) })
	group.Go(func() { periodic.Run(ctx, beatInterval, a.beat) })
	group.Wait()
}

// Changed tells the others soon. It never blocks.
func (a *Agent) Changed() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.pending {
		return
	}
	a.pending = true
	time.AfterFunc(flushDelay, a.flush)
}

func (a *Agent) flush() {
	a.mutex.Lock()
	a.pending = false
	a.mutex.Unlock()
	var shares []placement.LoadUpdate
	a.gate.Do(func(s *placement.Scheduler, now time.Duration) { shares = s.LoadUpdates(now, false) })
	if len(shares) > 0 {
		a.tell(shares, false, nil)
	}
}

// tell sends one datagram to each node.
func (a *Agent) tell(shares []placement.LoadUpdate, whole bool, news *fleet.Update) {
	claims := a.Beliefs.Claims()
	a.mutex.Lock()
	a.sequence++
	m := message{
		Node: a.self.Name, Incarnation: a.started, Sequence: a.sequence, Whole: whole,
		SentAt: a.clock(), Claims: claims, Leaving: a.leaving, Shares: shares, News: news,
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

// beat tells all of this node's totals.
func (a *Agent) beat() {
	var shares []placement.LoadUpdate
	a.gate.Do(func(s *placement.Scheduler, now time.Duration) { shares = s.LoadUpdates(now, true) })
	a.tell(shares, true, nil)
	a.lookAround()
}

// lookAround drops what silent nodes had told and counts those that share limits.
func (a *Agent) lookAround() {
	a.mutex.Lock()
	var silent []string
	for name, p := range a.peers {
		age := time.Since(p.heardAt)
		if age > forgetAfter {
			delete(a.peers, name)
		}
		if age > silentAfter && !p.silent {
			p.silent = true
			silent = append(silent, name)
		}
	}
	a.mutex.Unlock()
	for _, name := range silent {
		a.logger.Warn().Str("peer", name).Msg("node is silent")
		a.gate.Do(func(s *placement.Scheduler, _ time.Duration) { s.RemoveNode(name) })
	}
	a.countNodes()
}

func (a *Agent) countNodes() {
	a.mutex.Lock()
	nodes := 1 + len(a.peers)
	changed := nodes != a.nodes
	a.nodes = nodes
	a.mutex.Unlock()
	if changed {
		a.OnNodes(nodes)
	}
}

func (a *Agent) hear() {
	buffer := make([]byte, maxDatagram)
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
			a.take(m, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		}
	}
}

// take merges a datagram. Totals of an older one are passed over; what it adds is
// not.
func (a *Agent) take(m *message, from netip.AddrPort) {
	a.mutex.Lock()
	p := a.peers[m.Node]
	if p == nil {
		p = &peer{}
		a.peers[m.Node] = p
		a.logger.Info().Str("peer", m.Node).Stringer("address", from).Msg("node met")
	}
	if m.Incarnation < p.incarnation {
		a.mutex.Unlock()
		return
	}
	reborn := m.Incarnation > p.incarnation
	older := !reborn && m.Sequence <= p.sequence
	p.address, p.incarnation, p.heardAt, p.silent = from, m.Incarnation, time.Now(), false
	if offset := a.clock() - m.SentAt; reborn || offset < p.offset {
		p.offset = offset
	}
	if reborn {
		p.firstAt = time.Now()
	}
	if !older {
		p.sequence, p.leaving = m.Sequence, m.Leaving
		p.freshAt = min(m.Claims[0].FreshAt, m.Claims[1].FreshAt) + p.offset
	}
	claims, trusted := m.Claims, time.Since(p.firstAt) > trustAfter
	for i := range claims {
		claims[i].FreshAt += p.offset
	}
	if m.News != nil {
		m.News.FreshAt += p.offset
	}
	a.mutex.Unlock()
	if trusted && m.News != nil {
		a.Beliefs.Learn(m.News)
	}
	if trusted {
		a.Beliefs.Confirm(claims)
	}
	a.gate.Do(func(s *placement.Scheduler, now time.Duration) {
		if reborn {
			s.RemoveNode(m.Node)
		}
		if !older {
			s.ApplyLoadUpdates(now, m.Node, m.Shares, m.Whole)
		}
	})
}

// Live names the nodes in touch, without this one.
func (a *Agent) Live() []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	names := make([]string, 0, len(a.peers))
	for name, p := range a.peers {
		if p.incarnation != 0 && !p.leaving && time.Since(p.heardAt) < silentAfter {
			names = append(names, name)
		}
	}
	return names
}

// FresherPeer reports whether a node in touch has beliefs younger than age.
func (a *Agent) FresherPeer(age time.Duration) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, p := range a.peers {
		if time.Since(p.heardAt) < silentAfter && a.clock()-p.freshAt < age {
			return true
		}
	}
	return false
}

// enlist writes this node to the list and reads the others, again now and then.
func (a *Agent) enlist(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		pause := listInterval
		if err := a.meet(ctx, &registered); err != nil {
			a.logger.Warn().Err(err).Msg("list of nodes not reached")
			pause = registerPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (a *Agent) meet(ctx context.Context, registered *bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
			a.peers[node.Name] = &peer{address: node.Address, heardAt: time.Now()}
		}
	}
	a.mutex.Unlock()
	a.countNodes()
	a.tell(nil, false, nil)
	return nil
}

// Tells reports whether this node is one of those that ask the store in short turns
// and tell the others: the first by name of those whose beliefs are fresh.
func (a *Agent) Tells() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	before := 0
	for name, p := range a.peers {
		fresh := p.incarnation != 0 && !p.leaving && time.Since(p.heardAt) < silentAfter && a.clock()-p.freshAt < tellerAge
		if fresh && name < a.self.Name {
			before++
		}
	}
	return before < tellers
}

// BeliefsChanged tells the others at once, if this node is one of those that do.
// News that are too long are left out: the others then ask the store.
func (a *Agent) BeliefsChanged(news *fleet.Update) {
	if news != nil && len(news.Changes) > maxNews {
		news = nil
	}
	if a.Tells() {
		a.tell(nil, false, news)
	}
}

// Leave tells the others that this node shuts down.
func (a *Agent) Leave() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.leaving = true
}
