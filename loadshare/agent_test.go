package loadshare

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// directory is a list of nodes in memory.
type directory struct {
	mutex sync.Mutex
	nodes []Node
}

func (d *directory) Register(_ context.Context, node Node) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.nodes = append(d.nodes, node)
	return nil
}

func (d *directory) Nodes(context.Context) ([]Node, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return append([]Node(nil), d.nodes...), nil
}

// gate runs a scheduler under a lock.
type gate struct {
	mutex     sync.Mutex
	scheduler *placement.Scheduler
	started   time.Time
}

func (g *gate) Do(f func(s *placement.Scheduler, now time.Duration)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	f(g.scheduler, time.Since(g.started))
}

type node struct {
	agent *Agent
	gate  *gate
	nodes chan int
	stop  func()
}

func start(t *testing.T, name string, list *directory) *node {
	t.Helper()
	free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(free.LocalAddr().String())
	_ = free.Close()
	g := &gate{scheduler: placement.New(placement.Config{}), started: time.Now()}
	g.scheduler.Configure(fleet.View{Site: &fleet.Site{}, Upstreams: map[string]*fleet.Upstream{"u": {ID: "u"}}})
	agent, err := Listen(Node{Name: name, Address: address}, list, g, zerolog.Nop(), telemetry.NewMetrics())
	if err != nil {
		t.Fatal(err)
	}
	n := &node{agent: agent, gate: g, nodes: make(chan int, 100)}
	agent.OnNodes = func(nodes int) { n.nodes <- nodes }
	agent.BeliefsAge = func() time.Duration { return 100 * time.Millisecond }
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

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal(what)
}

func TestNodesMeetAndPart(t *testing.T) {
	list := &directory{}
	a, b := start(t, "a", list), start(t, "b", list)
	eventually(t, "a and b do not meet", func() bool { return len(a.agent.Live()) == 1 && len(b.agent.Live()) == 1 })
	eventually(t, "a does not count b", func() bool { a.agent.mutex.Lock(); defer a.agent.mutex.Unlock(); return a.agent.nodes == 2 })
	b.stop()
	eventually(t, "a does not notice that b is gone", func() bool { return len(a.agent.Live()) == 0 })
	// A silent node still counts among those that share limits.
	a.agent.mutex.Lock()
	defer a.agent.mutex.Unlock()
	is.New(t).Equal(a.agent.nodes, 2)
}

func TestALeavingNodeIsNotLive(t *testing.T) {
	list := &directory{}
	a, b := start(t, "a", list), start(t, "b", list)
	eventually(t, "a and b do not meet", func() bool { return len(a.agent.Live()) == 1 })
	b.agent.Leave()
	eventually(t, "a still counts on b", func() bool { return len(a.agent.Live()) == 0 })
}

func TestFresherPeersAreKnown(t *testing.T) {
	list := &directory{}
	a, _ := start(t, "a", list), start(t, "b", list)
	eventually(t, "b's beliefs are not known", func() bool { return a.agent.FresherPeer(5 * time.Second) })
	is.New(t).True(!a.agent.FresherPeer(time.Millisecond))
}

// direct returns an agent that is told by hand.
func direct() (*Agent, *gate) {
	g := &gate{scheduler: placement.New(placement.Config{}), started: time.Now()}
	g.scheduler.Configure(fleet.View{Site: &fleet.Site{}, Upstreams: map[string]*fleet.Upstream{"u": {ID: "u"}}})
	return &Agent{self: Node{Name: "self"}, gate: g, logger: zerolog.Nop(), peers: map[string]*peer{}}, g
}

func TestOlderDatagramsDoNotCount(t *testing.T) {
	is := is.New(t)
	a, _ := direct()
	a.take(&message{Node: "b", Incarnation: 5, Sequence: 9, BeliefsAge: time.Second}, netip.AddrPort{})
	a.take(&message{Node: "b", Incarnation: 5, Sequence: 8, BeliefsAge: 2 * time.Second}, netip.AddrPort{})
	is.Equal(a.peers["b"].beliefsAge, time.Second)
	a.take(&message{Node: "b", Incarnation: 4, Sequence: 99, BeliefsAge: 3 * time.Second}, netip.AddrPort{})
	is.Equal(a.peers["b"].beliefsAge, time.Second) // of a process that is gone
	a.take(&message{Node: "b", Incarnation: 6, Sequence: 1, BeliefsAge: 4 * time.Second}, netip.AddrPort{})
	is.Equal(a.peers["b"].beliefsAge, 4*time.Second)
}
