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

// hangGuard ends a test that makes no progress.
const hangGuard = 30 * time.Second

type fixedMembers struct {
	owner   string
	address netip.AddrPort
}

func (m *fixedMembers) Live(string) []Peer {
	return []Peer{{Name: m.owner, Address: m.address}}
}

type fixedWork struct {
	mutex  sync.Mutex
	shares map[string]budget.Share
}

func (w *fixedWork) Demands() map[string]budget.Demand {
	return map[string]budget.Demand{"engine": {Waiting: budget.Amount{Slots: 90, KVTokens: 90 * kvUnit}}}
}

func (w *fixedWork) SetShares(shares map[string]budget.Share) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.shares = shares
}

func (w *fixedWork) slots() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.shares["engine"].Slots
}

// TestNodesShareOverTheNetwork runs three nodes over loopback until all that
// the upstream has is shared out evenly.
func TestNodesShareOverTheNetwork(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	members := &fixedMembers{
		owner:   "node-0",
		address: netip.MustParseAddrPort(listener.Addr().String()),
	}
	table := memory.New()
	var works []*fixedWork
	var running sync.WaitGroup
	for i := range 3 {
		work := &fixedWork{}
		works = append(works, work)
		node := newTestNode(fmt.Sprintf("node-%d", i), members, table, work)
		if i == 0 {
			mux := drpcmux.New()
			is.NoErr(DRPCRegisterBudget(mux, node))
			running.Go(func() { _ = drpcserver.New(mux).Serve(ctx, listener) })
		}
		running.Go(func() { node.Run(ctx) })
	}
	t.Cleanup(func() { stop(); running.Wait() })
	awaitShares(t, works)
}

func newTestNode(name string, members Members, table storage.Table, work Work) *Node {
	timing := budget.DefaultTiming()
	timing.Interval = 50 * time.Millisecond
	node := NewNode(Config{
		Name: name, Process: name + ".1", Timing: timing, Table: table, Members: members, Work: work, Logger: zerolog.Nop(),
		Dial: func(ctx context.Context, address netip.AddrPort) drpc.Conn {
			plain, err := new(net.Dialer).DialContext(ctx, "tcp", address.String())
			if err != nil {
				plain, _ = net.Pipe()
				_ = plain.Close()
			}
			return drpcconn.New(plain)
		},
	})
	node.Configure([]Shared{{
		Lease:    UpstreamLease("east", "engine"),
		Interest: budget.Interest{Local: true},
		Resource: budget.Resource{
			Name: "engine", Capacity: budget.Amount{Slots: 60, KVTokens: 60 * kvUnit},
			NodeSlotsPercent: 50, NodeKVPercent: 100, FallbackPercent: 10,
		},
	}})
	return node
}

func awaitShares(t *testing.T, works []*fixedWork) {
	for end := time.Now().Add(hangGuard); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if works[0].slots() == 20 && works[1].slots() == 20 && works[2].slots() == 20 {
			return
		}
	}
	t.Fatal("the capacity was not shared out evenly")
}
