package writerpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace/noop"
	"storj.io/drpc"

	"github.com/wigeontiller/wigeontiller/peer"
	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/grouped"
	"github.com/wigeontiller/wigeontiller/storage/memory"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// patience is a hang guard.
const patience = 30 * time.Second

// table is one that can be held up and can lose answers.
type table struct {
	*memory.Platform
	mutex sync.Mutex
	// gate holds transactions back until it is closed.
	gate chan struct{}
	// lose is how many answers to lose after the effect.
	lose int
}

func (t *table) Transact(ctx context.Context, writes []storage.Write) error {
	t.mutex.Lock()
	gate, lost := t.gate, t.lose > 0
	t.lose--
	t.mutex.Unlock()
	if gate != nil {
		<-gate
	}
	err := t.Platform.Transact(ctx, writes)
	if lost {
		return storage.ErrUnknown
	}
	return err
}

func (t *table) setGate(gate chan struct{}) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.gate = gate
}

// members names the first of its order that isn't avoided.
type members struct {
	order []Peer
	self  string
}

func (m members) Writer(avoid func(string) bool) Peer {
	for _, p := range m.order {
		if p.Name == m.self {
			return Peer{Name: p.Name, Self: true}
		}
		if !avoid(p.Name) {
			return p
		}
	}
	return Peer{Name: m.self, Self: true}
}

// fleet is some nodes that name the first as their writer.
type fleet struct {
	nodes []*Node
	stops []context.CancelFunc
	table *table
}

func newFleet(t *testing.T, count int) *fleet {
	t.Helper()
	f := &fleet{table: &table{Platform: memory.New()}}
	var order []Peer
	var listeners []net.Listener
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		listeners = append(listeners, listener)
		order = append(order, Peer{Name: fmt.Sprint(i), Address: netip.MustParseAddrPort(listener.Addr().String())})
	}
	for i, listener := range listeners {
		f.start(t, listener, members{order: order, self: fmt.Sprint(i)})
	}
	return f
}

func (f *fleet) start(t *testing.T, listener net.Listener, m members) {
	t.Helper()
	tracer := noop.NewTracerProvider().Tracer("")
	pool := peer.NewPool(nil, tracer)
	node := New(Config{
		Table: f.table, Members: m, Metrics: telemetry.NewMetrics(), Logger: zerolog.Nop(),
		Dial: func(ctx context.Context, to netip.AddrPort) drpc.Conn { return pool.Conn(ctx, to) },
	})
	node.SetFleet(1, 1)
	server := peer.NewServer(nil, tracer)
	is.New(t).NoErr(server.Register(node.Register))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { node.Run(ctx) })
	running.Go(func() { _ = server.Serve(ctx, listener) })
	stop := func() {
		cancel()
		running.Wait()
		_ = pool.Close()
	}
	t.Cleanup(stop)
	f.nodes = append(f.nodes, node)
	f.stops = append(f.stops, stop)
}

func write(node *Node, key string, before time.Time) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return node.Write(ctx, grouped.Outcome, storage.Write{Key: key, Value: []byte("v")}, before)
}

func inTime() time.Time { return time.Now().Add(time.Hour) }

func TestMain(m *testing.M) {
	for class := range waits {
		waits[class] = patience
	}
	m.Run()
}

func TestWhatWaitsGoesTogether(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	is.NoErr(write(f.nodes[0], "taken", inTime()))
	gate := make(chan struct{})
	f.table.setGate(gate)
	var writes sync.WaitGroup
	errs := make([]error, 120)
	for i := range errs {
		key := fmt.Sprint("row", i)
		if i == 50 {
			key = "taken"
		}
		writes.Go(func() { errs[i] = write(f.nodes[0], key, inTime()) })
	}
	eventually(t, "all wait", func() bool { return f.waiting(0) == len(errs) })
	f.table.setGate(nil)
	close(gate)
	writes.Wait()
	for i, err := range errs {
		is.Equal(errors.Is(err, storage.ErrConflict), i == 50)
		is.True(err == nil || i == 50)
	}
	transactions, reads := f.table.Calls()
	const groups = 120/grouped.GroupRows + 1
	is.True(transactions <= 1+storeCalls+groups+2) // those sent at once, the groups, and what a conflict costs
	is.True(reads <= 1)
}

func TestOneNodeWritesForAll(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	is.NoErr(write(f.nodes[0], "taken", inTime()))
	var writes sync.WaitGroup
	errs := make([]error, 60)
	for i := range errs {
		writes.Go(func() { errs[i] = write(f.nodes[i%3], fmt.Sprint("row", i), inTime()) })
	}
	writes.Wait()
	for _, err := range errs {
		is.NoErr(err)
	}
	is.True(errors.Is(write(f.nodes[2], "taken", inTime()), storage.ErrConflict))
	is.Equal(f.nodes[1].config.Metrics.CounterValue(`wigeontiller_claim_groups_total{kind="write"}`), int64(0))
	is.Equal(f.nodes[2].config.Metrics.CounterValue(`wigeontiller_claim_groups_total{kind="write"}`), int64(0))
}

