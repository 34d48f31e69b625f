package loadshare

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

var errDirectoryAway = errors.New("directory is away")

// memoryDirectory is an in-memory Directory.
type memoryDirectory struct {
	mutex    sync.Mutex
	nodes    []Node
	revision int64
	// away makes each call fail; writes counts the others.
	away   bool
	writes int
	// once is a node that writes its entry only once, as the older version does.
	once string
}

func (d *memoryDirectory) Register(_ context.Context, node Node) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.away {
		return errDirectoryAway
	}
	if node.Name == d.once && slices.ContainsFunc(d.nodes, func(n Node) bool { return n.Name == node.Name }) {
		return nil
	}
	d.writes++
	d.revision++
	node.Revision = d.revision
	d.nodes = append(slices.DeleteFunc(d.nodes, func(n Node) bool { return n.Name == node.Name }), node)
	return nil
}

func (d *memoryDirectory) RemoveNodes(_ context.Context, nodes []Node) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.writes++
	for _, node := range nodes {
		if !slices.Contains(d.nodes, node) {
			return errDirectoryAway
		}
	}
	d.nodes = slices.DeleteFunc(d.nodes, func(n Node) bool { return slices.Contains(nodes, n) })
	return nil
}

func (d *memoryDirectory) ReadDirectory(context.Context) (Entries, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.away {
		return Entries{}, errDirectoryAway
	}
	return Entries{Nodes: append([]Node(nil), d.nodes...), At: clock()}, nil
}

// lockedScheduler runs a scheduler under a lock.
type lockedScheduler struct {
	mutex     sync.Mutex
	scheduler *placement.Scheduler
	started   time.Time
}

func (g *lockedScheduler) Do(f func(s *placement.Scheduler, now time.Duration)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	f(g.scheduler, time.Since(g.started))
}

// clock is the time since the Unix epoch; it is positive in virtual time too.
func clock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// fakeView is 100 ms old and records the claims and updates that it receives.
type fakeView struct {
	mutex   sync.Mutex
	claims  [2]fleet.Watermark
	updates []*fleet.Update
}

func (v *fakeView) Claims() [2]fleet.Watermark {
	at := clock() - 100*time.Millisecond
	return [2]fleet.Watermark{{LastChange: 3, FreshAt: at}, {LastChange: 4, FreshAt: at}}
}

func (v *fakeView) Confirm(claims [2]fleet.Watermark) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.claims = claims
}

func (v *fakeView) ApplyUpdate(update *fleet.Update) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.updates = append(v.updates, update)
}

type testNode struct {
	agent *Agent
	gate  *lockedScheduler
	nodes chan int
	stop  func()
}

func startNode(t *testing.T, name string, directory *memoryDirectory) *testNode {
	t.Helper()
	free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(free.LocalAddr().String())
	_ = free.Close()
	g := &lockedScheduler{scheduler: placement.New(placement.Config{}), started: time.Now()}
	g.scheduler.UpdateView(fleet.View{Configuration: &fleet.Configuration{}, Upstreams: map[string]*fleet.Upstream{"u": {ID: "u"}}})
	agent, err := Listen(Node{Name: name, Address: address}, directory, g, clock, zerolog.Nop(), telemetry.NewMetrics())
	if err != nil {
		t.Fatal(err)
	}
	n := &testNode{agent: agent, gate: g, nodes: make(chan int, 100)}
	agent.OnNodeCount = func(nodes int) { n.nodes <- nodes }
	agent.View = &fakeView{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		agent.Run(ctx)
	}()
	n.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(n.stop)
	return n
}

// livePeers returns the names of the responsive peers that are not shutting down.
func (a *Agent) livePeers() []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var names []string
	for name, p := range a.peers {
		if p.live(time.Now()) {
			names = append(names, name)
		}
	}
	return names
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal(what)
}

func TestAgentDiscoversPeerAndDetectsItsStop(t *testing.T) {
	directory := &memoryDirectory{}
	a, b := startNode(t, "a", directory), startNode(t, "b", directory)
	eventually(t, "a and b did not discover each other", func() bool { return len(a.agent.livePeers()) == 1 && len(b.agent.livePeers()) == 1 })
	eventually(t, "a did not count b", func() bool { a.agent.mutex.Lock(); defer a.agent.mutex.Unlock(); return a.agent.nodeCount == 2 })
	b.stop()
	eventually(t, "a did not detect that b stopped", func() bool { return len(a.agent.livePeers()) == 0 })
	// An unresponsive node still counts among those that share limits.
	a.agent.mutex.Lock()
	defer a.agent.mutex.Unlock()
	is.New(t).Equal(a.agent.nodeCount, 2)
}

