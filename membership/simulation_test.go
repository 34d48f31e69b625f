package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/membership"
)

const (
	callTimeout = 2 * time.Second
	// pollTicks is the number of ticks between checks of the poller role.
	pollTicks    = 3
	storeLatency = 10 * time.Millisecond
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a scheduled step; sequence breaks ties, so that a run is reproducible.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// node is a simulated member in virtual time. Membership state, configuration
// spread and codec are the real ones; there are no sockets.
type node struct {
	member                membership.Member
	state                 *membership.State
	spread                *configuration.RefreshPolicy
	up, paused            bool
	generation            int
	inbox                 []func()
	hasSite, fetching     bool
	version               uint64
	inForceSince          time.Time
	polls                 int
	bytesOut, bytesIn     int
	packetsOut, packetsIn int
	busy                  time.Duration
}

// network simulates the nodes of a cluster in one process and carries their
// sealed datagrams with delay, loss, duplication and partitions.
type network struct {
	t         testing.TB
	now       time.Time
	rand      *rand.Rand
	queue     events
	sequence  int
	nodes     []*node
	byAddress map[netip.AddrPort]*node
	codec     *membership.Codec
	// loss and duplication are probabilities per datagram.
	loss, duplication float64
	// cut reports whether a partition separates two nodes.
	cut          func(a, b *node) bool
	storeUp      bool
	storeVersion uint64
	// listedNodes is how many nodes the platform's VM list names; they are seeds as
	// well as the first three.
	listedNodes int
}

func newNetwork(t testing.TB, seed uint64) *network {
	codec, err := membership.NewCodec("test-key")
	if err != nil {
		t.Fatal(err)
	}
	return &network{
		t: t, now: epoch, codec: codec,
		rand:      rand.New(rand.NewPCG(seed, seed)),
		byAddress: map[netip.AddrPort]*node{},
		cut:       func(_, _ *node) bool { return false },
		storeUp:   true, storeVersion: 1,
	}
}

func (n *network) schedule(delay time.Duration, run func()) {
	n.sequence++
	heap.Push(&n.queue, event{at: n.now.Add(delay), sequence: n.sequence, run: run})
}

func (n *network) run(length time.Duration) {
	until := n.now.Add(length)
	for len(n.queue) > 0 && !n.queue[0].at.After(until) {
		next := heap.Pop(&n.queue).(event)
		n.now = next.at
		next.run()
	}
	n.now = until
}

// add creates and starts a node; the first three nodes are every node's seeds.
func (n *network) add(dataCentre, region string) *node {
	index := len(n.nodes)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 7000)
	added := &node{member: membership.Member{
		Name:       fmt.Sprintf("entry-%s-%03d", dataCentre, index),
		DataCentre: dataCentre, Region: region, Address: address,
	}}
	n.nodes = append(n.nodes, added)
	n.byAddress[address] = added
	n.start(added)
	return added
}

// start starts a node with empty state.
func (n *network) start(b *node) {
	b.generation++
	generation := b.generation
	b.up, b.paused, b.hasSite, b.fetching = true, false, false, false
	b.version, b.inbox, b.inForceSince = 0, nil, time.Time{}
	b.state = membership.New(b.member, n.now, rand.New(rand.NewPCG(n.rand.Uint64(), 1)))
	b.spread = configuration.NewRefreshPolicy(rand.New(rand.NewPCG(n.rand.Uint64(), 2)))
	var seeds []netip.AddrPort
	for _, seed := range n.nodes[:min(max(3, n.listedNodes), len(n.nodes))] {
		seeds = append(seeds, seed.member.Address)
	}
	b.state.SetSeeds(seeds)
	var tick func()
	ticks := 0
	tick = func() {
		if b.generation != generation || !b.up {
			return
		}
		if !b.paused {
			n.stepAndSend(b, func() []membership.Packet { return b.state.Tick(n.now) })
			ticks++
			n.stepFollower(b, ticks%pollTicks == 0)
		}
		n.schedule(membership.TickInterval, tick)
	}
	n.schedule(time.Duration(n.rand.Int64N(int64(membership.TickInterval))), tick)
}

func (n *network) kill(b *node) { b.up = false }

func (n *network) resume(b *node) {
	b.paused = false
	for _, deliver := range b.inbox {
		deliver()
	}
	b.inbox = nil
}

// stepAndSend runs a step of a node and sends the packets that it returns. The
// real time spent is added to busy, which is only printed.
func (n *network) stepAndSend(b *node, step func() []membership.Packet) {
	start := time.Now()
	packets := step()
	datagrams := make([][]byte, len(packets))
	for i, packet := range packets {
		datagram, err := n.codec.Seal(packet.Message)
		if err != nil {
			n.t.Fatal(err)
		}
		if len(datagram) > membership.MaxDatagramBytes {
			n.t.Fatalf("datagram of %d bytes exceeds the limit (message kind %d)", len(datagram), packet.Message.Kind)
		}
		datagrams[i] = datagram
	}
	b.busy += time.Since(start)
	for i, packet := range packets {
		n.send(b, packet.To, datagrams[i])
	}
}

func (n *network) send(from *node, to netip.AddrPort, datagram []byte) {
	from.packetsOut++
	from.bytesOut += len(datagram) + headerBytes
	target := n.byAddress[to]
	if target == nil || n.cut(from, target) {
		return
	}
	copies := 1
	if n.rand.Float64() < n.duplication {
		copies = 2
	}
	for range copies {
		if n.rand.Float64() >= n.loss {
			n.schedule(n.delay(from, target), func() { n.deliver(from, target, datagram) })
		}
	}
}

