package ordering

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/orders"
	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/memory"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// fakeFleet simulates engines that take loadTime for a load, in virtual time.
type fakeFleet struct {
	now          time.Time
	count        int
	desired      string
	loading      map[string]time.Time
	loaded       map[string][]string
	sent         int
	owner        int
	unresponsive map[string]bool
	orders       []orders.Order
}

const loadTime = 20 * time.Second

func (f *fakeFleet) Engines() []Engine {
	var engines []Engine
	for i := range f.count {
		engines = append(engines, Engine{Address: fmt.Sprint("10.0.0.1:", i), Desired: orders.Desired{Models: []string{f.desired}}, EnforcesFencing: i%2 == 0})
	}
	return engines
}

func (f *fakeFleet) Report(address string) (orders.Report, bool) {
	if f.unresponsive[address] {
		return orders.Report{}, false
	}
	return orders.Report{Models: append([]string{}, f.loaded[address]...), At: f.now}, true
}

func (f *fakeFleet) Send(engine Engine, order orders.Order) error {
	address := engine.Address
	f.sent++
	f.orders = append(f.orders, order)
	if _, loads := f.loading[address]; !loads {
		f.loading[address] = f.now.Add(loadTime)
	}
	return nil
}

func (f *fakeFleet) tick() {
	f.now = f.now.Add(time.Second)
	for address, ready := range f.loading {
		if !f.now.Before(ready) {
			delete(f.loading, address)
			f.loaded[address] = []string{f.desired}
		}
	}
}

// nodeView is the view of one node, which owns all roles or none.
type nodeView struct {
	*fakeFleet
	node int
}

func (v nodeView) Owns(Engine) bool { return v.owner == v.node || v.owner < 0 }

// countingTable counts writes.
type countingTable struct {
	storage.Table
	writes int
}

func (c *countingTable) Transact(ctx context.Context, writes []storage.Write) error {
	c.writes++
	return c.Table.Transact(ctx, writes)
}

func newTestRunner(f *fakeFleet, node int, table storage.Table) *Runner {
	v := nodeView{f, node}
	return New(Config{Table: table, Engines: v, Sender: f, Now: func() time.Time { return f.now }, Metrics: telemetry.NewMetrics(), Logger: zerolog.Nop()})
}

// TestAllEnginesLoadWithinSlotLimit lets two nodes both own the issuer role of all
// engines, then stops one of them during the loads.
func TestAllEnginesLoadWithinSlotLimit(t *testing.T) {
	is := is.New(t)
	const engines = 30
	f := &fakeFleet{now: time.Unix(1000, 0), count: engines, desired: "m", loading: map[string]time.Time{}, loaded: map[string][]string{}, owner: -1}
	table := &countingTable{Table: memory.New()}
	runners := []*Runner{newTestRunner(f, 0, table), newTestRunner(f, 1, table)}
	for second := range 600 {
		if second == 30 {
			runners = runners[1:] // during loads
		}
		f.tick()
		for _, runner := range runners {
			runner.Reconcile(t.Context())
		}
		is.True(len(f.loading) <= orders.LoadSlots) // the limit of the weight store
	}
	is.Equal(len(f.loaded), engines)
	before := table.writes
	for range 60 {
		f.tick()
		runners[0].Reconcile(t.Context())
	}
	is.Equal(table.writes, before) // an engine that needs no order costs no writes
}

// TestSlotOfUnresponsiveEngineIsFreed gives all slots to engines that then stop
// reporting.
func TestSlotOfUnresponsiveEngineIsFreed(t *testing.T) {
	is := is.New(t)
	f := &fakeFleet{now: time.Unix(1000, 0), count: orders.LoadSlots + 1, desired: "m", loading: map[string]time.Time{}, loaded: map[string][]string{}}
	f.unresponsive = map[string]bool{}
	table := memory.New()
	first := newTestRunner(f, 0, table)
	first.Reconcile(t.Context())
	for i := range orders.LoadSlots {
		f.unresponsive[fmt.Sprint("10.0.0.1:", i)] = true
	}
	second := newTestRunner(f, 0, table) // a node that acquired no slot itself
	for range 180 {
		f.tick()
		second.Reconcile(t.Context())
	}
	is.Equal(f.loaded[fmt.Sprint("10.0.0.1:", orders.LoadSlots)], []string{"m"})
}

