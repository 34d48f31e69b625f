package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rs/zerolog"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/wigeontiller/wigeontiller/claim/claimstore"
	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/dispatch"
	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/standin/engine"
	"github.com/wigeontiller/wigeontiller/standin/fault"
	"github.com/wigeontiller/wigeontiller/storage/memory"
	"github.com/wigeontiller/wigeontiller/tables"
	"github.com/wigeontiller/wigeontiller/telemetry"
	"github.com/wigeontiller/wigeontiller/upstream"
)

const (
	testKey = "key"
	// otherKey belongs to another organisation.
	otherKey = "other-key"
	// testTimeout bounds every wait, so that a failing test ends.
	testTimeout = 30 * time.Second
)

// fixture is an entry server in front of one simulated engine.
type fixture struct {
	url        string
	server     *Server
	dispatcher *dispatch.Dispatcher
	engine     *engine.Engine
	control    *fault.Control
	spans      *tracetest.InMemoryExporter
}

func listen(t testing.TB, app *fiber.App) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = app.Listener(listener) }()
	t.Cleanup(func() { _ = app.ShutdownWithTimeout(time.Second) })
	return listener.Addr().String()
}

func newFixture(t testing.TB, config engine.Config) *fixture {
	t.Helper()
	return newFixtureWithProxy(t, config, func(address string) string { return address })
}

// newFixtureWithProxy lets proxy replace the engine's address by that of a proxy to it.
func newFixtureWithProxy(t testing.TB, config engine.Config, proxy func(address string) string) *fixture {
	t.Helper()
	f := &fixture{control: new(fault.Control), spans: tracetest.NewInMemoryExporter()}
	engineServer := engine.NewServer(config, f.control)
	f.engine = engineServer.Engine()
	document := fmt.Sprintf(`name: works
models: [{name: adviser, context_tokens: 1048576}]
engines: [{name: e1, data_centre: dc-a, address: %q, models: [adviser], slots: %d, kv_tokens: %d}]
organisations: [{name: dock, key_digests: [%q]}, {name: quay, key_digests: [%q]}]
length_classes: [{name: any, max_prompt_tokens: 1000000, deadline: 20s}]
limits: {body_bytes: 100000}
`, proxy(listen(t, engineServer.App())), config.Slots, config.KVTokens,
		environment.KeyDigest(testKey), environment.KeyDigest(otherKey))
	parsed, err := environment.Parse([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	site := configuration.NewSite()
	site.Environments["works"] = configuration.Environment{ProductionDigest: "d"}
	f.dispatcher = dispatch.New(scheduling.New("dc-a"))
	f.dispatcher.Configure(tables.Build(site, map[string]*environment.Document{"d": parsed}))
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(f.spans))
	f.server = NewServer(Config{
		ResumeSigner: testSigner(t),
		Dispatcher:   f.dispatcher,
		Upstreams:    upstream.NewClient(),
		Logger:       zerolog.Nop(),
		Tracer:       provider.Tracer("test"),
		Metrics:      telemetry.NewMetrics(),
		Claims:       claimstore.New(claimstore.Config{Platform: memory.New(), Metrics: telemetry.NewMetrics(), Node: "test"}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.dispatcher.Run(ctx)
	f.url = "http://" + listen(t, f.server.App())
	return f
}

var fastEngine = engine.Config{Slots: 8, KVTokens: 100_000, PrefillTokensPerSecond: 1_000_000, TokenInterval: time.Millisecond}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func (f *fixture) postCompletion(ctx context.Context, body string, header map[string]string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return http.DefaultClient.Do(request)
}

func chatBody(content string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"adviser","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, content)
}

func TestOpenAIClientReadsWholeAndStreamedResponses(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, fastEngine)
	client := openai.NewClient(option.WithBaseURL(f.url+"/v1"), option.WithAPIKey(testKey), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model:     "adviser",
		MaxTokens: openai.Int(5),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Which radius?")},
	}
	whole, err := client.Chat.Completions.New(context.Background(), params)
	is.NoErr(err)
	is.Equal(len(strings.Fields(whole.Choices[0].Message.Content)), 5)
	is.Equal(whole.Usage.CompletionTokens, int64(5))
	stream := client.Chat.Completions.NewStreaming(context.Background(), params)
	text := ""
	for stream.Next() {
		if choices := stream.Current().Choices; len(choices) > 0 {
			text += choices[0].Delta.Content
		}
	}
	is.NoErr(stream.Err())
	is.Equal(len(strings.Fields(text)), 5)
}

func TestRejectedRequestsReportNotExecuted(t *testing.T) {
	f := newFixture(t, fastEngine)
	long := chatBody(strings.Repeat("a", 200_000), 1, false)
	tests := []struct {
		name   string
		body   string
		header map[string]string
		status int
		code   string
	}{
		{"no key", chatBody("a", 1, false), map[string]string{"Authorization": ""}, 401, "unauthorized"},
		{"wrong key", chatBody("a", 1, false), map[string]string{"Authorization": "Bearer no"}, 401, "unauthorized"},
		{"not JSON", "{", nil, 400, "bad_request"},
		{"no model", `{"messages":[]}`, nil, 400, "bad_request"},
		{"unknown model", `{"model":"x","messages":[]}`, nil, 404, "not_found"},
		{"negative tokens", chatBody("a", -1, false), nil, 400, "bad_request"},
		{"body too large", long, nil, 413, "body_too_large"},
		{"bad timeout", chatBody("a", 1, false), map[string]string{"X-Request-Timeout": "soon"}, 400, "bad_request"},
		{"timeout not a number", chatBody("a", 1, false), map[string]string{"X-Request-Timeout": "NaN"}, 400, "bad_request"},
		{"priority not allowed", chatBody("a", 1, false), map[string]string{"X-Request-Priority": "urgent"}, 403, "forbidden"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			response, err := f.postCompletion(context.Background(), test.body, test.header)
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			text, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, test.status)
			is.True(strings.Contains(string(text), `"code":"`+test.code+`"`))
			is.True(strings.Contains(string(text), `"execution":"not_run"`))
		})
	}
	if runs := f.engine.Load().Runs; runs != 0 {
		t.Fatalf("%d rejected requests were executed", runs)
	}
}

// TestCallerDisconnectFreesEngineAndPlacement guards against engine memory or a
// placement that leaks when a caller disconnects before the first token, during a
// stream or while queued.
func TestCallerDisconnectFreesEngineAndPlacement(t *testing.T) {
	slow := engine.Config{Slots: 1, KVTokens: 100_000, PrefillTokensPerSecond: 3_000, TokenInterval: time.Millisecond}
	tests := []struct {
		name   string
		prompt int
		stream bool
		queued bool
	}{
		{"before the first token", 20_000, true, false},
		{"whole answer", 20_000, false, false},
		{"in the stream", 100, true, false},
		{"in the queue", 20_000, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, slow)
			ctx, disconnect := context.WithCancel(context.Background())
			var returned atomic.Int32
			send := func(ctx context.Context) {
				response, err := f.postCompletion(ctx, chatBody(strings.Repeat("a", test.prompt*4), 60_000, test.stream), nil)
				if err == nil {
					_, _ = io.Copy(io.Discard, bufio.NewReader(response.Body))
					_ = response.Body.Close()
				}
				returned.Add(1)
			}
			blocker, free := context.WithCancel(context.Background())
			defer free()
			if test.queued {
				go send(blocker)
				eventually(t, "the slot is occupied", func() bool { return f.engine.Load().Running == 1 })
			}
			go send(ctx)
			eventually(t, "the request runs or is queued", func() bool {
				waiting, running := f.dispatcher.Load()
				return running == 1 && f.engine.Load().Running == 1 && (waiting == 1) == test.queued
			})
			disconnect()
			eventually(t, "the caller has disconnected", func() bool { return returned.Load() == 1 })
			eventually(t, "the queue is empty", func() bool {
				waiting, _ := f.dispatcher.Load()
				return waiting == 0
			})
			free()
			eventually(t, "the placement and the engine memory are free", func() bool {
				_, running := f.dispatcher.Load()
				return running == 0 && f.engine.Load().KVTokens == 0
			})
			is.Equal(f.engine.Load().Runs, 1) // the queued request was not executed
		})
	}
}

