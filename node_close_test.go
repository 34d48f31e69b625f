package wigeontiller_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/wigeontiller/wigeontiller"
	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/settings"
	"github.com/wigeontiller/wigeontiller/standin/engine"
	"github.com/wigeontiller/wigeontiller/standin/fault"
	"github.com/wigeontiller/wigeontiller/standin/local"
	"github.com/wigeontiller/wigeontiller/storage/memory"
)

const (
	closeKey = "close-key"
	// waitTimeout bounds every wait; it does not assert speed.
	waitTimeout = 30 * time.Second
	// absenceChecks is how often a test checks that something has not happened.
	absenceChecks = 50
)

// closeFixture has one engine and addresses for nodes on loopback.
type closeFixture struct {
	platform *memory.Platform
	engine   *engine.Server
	control  *fault.Control
	cancels  atomic.Int64
	seeds    []string
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func newCloseFixture(t *testing.T) *closeFixture {
	t.Helper()
	s := &closeFixture{platform: memory.New(), control: new(fault.Control), seeds: []string{freeAddress(t), freeAddress(t), freeAddress(t)}}
	s.engine = engine.NewServer(engine.Config{Slots: 4, KVTokens: 100_000, PrefillTokensPerSecond: 100_000, TokenInterval: 20 * time.Millisecond}, s.control)
	inner := s.engine.App().Handler()
	s.engine.App().Server().Handler = func(ctx *fasthttp.RequestCtx) {
		if ctx.IsDelete() {
			s.cancels.Add(1)
		}
		inner(ctx)
	}
	address := freeAddress(t)
	if err := local.Serve(address, s.engine.App()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.engine.App().ShutdownWithTimeout(time.Second) })
	document := fmt.Sprintf(`name: works
models: [{name: adviser, context_tokens: 100000}]
organisations: [{name: dock, key_digests: [%q]}]
length_classes: [{name: short, max_prompt_tokens: 16000, deadline: 30s}]
engines: [{name: engine-a, data_centre: dc-a, vm: vm-a, address: %q, models: [adviser], slots: 4, kv_tokens: 100000}]
`, environment.KeyDigest(closeKey), address)
	if _, err := local.PutInForce(t.Context(), configuration.NewStore(s.platform), "works", []byte(document)); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *closeFixture) settings(t *testing.T, number int) *settings.Settings {
	t.Helper()
	nodeSettings := &settings.Settings{
		Name: fmt.Sprintf("entry-%d", number), DataCentre: "dc-a", Region: "test",
		CallerAddress: freeAddress(t), OperatorAddress: freeAddress(t), PeerAddress: s.seeds[number], Seeds: s.seeds,
		OperatorTokens: []settings.Secret{{Literal: "operator"}},
		PeerKey:        settings.Secret{Literal: "a-test-peer-key-0123456789abcdef"},
		ShutdownLag:    time.Millisecond, InProcessDemo: true,
	}
	nodeSettings.Provision()
	return nodeSettings
}

func (s *closeFixture) start(t *testing.T, nodeSettings *settings.Settings) *wigeontiller.Node {
	t.Helper()
	node, err := wigeontiller.New(t.Context(), nodeSettings, s.platform, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the node is ready", node.Ready)
	return node
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// openStream starts a long stream and returns its response body.
func openStream(t *testing.T, address string) io.ReadCloser {
	t.Helper()
	body := `{"model":"adviser","stream":true,"max_tokens":1000,"messages":[{"role":"user","content":"long"}]}`
	response := postCompletion(t, address, body)
	if response.StatusCode != http.StatusOK {
		t.Fatalf("status %d", response.StatusCode)
	}
	return response.Body
}

func postCompletion(t *testing.T, address, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+closeKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// TestCloseBreaksConnectionsAndSendsNoCancel closes a node with a stream in flight: the
// caller's connection breaks, the engine gets no cancel, and the addresses are free for
// the next process.
func TestCloseBreaksConnectionsAndSendsNoCancel(t *testing.T) {
	is := is.New(t)
	s := newCloseFixture(t)
	nodeSettings := s.settings(t, 0)
	node := s.start(t, nodeSettings)
	body := openStream(t, nodeSettings.CallerAddress)
	defer func() { _ = body.Close() }()
	is.NoErr(node.Close())
	text, err := io.ReadAll(body)
	is.True(err != nil)                                 // broken off, not completed
	is.True(!strings.Contains(string(text), `"error"`)) // a dead process sends no error
	for range absenceChecks {
		is.Equal(len(s.engine.Engine().Load().Streams), 1) // the engine keeps running it
		is.Equal(s.cancels.Load(), int64(0))               // and was sent no cancel
		time.Sleep(10 * time.Millisecond)
	}
	again := s.start(t, nodeSettings) // on the same addresses
	is.NoErr(again.Shutdown(t.Context()))
}

// TestCloseDoesNotNotifyPeers distinguishes Close from Shutdown by the state that
// another node shows.
func TestCloseDoesNotNotifyPeers(t *testing.T) {
	for _, test := range []struct {
		name, state string
		end         func(*wigeontiller.Node) error
	}{
		{"closed", "dead", (*wigeontiller.Node).Close},
		{"shut down", "left", func(n *wigeontiller.Node) error { return n.Shutdown(context.Background()) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newCloseFixture(t)
			ending, other := s.start(t, s.settings(t, 0)), s.start(t, s.settings(t, 1))
			// Without a third node the other would be isolated and declare no node dead.
			third := s.start(t, s.settings(t, 2))
			defer func() {
				is.NoErr(other.Shutdown(context.Background()))
				is.NoErr(third.Shutdown(context.Background()))
			}()
			state := func() string {
				for _, peer := range other.Status(t.Context()).Peers {
					if peer.Name == "entry-0" {
						return peer.State
					}
				}
				return ""
			}
			waitUntil(t, "the other node sees the first as alive", func() bool { return state() == "alive" })
			is.NoErr(test.end(ending))
			waitUntil(t, "the other node sees it as "+test.state, func() bool {
				shown := state()
				is.True(shown == "alive" || shown == "suspect" || shown == test.state)
				return shown == test.state
			})
		})
	}
}

// TestReadyNodeSendsNothingToDrainingEngine starts a node while an engine is draining:
// a node must not become ready before it knows that.
func TestReadyNodeSendsNothingToDrainingEngine(t *testing.T) {
	is := is.New(t)
	s := newCloseFixture(t)
	s.control.Set(fault.Knobs{Draining: true})
	nodeSettings := s.settings(t, 0)
	node := s.start(t, nodeSettings)
	response := postCompletion(t, nodeSettings.CallerAddress, `{"model":"adviser","max_tokens":1,"messages":[{"role":"user","content":"short"}]}`)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(s.engine.Engine().Load().Runs, 0)
	is.NoErr(node.Shutdown(t.Context()))
}

// TestNodeBecomesReadyWhileEngineIsDown checks that the wait for reports is bounded.
func TestNodeBecomesReadyWhileEngineIsDown(t *testing.T) {
	is := is.New(t)
	s := newCloseFixture(t)
	s.control.Set(fault.Knobs{Down: true})
	is.NoErr(s.start(t, s.settings(t, 0)).Shutdown(t.Context()))
}
