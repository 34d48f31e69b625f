package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/trace/noop"
	"storj.io/drpc"

	"github.com/wigeontiller/wigeontiller/claim/claimstore"
	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/dispatch"
	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/peer"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/memory"
	"github.com/wigeontiller/wigeontiller/storage/writerpc"
	"github.com/wigeontiller/wigeontiller/tables"
	"github.com/wigeontiller/wigeontiller/telemetry"
	"github.com/wigeontiller/wigeontiller/upstream"
)

const (
	// ciCallCount is the number of calls of the randomized run in CI, fullCallCount with
	// WIGEONTILLER_FULL set.
	ciCallCount     = 10_000
	fullCallCount   = 100_000
	callsPerKey     = 5
	parallelCallers = 16
	headerCall      = "X-Call"
)

// faultyTable loses, rejects, delays and repeats writes at random.
type faultyTable struct {
	*memory.Platform
	mutex   sync.Mutex
	random  *rand.Rand
	delayed sync.WaitGroup
}

func (f *faultyTable) randomPercent() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.IntN(100)
}

func (f *faultyTable) Get(ctx context.Context, key string) (storage.Row, error) {
	if f.randomPercent() < 4 {
		return storage.Row{}, storage.ErrUnknown
	}
	return f.Platform.Get(ctx, key)
}

func (f *faultyTable) BatchGet(ctx context.Context, keys []string) ([]storage.Row, error) {
	if f.randomPercent() < 4 {
		return nil, storage.ErrUnknown
	}
	return f.Platform.BatchGet(ctx, keys)
}

func (f *faultyTable) Transact(ctx context.Context, writes []storage.Write) error {
	draw := f.randomPercent()
	switch {
	case draw < 3:
		return storage.ErrUnavailable
	case draw < 5:
		return storage.ErrUnknown
	case draw < 7:
		f.applyDelayed(ctx, writes)
		return storage.ErrUnknown
	case draw < 10:
		_ = f.Platform.Transact(ctx, writes)
		return storage.ErrUnknown
	case draw < 12:
		defer f.applyDelayed(ctx, writes)
	}
	return f.Platform.Transact(ctx, writes)
}

func (f *faultyTable) applyDelayed(ctx context.Context, writes []storage.Write) {
	f.delayed.Go(func() {
		time.Sleep(time.Millisecond)
		_ = f.Platform.Transact(ctx, writes)
	})
}

// stubService counts executions and fails at random.
type stubService struct {
	mutex      sync.Mutex
	random     *rand.Rand
	runsByKey  map[string]int
	runsByCall map[string]int
}