func TestAgentExcludesPeerThatShutsDown(t *testing.T) {
	directory := &memoryDirectory{}
	a, b := startNode(t, "a", directory), startNode(t, "b", directory)
	eventually(t, "a did not discover b", func() bool { return len(a.agent.livePeers()) == 1 })
	b.agent.AnnounceShutdown()
	eventually(t, "a still lists b as live", func() bool { return len(a.agent.livePeers()) == 0 })
}

func TestAgentReportsFresherPeer(t *testing.T) {
	directory := &memoryDirectory{}
	a, _ := startNode(t, "a", directory), startNode(t, "b", directory)
	eventually(t, "a did not receive the age of b's view", func() bool { return a.agent.HasFresherPeer(5 * time.Second) })
	is.New(t).True(!a.agent.HasFresherPeer(time.Millisecond))
}

// newUnconnectedAgent returns an agent without a socket; tests pass messages to handle.
func newUnconnectedAgent() *Agent {
	g := &lockedScheduler{scheduler: placement.New(placement.Config{}), started: time.Now()}
	g.scheduler.UpdateView(fleet.View{Configuration: &fleet.Configuration{}, Upstreams: map[string]*fleet.Upstream{"u": {ID: "u"}}})
	a := newAgent(Node{Name: "self"}, g, clock, zerolog.Nop(), telemetry.NewMetrics())
	a.View = &fakeView{}
	return a
}

// messageWithClaims returns a message of node b whose claims are complete up to fresh.
func messageWithClaims(incarnation, sequence uint64, sent, fresh time.Duration) *message {
	return &message{Node: "b", Incarnation: incarnation, Sequence: sequence, SentAt: sent, HasClaims: true, Claims: [2]fleet.Watermark{{FreshAt: fresh}, {FreshAt: fresh}}}
}

func TestHandleKeepsPeerFreshnessOnOlderDatagram(t *testing.T) {
	is := is.New(t)
	a := newUnconnectedAgent()
	now := clock()
	near := func(want time.Duration) bool {
		d := a.peers["b"].freshAt - want
		return d > -time.Second/4 && d < time.Second/4
	}
	a.handle(messageWithClaims(5, 9, now, now-time.Second), netip.AddrPort{})
	a.handle(messageWithClaims(5, 8, now, now-2*time.Second), netip.AddrPort{})
	is.True(near(now - time.Second))
	a.handle(messageWithClaims(4, 99, now, now-3*time.Second), netip.AddrPort{})
	is.True(near(now - time.Second)) // sent by an earlier incarnation
	a.handle(messageWithClaims(6, 1, now, now-4*time.Second), netip.AddrPort{})
	is.True(near(now - 4*time.Second))
}

func TestDelayedDatagramDoesNotRefreshView(t *testing.T) {
	is := is.New(t)
	a := newUnconnectedAgent()
	// The peer's clock is 7 s ahead of this one's; three datagrams arrive at once.
	const ahead = 7 * time.Second
	for i := range uint64(3) {
		now := clock()
		a.handle(messageWithClaims(1, i, now+ahead, now+ahead), netip.AddrPort{})
	}
	view := a.View.(*fakeView)
	is.Equal(view.claims[0].FreshAt, time.Duration(0)) // the peer is not trusted yet
	a.peers["b"].firstReceivedAt = time.Now().Add(-trustAfter - time.Second)
	// One datagram stayed in the receive buffer for 6 s while the process was suspended.
	now := clock()
	a.handle(messageWithClaims(1, 9, now+ahead-6*time.Second, now+ahead-6*time.Second), netip.AddrPort{})
	age := clock() - view.claims[0].FreshAt
	is.True(age > 5900*time.Millisecond)
	is.True(age < 6100*time.Millisecond)
}

func TestFirstNodesByNameArePublishers(t *testing.T) {
	is := is.New(t)
	a := newUnconnectedAgent()
	a.self.Name = "m"
	is.True(a.IsPublisher())
	now := clock()
	for i, name := range []string{"x", "b", "c"} {
		m := messageWithClaims(1, 1, now, now)
		m.Node = name
		a.handle(m, netip.AddrPort{})
		is.Equal(a.IsPublisher(), i < 2) // name
	}
	stale := messageWithClaims(1, 2, now, now-5*time.Second)
	a.handle(stale, netip.AddrPort{})
	is.True(a.IsPublisher()) // b's view is stale, so it does not count
}
