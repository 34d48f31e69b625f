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

// clock is the steady clock of the test's process.
func clock() time.Duration { return time.Since(processStart) + time.Hour }

var processStart = time.Now()

// beliefs are 100 ms old, and note what they are told.
type beliefs struct {
	mutex sync.Mutex
	heard [2]fleet.Watermark
	news  []*fleet.Update
}

func (b *beliefs) Claims() [2]fleet.Watermark {
	at := clock() - 100*time.Millisecond
	return [2]fleet.Watermark{{LastChange: 3, FreshAt: at}, {LastChange: 4, FreshAt: at}}
}

func (b *beliefs) Confirm(claims [2]fleet.Watermark) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.heard = claims
}

func (b *beliefs) Learn(news *fleet.Update) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.news = append(b.news, news)
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
	g.scheduler.UpdateView(fleet.View{Configuration: &fleet.Configuration{}, Upstreams: map[string]*fleet.Upstream{"u": {ID: "u"}}})
	agent, err := Listen(Node{Name: name, Address: address}, list, g, clock, zerolog.Nop(), telemetry.NewMetrics())
	if err != nil {
		t.Fatal(err)
	}
	n := &node{agent: agent, gate: g, nodes: make(chan int, 100)}
	agent.OnNodes = func(nodes int) { n.nodes <- nodes }
	agent.Beliefs = &beliefs{}
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
func direct() *Agent {
	g := &gate{scheduler: placement.New(placement.Config{}), started: time.Now()}
	g.scheduler.UpdateView(fleet.View{Configuration: &fleet.Configuration{}, Upstreams: map[string]*fleet.Upstream{"u": {ID: "u"}}})
	return &Agent{self: Node{Name: "self"}, gate: g, clock: clock, Beliefs: &beliefs{}, logger: zerolog.Nop(), peers: map[string]*peer{}}
}

// claimed is a datagram whose claims were fresh at a time.
func claimed(incarnation, sequence uint64, sent, fresh time.Duration) *message {
	return &message{Node: "b", Incarnation: incarnation, Sequence: sequence, SentAt: sent, Claims: [2]fleet.Watermark{{FreshAt: fresh}, {FreshAt: fresh}}}
}

func TestOlderDatagramsDoNotCount(t *testing.T) {
	is := is.New(t)
	a := direct()
	now := clock()
	near := func(want time.Duration) bool {
		d := a.peers["b"].freshAt - want
		return d > -time.Second/4 && d < time.Second/4
	}
	a.take(claimed(5, 9, now, now-time.Second), netip.AddrPort{})
	a.take(claimed(5, 8, now, now-2*time.Second), netip.AddrPort{})
	is.True(near(now - time.Second))
	a.take(claimed(4, 99, now, now-3*time.Second), netip.AddrPort{})
	is.True(near(now - time.Second)) // of a process that is gone
	a.take(claimed(6, 1, now, now-4*time.Second), netip.AddrPort{})
	is.True(near(now - 4*time.Second))
}

func TestADatagramThatLayLongMakesNothingFresh(t *testing.T) {
	is := is.New(t)
	a := direct()
	// The peer's clock is 7 s ahead of this one's; three datagrams come at once.
	const ahead = 7 * time.Second
	for i := range uint64(3) {
		now := clock()
		a.take(claimed(1, i, now+ahead, now+ahead), netip.AddrPort{})
	}
	heard := a.Beliefs.(*beliefs)
	is.Equal(heard.heard[0].FreshAt, time.Duration(0)) // it was not heard for long enough
	a.peers["b"].firstAt = time.Now().Add(-trustAfter - time.Second)
	// One lay 6 s in the buffer of a process that stood still.
	now := clock()
	a.take(claimed(1, 9, now+ahead-6*time.Second, now+ahead-6*time.Second), netip.AddrPort{})
	age := clock() - heard.heard[0].FreshAt
	is.True(age > 5900*time.Millisecond)
	is.True(age < 6100*time.Millisecond)
}

func TestTheFirstByNameTell(t *testing.T) {
	is := is.New(t)
	a := direct()
	a.self.Name = "m"
	is.True(a.Tells())
	now := clock()
	for i, name := range []string{"x", "b", "c"} {
		m := claimed(1, 1, now, now)
		m.Node = name
		a.take(m, netip.AddrPort{})
		is.Equal(a.Tells(), i < 2) // name
	}
	stale := claimed(1, 2, now, now-5*time.Second)
	a.take(stale, netip.AddrPort{})
	is.True(a.Tells()) // b does not reach the store
}