// headerBytes is the size of a datagram's IPv4 and UDP headers.
const headerBytes = 28

// delay returns a random one-way delay that varies enough to reorder datagrams.
func (n *network) delay(a, b *node) time.Duration {
	base := 500 * time.Microsecond
	if a.member.DataCentre != b.member.DataCentre {
		base = 4 * time.Millisecond
	}
	if a.member.Region != b.member.Region {
		base = 40 * time.Millisecond
	}
	return base + time.Duration(n.rand.Int64N(int64(2*base)))
}

func (n *network) deliver(from, to *node, datagram []byte) {
	if !to.up {
		return
	}
	if to.paused {
		to.inbox = append(to.inbox, func() { n.deliver(from, to, datagram) })
		return
	}
	to.packetsIn++
	to.bytesIn += len(datagram) + headerBytes
	n.stepAndSend(to, func() []membership.Packet {
		message, err := n.codec.Open(datagram)
		if err != nil {
			n.t.Fatal(err)
		}
		if !to.hasSite || message.SiteVersion > to.version {
			to.spread.RecordPeerVersion(from.member.Address, message.SiteVersion)
		}
		return to.state.Receive(n.now, from.member.Address, message)
	})
}

// stepFollower does the work of the node's configuration follower, with its calls
// as delayed events.
func (n *network) stepFollower(b *node, poll bool) {
	view := configuration.RefreshState{HasSite: b.hasSite, Version: b.version, Isolated: b.state.Isolated(n.now)}
	view.IsPoller = poll && b.state.Owns(n.now, configuration.PollerRole, membership.RegionScope)
	if !b.hasSite {
		for _, peer := range b.state.Peers(n.now) {
			view.Peers = append(view.Peers, peer.Address)
		}
	}
	if poll && b.spread.ShouldPoll(n.now, view) {
		b.polls++
		n.schedule(storeLatency, func() {
			if n.storeUp {
				n.adopt(b, n.storeVersion)
			}
		})
	}
	if b.fetching {
		return
	}
	if from, due := b.spread.NextFetch(n.now, view); due {
		n.fetch(b, from)
	}
}

func (n *network) fetch(b *node, from netip.AddrPort) {
	b.fetching = true
	generation := b.generation
	peer := n.byAddress[from]
	finish := func(delay time.Duration, answered bool) {
		n.schedule(delay, func() {
			if b.generation != generation {
				return
			}
			b.fetching = false
			if answered && peer.hasSite && (!b.hasSite || peer.version > b.version) {
				n.adopt(b, peer.version)
				return
			}
			b.spread.FetchFailed(from)
		})
	}
	if peer == nil || !peer.up || peer.paused || n.cut(b, peer) {
		finish(callTimeout, false)
		return
	}
	// TCP retransmits a lost segment, which only adds delay.
	callDuration := 3 * n.delay(b, peer)
	for n.rand.Float64() < n.loss {
		callDuration += 200 * time.Millisecond
	}
	finish(callDuration, callDuration < callTimeout)
}

func (n *network) adopt(b *node, version uint64) {
	if !b.up || b.paused || b.hasSite && version <= b.version {
		return
	}
	b.hasSite, b.version, b.inForceSince = true, version, n.now
	b.spread.Adopted()
	n.stepAndSend(b, func() []membership.Packet { return b.state.SetSiteVersion(version) })
}

// addNodes adds count nodes, distributed evenly over data centres and regions as
// in the largest cluster.
func (n *network) addNodes(count, dataCentres, regions int) {
	for i := range count {
		dataCentre := i % dataCentres
		n.add(fmt.Sprintf("dc-%d", dataCentre), fmt.Sprintf("region-%d", dataCentre%regions))
	}
}

// introduceAll sends every node sync pages with all members, as a join does, so
// that a test need not wait for joins.
func (n *network) introduceAll() {
	var pages []membership.Message
	for i, b := range n.nodes {
		if i%16 == 0 {
			pages = append(pages, membership.Message{Kind: membership.Sync, From: "introduction", DataCentre: "none"})
		}
		page := &pages[len(pages)-1]
		page.Updates = append(page.Updates, b.state.Self())
	}
	for _, b := range n.nodes {
		for _, page := range pages {
			b.state.Receive(n.now, b.member.Address, page)
		}
	}
	n.run(introductionTime)
}

// introductionTime is long enough for the updates of the start to be sent out.
const introductionTime = 10 * time.Second

// liveCount returns the number of live members in a node's view.
func (n *network) liveCount(b *node) int {
	return len(b.state.Live(n.now, membership.ClusterScope))
}

// awaitAgreement runs until every running node's view holds exactly the running
// nodes as live, and returns how long that took. It fails the test after the limit.
func (n *network) awaitAgreement(limit time.Duration) time.Duration {
	n.t.Helper()
	start := n.now
	for n.now.Sub(start) < limit {
		if n.agreed() {
			return n.now.Sub(start)
		}
		n.run(100 * time.Millisecond)
	}
	running := 0
	counts := map[int]int{}
	for _, b := range n.nodes {
		if b.up {
			running++
			counts[n.liveCount(b)]++
		}
	}
	n.t.Fatalf("views disagree after %v: %d nodes run; number of nodes by live members in view: %v", limit, running, counts)
	return 0
}

func (n *network) agreed() bool {
	running := 0
	for _, b := range n.nodes {
		if b.up {
			running++
		}
	}
	for _, b := range n.nodes {
		if !b.up {
			continue
		}
		live := b.state.Live(n.now, membership.ClusterScope)
		if len(live) != running {
			return false
		}
		for _, member := range live {
			if !n.byAddress[member.Address].up {
				return false
			}
		}
	}
	return true
}