func TestCancelIsRepeatedUntilConfirmed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, engine.Config{Slots: 2, KVTokens: 100_000, PrefillTokensPerSecond: 3_000, TokenInterval: time.Millisecond})
	f.control.Set(fault.Knobs{LoseCancels: 3})
	ctx, disconnect := context.WithCancel(context.Background())
	go func() {
		response, err := f.postCompletion(ctx, chatBody(strings.Repeat("a", 80_000), 10, true), nil)
		if err == nil {
			_ = response.Body.Close()
		}
	}()
	eventually(t, "the request runs", func() bool { return f.engine.Load().Running == 1 })
	disconnect()
	eventually(t, "the engine is free", func() bool { return f.engine.Load().Running == 0 })
	is.Equal(f.control.Knobs().LoseCancels, 0)
}

func TestBrokenStreamEndsWithErrorEventAndNoEndMarker(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, fastEngine)
	f.control.Set(fault.Knobs{BreakStreams: 1})
	response, err := f.postCompletion(context.Background(), chatBody("a", 20, true), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.True(!strings.Contains(string(text), "[DONE]"))
	is.True(strings.Contains(string(text), `"execution":"may_have_run"`))
}

func TestCompletionHasEntryQueueAndAttemptSpans(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, fastEngine)
	const traceID = "4bf92f3577b34da6a3ce929d0e0e4736"
	response, err := f.postCompletion(context.Background(), chatBody("a", 2, false), map[string]string{
		"traceparent": "00-" + traceID + "-00f067aa0ba902b7-01",
	})
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	names := map[string]bool{}
	eventually(t, "the entry span ends", func() bool {
		for _, span := range f.spans.GetSpans() {
			is.Equal(span.SpanContext.TraceID().String(), traceID)
			names[span.Name] = true
		}
		return names["entry"]
	})
	is.True(names["queue"])
	is.True(names["attempt"])
}