func (s *stubService) handle(ctx *fasthttp.RequestCtx) {
	s.mutex.Lock()
	draw := s.random.IntN(100)
	key, call := string(ctx.Request.Header.Peek(headerIdempotencyKey)), string(ctx.Request.Header.Peek(headerCall))
	ran := draw >= 8
	if ran {
		s.runsByKey[key]++
		s.runsByCall[call]++
	}
	s.mutex.Unlock()
	switch {
	case draw < 4: // rejected before the effect
		ctx.Response.Header.Set(upstream.HeaderNotRun, "true")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case draw < 12: // connection closed: 4 draws before the effect, 4 after it
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	case draw < 15: // truncated response
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(conn net.Conn) { _, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")) })
	default:
		ctx.Response.Header.Set("X-First", call)
		ctx.SetBodyString(strings.Repeat(call+";", 1+draw*40)) // sizes below and above the limit of a row
	}
}

func startStub(t *testing.T, service *stubService) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: service.handle, Logger: discardLogger{}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// newTestServer returns a node that uses a platform and has one service at the addresses; one address is that of two upstreams.
func newTestServer(t *testing.T, store storage.Platform, addresses ...string) *Server {
	t.Helper()
	if len(addresses) == 1 {
		addresses = append(addresses, addresses[0])
	}
	var endpoints []string
	for i, address := range addresses {
		endpoints = append(endpoints, fmt.Sprintf("{name: e%d, data_centre: dc, address: %q, slots: 1000}", i, address))
	}
	text := fmt.Sprintf(`name: works
organisations: [{name: dock, key_digests: ["%s"]}]
length_classes: [{name: short, max_prompt_tokens: 1000, deadline: 20s}]
ramp: {initial_percent: 100, duration: 1ms}
services:
  - name: bookings
    side_effects: [{method: GET, path: /confirm}]
    endpoints: [%s]
`, environment.KeyDigest(testKey), strings.Join(endpoints, ", "))
	document, err := environment.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	site := configuration.Site{Version: 1, Environments: map[string]configuration.Environment{"works": {ProductionDigest: "d"}}}
	dispatcher := dispatch.New(scheduling.New("dc"))
	dispatcher.Configure(tables.Build(site, map[string]*environment.Document{"d": document}))
	metrics := telemetry.NewMetrics()
	claims := newClaims(store, metrics, nil)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go dispatcher.Run(ctx)
	return NewServer(Config{
		ResumeSigner: testSigner(t),
		Dispatcher:   dispatcher, Upstreams: upstream.NewClient(), Logger: zerolog.Nop(),
		Tracer: noop.NewTracerProvider().Tracer(""), Metrics: metrics, Claims: claims,
	})
}

// newClaims returns the claim store of a node; without rows each call is written on its own.
func newClaims(store storage.Platform, metrics *telemetry.Metrics, rows claimstore.Rows) *claimstore.Store {
	return claimstore.New(claimstore.Config{
		Platform: store, Rows: rows, Logger: zerolog.Nop(), Metrics: metrics, Node: "test",
		Sleep: func(context.Context, time.Duration) { time.Sleep(time.Millisecond) },
	})
}

// fixedWriter names the first node as the writer for all nodes.
type fixedWriter struct {
	address netip.AddrPort
	self    bool
}

func (f fixedWriter) Writer(func(string) bool) writerpc.Peer {
	return writerpc.Peer{Name: "first", Address: f.address, Self: f.self}
}

// newWriterNodes returns nodes that send their writes to the first over drpc.
func newWriterNodes(t *testing.T, table storage.Table, count int) []*writerpc.Node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	tracer := noop.NewTracerProvider().Tracer("")
	pool := peer.NewPool(nil, tracer)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var nodes []*writerpc.Node
	for i := range count {
		node := writerpc.New(writerpc.Config{
			Table: table, Members: fixedWriter{address: address, self: i == 0},
			Metrics: telemetry.NewMetrics(), Logger: zerolog.Nop(),
			Dial: func(ctx context.Context, to netip.AddrPort) drpc.Conn { return pool.Conn(ctx, to) },
		})
		node.SetFleet(1, 1)
		running.Go(func() { node.Run(ctx) })
		nodes = append(nodes, node)
	}
	server := peer.NewServer(nil, tracer)
	is.New(t).NoErr(server.Register(nodes[0].Register))
	running.Go(func() { _ = server.Serve(ctx, listener) })
	t.Cleanup(func() {
		stop()
		running.Wait()
		_ = pool.Close()
	})
	return nodes
}