// waiting is how many writes a node has been asked for and not answered.
func (f *fleet) waiting(i int) int {
	n := f.nodes[i]
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.results)
}

func TestNextWriterTakesOverFromOneThatDied(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	is.NoErr(write(f.nodes[2], "before", inTime()))
	f.stops[0]()
	for i := range 10 {
		// A connection that was open may fail after the send: unknown, then read back.
		err := write(f.nodes[2], fmt.Sprint("row", i), inTime())
		is.True(err == nil || errors.Is(err, storage.ErrUnknown))
	}
	is.NoErr(write(f.nodes[2], "after", inTime()))
	is.True(f.nodes[1].config.Metrics.CounterValue(`wigeontiller_claim_groups_total{kind="write"}`) > 0)
	f.stops[1]()
	_ = write(f.nodes[2], "lost", inTime())
	is.NoErr(write(f.nodes[2], "own", inTime())) // nobody is left: with its own tokens
}

func TestReadsGoTogether(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	is.NoErr(write(f.nodes[0], "row", inTime()))
	_, before := f.table.Calls()
	n := f.nodes[1]
	var reads sync.WaitGroup
	rows, errs := make([]storage.Row, 100), make([]error, 100)
	for i := range rows {
		key := "row"
		if i%2 == 1 {
			key = fmt.Sprint("missing", i)
		}
		reads.Go(func() { rows[i], errs[i] = n.Get(context.Background(), grouped.Claim, key) })
	}
	reads.Wait()
	for i := range rows {
		is.Equal(errors.Is(errs[i], storage.ErrNotFound), i%2 == 1)
		is.Equal(rows[i].Version, uint64(1-i%2))
		is.Equal(len(rows[i].Value), 1-i%2)
	}
	_, after := f.table.Calls()
	is.True(after > before && after-before <= 100)
}

func TestWritesThatBelongTogetherStayTogether(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	is.NoErr(write(f.nodes[0], "taken", inTime()))
	ctx := context.Background()
	both := func(first, second string) error {
		return f.nodes[1].Write(ctx, grouped.Upkeep, storage.Write{Key: first}, inTime(), storage.Write{Key: second})
	}
	is.NoErr(both("a", "b"))
	is.True(errors.Is(both("c", "taken"), storage.ErrConflict))
	rows, err := f.table.BatchGet(ctx, []string{"a", "b", "c"})
	is.NoErr(err)
	is.Equal(len(rows), 2)
}

func TestLostAnswersAreUnknownForEachMember(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	f.table.lose = 1
	is.True(errors.Is(write(f.nodes[1], "row", inTime()), storage.ErrUnknown))
	row, err := f.table.Get(context.Background(), "row")
	is.NoErr(err) // it had an effect
	is.Equal(row.Version, uint64(1))
}

func TestForwardedWriteIsNotSentLate(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	is.True(errors.Is(write(f.nodes[1], "late", time.Now()), storage.ErrUnavailable))
	// The message itself is late: it left its sender an hour ago.
	sent := time.Now().Add(-time.Hour)
	row := &Row{Key: "delayed", BeforeMs: sent.Add(time.Minute).UnixMilli(), RemainingMs: 60_000, WaitMs: 1000}
	response, err := service{node: f.nodes[0]}.Write(context.Background(), &WriteRequest{Rows: []*Row{row}})
	is.NoErr(err)
	is.Equal(response.Outcomes[0], Outcome_REFUSED)
	transactions, _ := f.table.Calls()
	is.Equal(transactions, 0)
}

func TestGivenUpWriteIsUnknownOnlyOnceSent(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	gate := make(chan struct{})
	f.table.gate = gate
	ctx, giveUp := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- f.nodes[0].Write(ctx, grouped.Claim, storage.Write{Key: "sent"}, inTime()) }()
	eventually(t, "it is on its way", func() bool {
		f.nodes[0].mutex.Lock()
		defer f.nodes[0].mutex.Unlock()
		return f.nodes[0].writes.storing == 1
	})
	second := make(chan error, 1)
	go func() { second <- f.nodes[0].Write(ctx, grouped.Claim, storage.Write{Key: "sent"}, inTime()) }()
	eventually(t, "the other waits for it", func() bool { return f.waiting(0) == 2 })
	giveUp()
	is.True(errors.Is(<-result, storage.ErrUnknown))
	is.True(errors.Is(<-second, storage.ErrUnavailable)) // the same key is not sent twice at once
	close(gate)
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}
