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
	// hang bounds every wait; it is no verdict on speed.
	hang = 30 * time.Second
	// quietLooks is how often a thing that must not happen is looked for.
	quietLooks = 50
)

// closeSite is one engine and nodes on loopback.
type closeSite struct {
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

func newCloseSite(t *testing.T) *closeSite {
	t.Helper()
	s := &closeSite{platform: memory.New(), control: new(fault.Control), seeds: []string{freeAddress(t), freeAddress(t), freeAddress(t)}}
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

func (s *closeSite) settings(t *testing.T, number int) *settings.Settings {
	t.Helper()
	made := &settings.Settings{
		Name: fmt.Sprintf("entry-%d", number), DataCentre: "dc-a", Region: "test",
		CallerAddress: freeAddress(t), OperatorAddress: freeAddress(t), PeerAddress: s.seeds[number], Seeds: s.seeds,
		OperatorTokens: []settings.Secret{{Literal: "operator"}},
		PeerKey:        settings.Secret{Literal: "a-test-peer-key-0123456789abcdef"},
		ShutdownLag:    time.Millisecond, InProcessDemo: true,
	}
	made.Provision()
	return made
}

func (s *closeSite) start(t *testing.T, made *settings.Settings) *wigeontiller.Node {
	t.Helper()
	node, err := wigeontiller.New(t.Context(), made, s.platform, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "ready", node.Ready)
	return node
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(hang); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// stream starts a long stream and returns what its caller can read.
func stream(t *testing.T, address string) io.ReadCloser {
	t.Helper()
	body := `{"model":"adviser","stream":true,"max_tokens":1000,"messages":[{"role":"user","content":"long"}]}`
	response := complete(t, address, body)
	if response.StatusCode != http.StatusOK {
		t.Fatalf("status %d", response.StatusCode)
	}
	return response.Body
}

func complete(t *testing.T, address, body string) *http.Response {
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

// TestCloseIsAbrupt closes a node with a stream under way: its caller's
// connection breaks, the engine is told nothing, and the addresses are free for
// the next process.
func TestCloseIsAbrupt(t *testing.T) {
	is := is.New(t)
	s := newCloseSite(t)
	made := s.settings(t, 0)
	node := s.start(t, made)
	answer := stream(t, made.CallerAddress)
	defer func() { _ = answer.Close() }()
	is.NoErr(node.Close())
	text, err := io.ReadAll(answer)
	is.True(err != nil)                                 // broken off, not ended
	is.True(!strings.Contains(string(text), `"error"`)) // a dead process says nothing
	for range quietLooks {
		is.Equal(len(s.engine.Engine().Load().Streams), 1) // the engine runs on
		is.Equal(s.cancels.Load(), int64(0))               // and was sent no cancel
		time.Sleep(10 * time.Millisecond)
	}
	again := s.start(t, made) // under the same addresses
	is.NoErr(again.Shutdown(t.Context()))
}

// TestCloseTellsNoPeer tells Close from Shutdown by what the other node shows.
func TestCloseTellsNoPeer(t *testing.T) {
	for _, test := range []struct {
		name, state string
		end         func(*wigeontiller.Node) error
	}{
		{"closed", "dead", (*wigeontiller.Node).Close},
		{"shut down", "left", func(n *wigeontiller.Node) error { return n.Shutdown(context.Background()) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newCloseSite(t)
			ending, other := s.start(t, s.settings(t, 0)), s.start(t, s.settings(t, 1))
			// Without a third the other would hear nobody and hold nobody for dead.
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
			waitUntil(t, "they know each other", func() bool { return state() == "alive" })
			is.NoErr(test.end(ending))
			waitUntil(t, "it is "+test.state, func() bool {
				shown := state()
				is.True(shown == "alive" || shown == "suspect" || shown == test.state)
				return shown == test.state
			})
		})
	}
}

// TestReadyNodeKnowsThatAnEngineLeaves starts a node while an engine leaves: once
// it is ready it sends nothing there.
func TestReadyNodeKnowsThatAnEngineLeaves(t *testing.T) {
	is := is.New(t)
	s := newCloseSite(t)
	s.control.Set(fault.Knobs{Leaving: true})
	made := s.settings(t, 0)
	node := s.start(t, made)
	response := complete(t, made.CallerAddress, `{"model":"adviser","max_tokens":1,"messages":[{"role":"user","content":"short"}]}`)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(s.engine.Engine().Load().Runs, 0)
	is.NoErr(node.Shutdown(t.Context()))
}

// TestNodeIsReadyWithAnEngineThatIsAway bounds the wait for reports.
func TestNodeIsReadyWithAnEngineThatIsAway(t *testing.T) {
	is := is.New(t)
	s := newCloseSite(t)
	s.control.Set(fault.Knobs{Down: true})
	is.NoErr(s.start(t, s.settings(t, 0)).Shutdown(t.Context()))
}
