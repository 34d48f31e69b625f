package budgetrpc

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wigeontiller/wigeontiller/budget"
	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/memory"
)

// testTimeout ends a test that makes no progress.
const testTimeout = 30 * time.Second

type fixedMembers struct {
	owner   string
	address netip.AddrPort
}

func (m *fixedMembers) Live(string) []Peer {
	return []Peer{{Name: m.owner, Address: m.address}}
}

type fixedWorkload struct {
	mutex  sync.Mutex
	shares map[string]budget.Share
}

func (w *fixedWorkload) Demands() map[string]budget.Demand {
	return map[string]budget.Demand{"engine": {Waiting: budget.Amount{Slots: 90, KVTokens: 90 * kvUnit}}}
}

func (w *fixedWorkload) SetShares(shares map[string]budget.Share) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.shares = shares
}

func (w *fixedWorkload) slots() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.shares["engine"].Slots
}

// TestNodesDivideCapacityEvenlyOverNetwork runs three nodes over loopback until
// the upstream's whole capacity is divided evenly.
func TestNodesDivideCapacityEvenlyOverNetwork(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	members := &fixedMembers{
		owner:   "node-0",
		address: netip.MustParseAddrPort(listener.Addr().String()),
	}
	table := memory.New()
	var workloads []*fixedWorkload
	var running sync.WaitGroup
	for i := range 3 {
		workload := &fixedWorkload{}
		workloads = append(workloads, workload)
		node := newTestNode(fmt.Sprintf("node-%d", i), members, table, workload)
		if i == 0 {
			mux := drpcmux.New()
			is.NoErr(DRPCRegisterBudget(mux, node))
			running.Go(func() { _ = drpcserver.New(mux).Serve(ctx, listener) })
		}
		running.Go(func() { node.Run(ctx) })
	}
	t.Cleanup(func() { stop(); running.Wait() })
	awaitShares(t, workloads)
}

func newTestNode(name string, members Members, table storage.Table, workload Workload) *Node {
	timing := budget.DefaultTiming()
	timing.Interval = 50 * time.Millisecond
	node := NewNode(Config{
		Name: name, Process: name + ".1", Timing: timing, Table: table, Members: members, Workload: workload, Logger: zerolog.Nop(),
		Dial: func(ctx context.Context, address netip.AddrPort) drpc.Conn {
			plain, err := new(net.Dialer).DialContext(ctx, "tcp", address.String())
			if err != nil {
				plain, _ = net.Pipe()
				_ = plain.Close()
			}
			return drpcconn.New(plain)
		},
	})
	node.Configure([]SharedResource{{
		Lease:    UpstreamLease("east", "engine"),
		Interest: budget.Interest{Local: true},
		Resource: budget.Resource{
			Name: "engine", Capacity: budget.Amount{Slots: 60, KVTokens: 60 * kvUnit},
			NodeSlotsPercent: 50, NodeKVPercent: 100, FallbackPercent: 10,
		},
	}})
	return node
}

func awaitShares(t *testing.T, workloads []*fixedWorkload) {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if workloads[0].slots() == 20 && workloads[1].slots() == 20 && workloads[2].slots() == 20 {
			return
		}
	}
	t.Fatal("nodes did not reach even shares of the capacity")
}