// handleRequest passes a request to the handlers without a connection.
func handleRequest(server *Server, method, uri, body string, header map[string]string) *fasthttp.Response {
	var request fasthttp.Request
	request.Header.SetMethod(method)
	request.SetRequestURI(uri)
	request.Header.Set("Authorization", "Bearer "+testKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	request.SetBodyString(body)
	var ctx fasthttp.RequestCtx
	ctx.Init(&request, nil, discardLogger{})
	server.App().Handler()(&ctx)
	response := new(fasthttp.Response)
	ctx.Response.CopyTo(response)
	return response
}

// callOutcome is the response that one caller received.
type callOutcome struct {
	key, call, code, execution, body string
	status                           int
	replayed                         bool
}

func parseCallOutcome(key, call string, response *fasthttp.Response) callOutcome {
	got := callOutcome{key: key, call: call, status: response.StatusCode(), body: string(response.Body())}
	got.replayed = len(response.Header.Peek(headerReplayed)) > 0
	var failure struct {
		Error struct{ Code, Execution string }
	}
	if got.status != fasthttp.StatusOK && json.Unmarshal(response.Body(), &failure) == nil {
		got.code, got.execution = failure.Error.Code, failure.Error.Execution
	}
	return got
}

// violation returns how an outcome contradicts what the stub service executed, or "".
func (o callOutcome) violation(service *stubService) string {
	service.mutex.Lock()
	keyRuns, callRuns := service.runsByKey[o.key], service.runsByCall[o.call]
	service.mutex.Unlock()
	switch {
	case callRuns > 1:
		return "call executed twice"
	case o.key != "" && keyRuns > 1:
		return "two calls executed under one key"
	case o.status == fasthttp.StatusOK && o.replayed && keyRuns != 1:
		return "replay without exactly one execution under the key"
	case o.status == fasthttp.StatusOK && !o.replayed && callRuns != 1:
		return "response without exactly one execution of the call"
	case o.status != fasthttp.StatusOK && o.execution == "":
		return "error without execution"
	case o.execution == "not_run" && callRuns != 0:
		return "not_run reported for an executed call"
	case o.execution == "ran" && keyRuns != 1:
		return "ran reported without exactly one execution under the key"
	}
	return ""
}

func TestRandomSideEffectCalls(t *testing.T) {
	is := is.New(t)
	calls := ciCallCount
	if os.Getenv("WIGEONTILLER_FULL") != "" {
		calls = fullCallCount
	}
	store := &faultyTable{Platform: memory.New(), random: rand.New(rand.NewPCG(1, 1))}
	service := &stubService{random: rand.New(rand.NewPCG(2, 2)), runsByKey: map[string]int{}, runsByCall: map[string]int{}}
	address := startStub(t, service)
	writers := newWriterNodes(t, store, 2)
	nodes := []*Server{newTestServer(t, store, address), newTestServer(t, store, address)}
	for i, node := range nodes {
		node.config.Claims = newClaims(store, telemetry.NewMetrics(), writers[i])
	}
	outcomes := make([]callOutcome, calls)
	var group sync.WaitGroup
	for worker := range parallelCallers {
		group.Go(func() {
			for i := worker; i < calls; i += parallelCallers {
				outcomes[i] = sendCall(nodes[i%2], i)
			}
		})
	}
	group.Wait()
	for _, node := range nodes {
		node.config.Claims.Wait()
	}
	store.delayed.Wait()
	tally := map[string]int{}
	firstBody := map[string]string{}
	for _, got := range outcomes {
		tally[fmt.Sprintf("%d %s %s replayed=%t", got.status, got.code, got.execution, got.replayed)]++
		is.Equal(got.violation(service), "")
		if got.status == fasthttp.StatusOK && got.key != "" {
			if firstBody[got.key] == "" {
				firstBody[got.key] = got.body
			}
			is.Equal(got.body, firstBody[got.key]) // the complete first response
		}
	}
	is.True(tally["200   replayed=true"] > calls/10)  // repeats got stored results
	is.True(tally["200   replayed=false"] > calls/20) // calls were executed
	t.Logf("%d calls: %v", calls, tally)
}

// sendCall sends call i: one in ten without a key, one in thirty with another body
// under its key.
func sendCall(node *Server, i int) callOutcome {
	key, call, body := fmt.Sprintf("key-%d", i/callsPerKey), fmt.Sprintf("call-%d", i), "seat"
	header := map[string]string{headerIdempotencyKey: key, headerCall: call}
	switch {
	case i%10 == 0:
		delete(header, headerIdempotencyKey)
		key = ""
	case i%30 == 7:
		body = "another seat"
	}
	return parseCallOutcome(key, call, handleRequest(node, "POST", "/services/bookings/confirm", body, header))
}
