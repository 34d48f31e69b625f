package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/standin/fleetengine"
	"github.com/wigeontiller/wigeontiller/standin/fleetstore"
)

// site is stand-ins of the platform and nodes before them.
type site struct {
	t       *testing.T
	store   *fleetstore.Store
	address string
	engines map[string]*fleetengine.Engine
	servers map[string]*httptest.Server
	nodes   []*running
	version int
	// graceSeconds is the grace of nodes that are started from now on.
	graceSeconds float64
}

type running struct {
	url, ready string
	stop       context.CancelFunc
	done       chan error
}

func freePort(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func newSite(t *testing.T, nodes int) *site {
	t.Helper()
	s := &site{t: t, store: fleetstore.New(), engines: map[string]*fleetengine.Engine{}, servers: map[string]*httptest.Server{}, graceSeconds: 8}
	server := httptest.NewServer(s.store)
	t.Cleanup(func() {
		s.store.Set(fleetstore.Knobs{})
		server.CloseClientConnections()
		server.Close()
	})
	s.address = strings.TrimPrefix(server.URL, "http://")
	s.configure("key-a", "key-b")
	for _, id := range []string{"llm-1", "llm-2", "llm-3", "app-1", "app-2"} {
		s.add(id)
	}
	for i := range nodes {
		s.start(fmt.Sprintf("edge-%d", i))
	}
	return s
}

// configure writes a document with these keys.
func (s *site) configure(keys ...string) {
	s.version += 3
	runtime := map[string]any{
		"slots": 16, "kvCapacityTokens": 232000, "stride": 43, "step_ms": 1.02, "read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048,
	}
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "prefix": "/" + name + "/", "routeType": kind, "service": service, "timeoutMs": 3000,
			"targetLatencyMs": 300, "maxAttempts": 2, "streamResume": kind == "streaming", "gapTargetMs": 250,
		}
	}
	s.store.Put("op", "config", map[string]any{
		"version":  s.version,
		"routes":   []any{route("chat", "streaming", "llm"), route("book", "unsafe", "app"), route("look", "safe", "app")},
		"services": []any{map[string]any{"name": "llm", "runtime": runtime}, map[string]any{"name": "app"}},
		"limits":   map[string]any{"maxBodyBytes": 1000},
		"tenants":  []any{map[string]any{"name": "works", "apiKeys": keys}},
	})
}

func (s *site) add(id string) {
	engine := fleetengine.New(id)
	server := httptest.NewServer(engine)
	s.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	s.engines[id], s.servers[id] = engine, server
	s.register(id, "ready")
}

func (s *site) register(id, state string) {
	s.store.Put("servers", id, map[string]any{
		"service": strings.Split(id, "-")[0], "address": strings.TrimPrefix(s.servers[id].URL, "http://"), "zone": "z", "slots": 6, "state": state,
	})
}

// start starts a node. A port that was free may be taken meanwhile, by a connection
// of another test; then others are tried.
func (s *site) start(name string) {
	s.t.Helper()
	for try := 0; ; try++ {
		err := s.tryStart(name)
		if err == nil {
			return
		}
		if !errors.Is(err, ErrListen) || try == 20 {
			s.t.Fatal(err)
		}
	}
}

func (s *site) tryStart(name string) error {
	s.t.Helper()
	peer, err := strconv.ParseUint(strings.Split(freePort(s.t), ":")[1], 10, 16)
	if err != nil {
		s.t.Fatal(err)
	}
	settings := &Settings{
		Name: name, Zone: "z", CallerAddress: freePort(s.t), ReadyAddress: freePort(s.t), PeerIP: "127.0.0.1", PeerPorts: []uint16{uint16(peer)},
		StoreAddress: s.address, GraceSeconds: s.graceSeconds, RevokeMs: 5000, ApplyMs: 2000, RetryRatio: 0.2, RetryWindowSeconds: 10, RetryExtra: 100, WarmOvershoot: 1.5,
	}
	node, err := New(settings, zerolog.Nop())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{url: "http://" + settings.CallerAddress, ready: "http://" + settings.ReadyAddress + "/v1/readyz", stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- node.Run(ctx) }()
	s.nodes = append(s.nodes, r)
	s.t.Cleanup(cancel)
	s.eventually("the node is not ready", func() bool { return r.isReady() })
	time.Sleep(50 * time.Millisecond)
	return nil
}

func (r *running) isReady() bool {
	response, err := http.Get(r.ready)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

func (s *site) eventually(what string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	s.t.Fatal(what)
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

var requests int

// call sends a request to a node; each has its own ID.
func (s *site) call(node int, route, key string, change func(r *http.Request)) answer {
	s.t.Helper()
	requests++
	r, err := http.NewRequest(http.MethodPost, s.nodes[node].url+"/"+route+"/x?y=1", strings.NewReader("body"))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Attempt-Id", fmt.Sprintf("id%d", requests))
	r.Header.Set("X-Deadline-Ms", "2000")
	r.Header.Set("Authorization", "Token "+key)
	if route == "chat" {
		r.Header.Set("X-Token-Usage", "1000,300")
	}
	if change != nil {
		change(r)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(body), err}
}

func (s *site) runs() []fleetengine.Run {
	var all []fleetengine.Run
	for _, engine := range s.engines {
		all = append(all, engine.Runs()...)
	}
	return all
}
