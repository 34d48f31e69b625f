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

// testTimeout bounds each wait, so that a test can't hang.
const testTimeout = 30 * time.Second

// faultyTable is a table that can block transactions and lose their answers.
type faultyTable struct {
	*memory.Platform
	mutex sync.Mutex
	// gate blocks transactions until it is closed.
	gate chan struct{}
	// lostAnswers is how many answers to lose after the transaction was applied.
	lostAnswers int
}

func (t *faultyTable) Transact(ctx context.Context, writes []storage.Write) error {
	t.mutex.Lock()
	gate, lost := t.gate, t.lostAnswers > 0
	t.lostAnswers--
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

func (t *faultyTable) setGate(gate chan struct{}) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.gate = gate
}

// orderedMembers selects the first peer in its order that is not avoided.
type orderedMembers struct {
	order []Peer
	self  string
}

func (m orderedMembers) Writer(avoid func(string) bool) Peer {
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

// fleet is a group of nodes with the first as their writer.
type fleet struct {
	nodes []*Node
	stops []context.CancelFunc
	table *faultyTable
}

func newFleet(t *testing.T, count int) *fleet {
	t.Helper()
	f := &fleet{table: &faultyTable{Platform: memory.New()}}
	var order []Peer
	var listeners []net.Listener
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		listeners = append(listeners, listener)
		order = append(order, Peer{Name: fmt.Sprint(i), Address: netip.MustParseAddrPort(listener.Addr().String())})
	}
	for i, listener := range listeners {
		f.start(t, listener, orderedMembers{order: order, self: fmt.Sprint(i)})
	}
	return f
}

func (f *fleet) start(t *testing.T, listener net.Listener, m orderedMembers) {
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
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return node.Write(ctx, grouped.Outcome, storage.Write{Key: key, Value: []byte("v")}, before)
}

func farDeadline() time.Time { return time.Now().Add(time.Hour) }

func TestMain(m *testing.M) {
	for class := range maxWaits {
		maxWaits[class] = testTimeout
	}
	m.Run()
}

func TestWaitingWritesShareTransactions(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	is.NoErr(write(f.nodes[0], "taken", farDeadline()))
	gate := make(chan struct{})
	f.table.setGate(gate)
	var writes sync.WaitGroup
	errs := make([]error, 120)
	for i := range errs {
		key := fmt.Sprint("row", i)
		if i == 50 {
			key = "taken"
		}
		writes.Go(func() { errs[i] = write(f.nodes[0], key, farDeadline()) })
	}
	eventually(t, "all writes wait", func() bool { return f.unanswered(0) == len(errs) })
	f.table.setGate(nil)
	close(gate)
	writes.Wait()
	for i, err := range errs {
		is.Equal(errors.Is(err, storage.ErrConflict), i == 50)
		is.True(err == nil || i == 50)
	}
	transactions, reads := f.table.Calls()
	const groups = 120/grouped.MaxGroupRows + 1
	is.True(transactions <= 1+maxStoreCalls+groups+2) // the groups sent at once, the later ones, and those that a conflict adds
	is.True(reads <= 1)
}

func TestWriterSendsWritesOfAllNodes(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	is.NoErr(write(f.nodes[0], "taken", farDeadline()))
	var writes sync.WaitGroup
	errs := make([]error, 60)
	for i := range errs {
		writes.Go(func() { errs[i] = write(f.nodes[i%3], fmt.Sprint("row", i), farDeadline()) })
	}
	writes.Wait()
	for _, err := range errs {
		is.NoErr(err)
	}
	is.True(errors.Is(write(f.nodes[2], "taken", farDeadline()), storage.ErrConflict))
	is.Equal(f.nodes[1].config.Metrics.CounterValue(`wigeontiller_claim_groups_total{kind="write"}`), int64(0))
	is.Equal(f.nodes[2].config.Metrics.CounterValue(`wigeontiller_claim_groups_total{kind="write"}`), int64(0))
}

// unanswered returns how many writes at a node have no result yet.
func (f *fleet) unanswered(i int) int {
	n := f.nodes[i]
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.results)
}

func TestNextWriterTakesOverWhenWriterStops(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	is.NoErr(write(f.nodes[2], "before", farDeadline()))
	f.stops[0]()
	for i := range 10 {
		// A call on an open connection may fail after the send: the outcome is unknown.
		err := write(f.nodes[2], fmt.Sprint("row", i), farDeadline())
		is.True(err == nil || errors.Is(err, storage.ErrUnknown))
	}
	is.NoErr(write(f.nodes[2], "after", farDeadline()))
	is.True(f.nodes[1].config.Metrics.CounterValue(`wigeontiller_claim_groups_total{kind="write"}`) > 0)
	f.stops[1]()
	_ = write(f.nodes[2], "lost", farDeadline())
	is.NoErr(write(f.nodes[2], "own", farDeadline())) // no peer is left: uses its own tokens
}

func TestReadsReturnEachMembersRow(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	is.NoErr(write(f.nodes[0], "row", farDeadline()))
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

func TestFurtherWritesApplyAtomically(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	is.NoErr(write(f.nodes[0], "taken", farDeadline()))
	ctx := context.Background()
	both := func(first, second string) error {
		return f.nodes[1].Write(ctx, grouped.Upkeep, storage.Write{Key: first}, farDeadline(), storage.Write{Key: second})
	}
	is.NoErr(both("a", "b"))
	is.True(errors.Is(both("c", "taken"), storage.ErrConflict))
	rows, err := f.table.BatchGet(ctx, []string{"a", "b", "c"})
	is.NoErr(err)
	is.Equal(len(rows), 2)
}

func TestLostAnswerIsUnknownOutcome(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	f.table.lostAnswers = 1
	is.True(errors.Is(write(f.nodes[1], "row", farDeadline()), storage.ErrUnknown))
	row, err := f.table.Get(context.Background(), "row")
	is.NoErr(err) // the write was applied
	is.Equal(row.Version, uint64(1))
}

func TestForwardedWriteIsRefusedPastDeadline(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	is.True(errors.Is(write(f.nodes[1], "late", time.Now()), storage.ErrUnavailable))
	// The message itself is late: it was sent an hour ago.
	sent := time.Now().Add(-time.Hour)
	row := &Row{Key: "delayed", BeforeMs: sent.Add(time.Minute).UnixMilli(), RemainingMs: 60_000, WaitMs: 1000}
	response, err := service{node: f.nodes[0]}.Write(context.Background(), &WriteRequest{Rows: []*Row{row}})
	is.NoErr(err)
	is.Equal(response.Outcomes[0], Outcome_REFUSED)
	transactions, _ := f.table.Calls()
	is.Equal(transactions, 0)
}

func TestCanceledWriteIsUnknownOnlyOnceSent(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	gate := make(chan struct{})
	f.table.gate = gate
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- f.nodes[0].Write(ctx, grouped.Claim, storage.Write{Key: "sent"}, farDeadline()) }()
	eventually(t, "the first write is in flight", func() bool {
		f.nodes[0].mutex.Lock()
		defer f.nodes[0].mutex.Unlock()
		return f.nodes[0].writes.storeCalls == 1
	})
	second := make(chan error, 1)
	go func() { second <- f.nodes[0].Write(ctx, grouped.Claim, storage.Write{Key: "sent"}, farDeadline()) }()
	eventually(t, "the second write waits", func() bool { return f.unanswered(0) == 2 })
	cancel()
	is.True(errors.Is(<-result, storage.ErrUnknown))
	is.True(errors.Is(<-second, storage.ErrUnavailable)) // a key is not in flight twice
	close(gate)
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting until " + what)
		}
	}
}
