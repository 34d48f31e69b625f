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

// farm is a number of engines that take loadTime for a load, in virtual time.
type farm struct {
	now     time.Time
	count   int
	desired string
	loading map[string]time.Time
	loaded  map[string][]string
	sent    int
	owner   int
	dead    map[string]bool
	orders  []orders.Order
}

const loadTime = 20 * time.Second

func (f *farm) Engines() []Engine {
	var engines []Engine
	for i := range f.count {
		engines = append(engines, Engine{Address: fmt.Sprint("10.0.0.1:", i), Desired: orders.Desired{Models: []string{f.desired}}, Fences: i%2 == 0})
	}
	return engines
}

func (f *farm) Report(address string) (orders.Report, bool) {
	if f.dead[address] {
		return orders.Report{}, false
	}
	return orders.Report{Models: append([]string{}, f.loaded[address]...), At: f.now}, true
}

func (f *farm) Send(engine Engine, order orders.Order) error {
	address := engine.Address
	f.sent++
	f.orders = append(f.orders, order)
	if _, loads := f.loading[address]; !loads {
		f.loading[address] = f.now.Add(loadTime)
	}
	return nil
}

func (f *farm) tick() {
	f.now = f.now.Add(time.Second)
	for address, ready := range f.loading {
		if !f.now.Before(ready) {
			delete(f.loading, address)
			f.loaded[address] = []string{f.desired}
		}
	}
}

// view is one node's: it may own all roles or none.
type view struct {
	*farm
	node int
}

func (v view) Owns(Engine) bool { return v.owner == v.node || v.owner < 0 }

// countedTable counts writes.
type countedTable struct {
	storage.Table
	writes int
}

func (c *countedTable) Transact(ctx context.Context, writes []storage.Write) error {
	c.writes++
	return c.Table.Transact(ctx, writes)
}

func newShell(f *farm, node int, table storage.Table) *Shell {
	v := view{f, node}
	return New(Config{Table: table, Site: v, Sender: f, Now: func() time.Time { return f.now }, Metrics: telemetry.NewMetrics(), Logger: zerolog.Nop()})
}

// TestAllEnginesLoadWithinTheSlots lets two nodes believe that they give orders
// to all engines, then kills the one and lets the other go on.
func TestAllEnginesLoadWithinTheSlots(t *testing.T) {
	is := is.New(t)
	const engines = 30
	f := &farm{now: time.Unix(1000, 0), count: engines, desired: "m", loading: map[string]time.Time{}, loaded: map[string][]string{}, owner: -1}
	table := &countedTable{Table: memory.New()}
	shells := []*Shell{newShell(f, 0, table), newShell(f, 1, table)}
	for second := range 600 {
		if second == 30 {
			shells = shells[1:] // in the middle of loads
		}
		f.tick()
		for _, shell := range shells {
			shell.Round(t.Context())
		}
		is.True(len(f.loading) <= orders.LoadSlots) // the weight store's rate
	}
	is.Equal(len(f.loaded), engines)
	before := table.writes
	for range 60 {
		f.tick()
		shells[0].Round(t.Context())
	}
	is.Equal(table.writes, before) // an engine that lacks nothing costs no writes
}

// TestDeadEnginesSlotIsFreed takes all slots by engines that then fall silent.
func TestDeadEnginesSlotIsFreed(t *testing.T) {
	is := is.New(t)
	f := &farm{now: time.Unix(1000, 0), count: orders.LoadSlots + 1, desired: "m", loading: map[string]time.Time{}, loaded: map[string][]string{}}
	f.dead = map[string]bool{}
	table := memory.New()
	first := newShell(f, 0, table)
	first.Round(t.Context())
	for i := range orders.LoadSlots {
		f.dead[fmt.Sprint("10.0.0.1:", i)] = true
	}
	second := newShell(f, 0, table) // a giver that never took a slot itself
	for range 180 {
		f.tick()
		second.Round(t.Context())
	}
	is.Equal(f.loaded[fmt.Sprint("10.0.0.1:", orders.LoadSlots)], []string{"m"})
}

func TestEngineThatTakesNoOrdersGetsNone(t *testing.T) {
	is := is.New(t)
	f := &farm{now: time.Unix(1000, 0), count: 1, desired: "m", loading: map[string]time.Time{}, loaded: map[string][]string{}}
	shell := New(Config{Table: memory.New(), Site: silent{view{f, 0}}, Sender: f, Now: func() time.Time { return f.now }, Metrics: telemetry.NewMetrics(), Logger: zerolog.Nop()})
	for range 30 {
		f.tick()
		shell.Round(t.Context())
	}
	is.Equal(f.sent, 0)
}

type silent struct{ view }

func (s silent) Report(string) (orders.Report, bool) { return orders.Report{At: s.now}, true }

// TestLeaseThatLapsedBeforeTheSendStopsIt lets a lease pass between the
// decision and the send.
func TestLeaseThatLapsedBeforeTheSendStopsIt(t *testing.T) {
	is := is.New(t)
	f := &farm{now: time.Unix(1000, 0), count: 1, desired: "m", loading: map[string]time.Time{}, loaded: map[string][]string{}}
	calls, jumpAt := 0, -1
	now := func() time.Time {
		at := f.now
		if calls++; calls == jumpAt {
			f.now = f.now.Add(orders.Lease)
		}
		return at
	}
	site := forgetful{view{f, 0}}
	shell := New(Config{Table: memory.New(), Site: site, Sender: f, Now: now, Metrics: telemetry.NewMetrics(), Logger: zerolog.Nop()})
	shell.Round(t.Context())
	is.Equal(f.sent, 1)
	f.tick()
	f.desired = "n"
	calls, jumpAt = 0, 2 // look and decide, then pause
	shell.Round(t.Context())
	for _, order := range f.orders {
		is.True(order.Model == "m" || order.Fencing == 2) // under a new lease only
	}
}

// forgetful reports nothing as loaded.
type forgetful struct{ view }

func (s forgetful) Report(string) (orders.Report, bool) {
	return orders.Report{Models: []string{}, At: s.now}, true
}

func TestOrdersCarryNoSecret(t *testing.T) {
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

	engine.Checks = true
	is.Equal(client.Send(engine, orders.Order{}), ErrRefused)
	signature, err := base64.StdEncoding.DecodeString(header.Get(headerSignature))
	is.NoErr(err)
	is.True(ed25519.Verify(public, []byte(engine.Address+"\n"+body), signature))
	body = "nothing sent"
	is.Equal(NewClient(nil).Send(engine, orders.Order{}), ErrNoKey)
	is.Equal(body, "nothing sent")
}