func TestEngineThatTakesNoOrdersIsSentNone(t *testing.T) {
	is := is.New(t)
	f := &fakeFleet{now: time.Unix(1000, 0), count: 1, desired: "m", loading: map[string]time.Time{}, loaded: map[string][]string{}}
	runner := New(Config{Table: memory.New(), Engines: takesNoOrders{nodeView{f, 0}}, Sender: f, Now: func() time.Time { return f.now }, Metrics: telemetry.NewMetrics(), Logger: zerolog.Nop()})
	for range 30 {
		f.tick()
		runner.Reconcile(t.Context())
	}
	is.Equal(f.sent, 0)
}

// takesNoOrders reports engines that take no orders.
type takesNoOrders struct{ nodeView }

func (s takesNoOrders) Report(string) (orders.Report, bool) { return orders.Report{At: s.now}, true }

// TestExpiredLeasePreventsSend lets the lease expire between the decision and the
// send.
func TestExpiredLeasePreventsSend(t *testing.T) {
	is := is.New(t)
	f := &fakeFleet{now: time.Unix(1000, 0), count: 1, desired: "m", loading: map[string]time.Time{}, loaded: map[string][]string{}}
	calls, jumpAt := 0, -1
	now := func() time.Time {
		at := f.now
		if calls++; calls == jumpAt {
			f.now = f.now.Add(orders.LeaseDuration)
		}
		return at
	}
	site := reportsNothingLoaded{nodeView{f, 0}}
	runner := New(Config{Table: memory.New(), Engines: site, Sender: f, Now: now, Metrics: telemetry.NewMetrics(), Logger: zerolog.Nop()})
	runner.Reconcile(t.Context())
	is.Equal(f.sent, 1)
	f.tick()
	f.desired = "n"
	calls, jumpAt = 0, 2 // the clock jumps after the decision
	runner.Reconcile(t.Context())
	for _, order := range f.orders {
		is.True(order.Model == "m" || order.Fencing == 2) // sent only under a new lease
	}
}

// reportsNothingLoaded reports no model as loaded, whatever was ordered.
type reportsNothingLoaded struct{ nodeView }

func (s reportsNothingLoaded) Report(string) (orders.Report, bool) {
	return orders.Report{Models: []string{}, At: s.now}, true
}

func TestClientSignsOrdersWithoutSendingSecrets(t *testing.T) {
	is := is.New(t)
	var header http.Header
	var body string
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		header, body = r.Header, string(text)
		w.WriteHeader(status)
	}))
	defer server.Close()
	engine := Engine{Address: strings.TrimPrefix(server.URL, "http://")}
	public, key, err := ed25519.GenerateKey(nil)
	is.NoErr(err)
	client := NewClient(key)
	is.NoErr(client.Send(engine, orders.Order{Fencing: 3, Sequence: 2, Kind: orders.LoadModel, Model: "m"}))
	is.Equal(body, `{"fencing":3,"sequence":2,"kind":"load_model","model":"m"}`)
	for name := range header {
		is.True(name == "Content-Type" || name == "Content-Length" || name == "User-Agent")
	}
	status = http.StatusConflict
	is.Equal(client.Send(engine, orders.Order{}), ErrRefused)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	_ = listener.Close()
	is.True(client.Send(Engine{Address: listener.Addr().String()}, orders.Order{}) != nil)

	engine.ChecksSignatures = true
	is.Equal(client.Send(engine, orders.Order{}), ErrRefused)
	signature, err := base64.StdEncoding.DecodeString(header.Get(headerSignature))
	is.NoErr(err)
	is.True(ed25519.Verify(public, []byte(engine.Address+"\n"+body), signature))
	body = "nothing sent"
	is.Equal(NewClient(nil).Send(engine, orders.Order{}), ErrNoKey)
	is.Equal(body, "nothing sent")
}
