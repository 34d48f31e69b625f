package entry

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tidwall/gjson"
	"go.opentelemetry.io/otel/trace/noop"

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
	prefixEngineCount = 4
	prefixNodeCount   = 2
	// prefixBlockTokens is the block length of the simulated engine's prefix cache.
	prefixBlockTokens = 256
)

// prefixFixture is several entry nodes in front of several engines with prefix caches.
type prefixFixture struct {
	is          *is.I
	document    *environment.Document
	site        configuration.Site
	engines     []*engine.Engine
	dispatchers []*dispatch.Dispatcher
	metrics     *telemetry.Metrics
	urls        []string
}

func newPrefixFixture(t *testing.T, cacheTokens int) *prefixFixture {
	s := &prefixFixture{is: is.New(t), site: configuration.NewSite(), metrics: telemetry.NewMetrics()}
	config := engine.Config{Slots: 8, KVTokens: 200_000, PrefillTokensPerSecond: 1_000_000, TokenInterval: time.Millisecond, PrefixCacheTokens: cacheTokens}
	var engines strings.Builder
	for i := range prefixEngineCount {
		server := engine.NewServer(config, new(fault.Control))
		s.engines = append(s.engines, server.Engine())
		_, _ = fmt.Fprintf(&engines, "- {name: e%d, data_centre: dc-a, vm: vm%d, address: %q, models: [adviser], slots: 8, kv_tokens: 200000}\n", i, i, listen(t, server.App()))
	}
	parsed, err := environment.Parse(fmt.Appendf(nil, `name: works
models: [{name: adviser, context_tokens: 1048576}]
organisations: [{name: dock, key_digests: [%q]}, {name: quay, key_digests: [%q]}]
length_classes: [{name: any, max_prompt_tokens: 1000000, deadline: 20s}]
prefix_affinity: all
ramp: {initial_percent: 50, duration: 1ms}
engines:
%s`, environment.KeyDigest(testKey), environment.KeyDigest(otherKey), engines.String()))
	s.is.NoErr(err)
	s.document = parsed
	s.site.Environments["works"] = configuration.Environment{ProductionDigest: "d"}
	for i := range prefixNodeCount {
		dispatcher := dispatch.New(scheduling.NewSeeded("dc-a", rand.New(rand.NewPCG(uint64(i), 1))))
		s.dispatchers = append(s.dispatchers, dispatcher)
		go dispatcher.Run(t.Context())
		server := NewServer(Config{
			ResumeSigner: testSigner(t), Dispatcher: dispatcher, Upstreams: upstream.NewClient(),
			Tracer: noop.NewTracerProvider().Tracer("test"), Metrics: s.metrics,
			Claims: claimstore.New(claimstore.Config{Platform: memory.New(), Metrics: s.metrics}),
		})
		s.urls = append(s.urls, "http://"+listen(t, server.App()))
	}
	s.configure()
	return s
}

// configure puts the site in force at all nodes.
func (s *prefixFixture) configure() {
	s.site.Version++
	for _, dispatcher := range s.dispatchers {
		dispatcher.Configure(tables.Build(s.site, map[string]*environment.Document{"d": s.document}))
	}
}

// send sends a prompt to a node and returns the engine that ran it and the number of its
// tokens that came from the cache. Prompts are sent one after the other.
func (s *prefixFixture) send(node int, key, content string) (ran, cached int) {
	before := make([]int, len(s.engines))
	for i, e := range s.engines {
		before[i] = e.Load().Runs
	}
	request, err := http.NewRequest(http.MethodPost, s.urls[node]+"/v1/chat/completions", strings.NewReader(chatBody(content, 2, false)))
	s.is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	s.is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	s.is.NoErr(err)
	s.is.Equal(response.StatusCode, http.StatusOK)
	s.is.True(strings.Contains(gjson.GetBytes(body, "choices.0.message.content").String(), "-2 ")) // the complete response
	ran = -1
	for i, e := range s.engines {
		if e.Load().Runs > before[i] {
			s.is.Equal(ran, -1) // executed by one engine only
			ran = i
		}
	}
	return ran, int(gjson.GetBytes(body, "usage.prompt_tokens_details.cached_tokens").Int())
}

func (s *prefixFixture) prefilledTokens() int {
	total := 0
	for _, e := range s.engines {
		total += e.Load().ReadTokens
	}
	return total
}

// longPrompt returns a text of about 20,000 bytes that differs for each mark.
func longPrompt(mark string) string { return strings.Repeat(mark+" ", 20_000/(len(mark)+1)) }

func TestNodesPlacePromptAtEngineThatCachesItsPrefix(t *testing.T) {
	s := newPrefixFixture(t, 100_000)
	const rounds = 4
	used := map[int]bool{}
	for i := range 8 {
		content := longPrompt(fmt.Sprint("folder", i))
		first, cached := s.send(0, testKey, content)
		s.is.Equal(cached, 0)
		used[first] = true
		prefilledBefore := s.prefilledTokens()
		for round := 1; round < rounds; round++ {
			again, cached := s.send(round%prefixNodeCount, testKey, content+fmt.Sprint("question ", round))
			s.is.Equal(again, first)
			s.is.True(cached >= len(content)/bytesPerToken-prefixBlockTokens)
		}
		s.is.True(s.prefilledTokens()-prefilledBefore <= (rounds-1)*2*prefixBlockTokens) // the questions and an incomplete block
	}
	s.is.True(len(used) > 1) // different prefixes are spread
	prompt := s.metrics.CounterValue(`wigeontiller_prompt_tokens_total{model="adviser"}`)
	counted := s.metrics.CounterValue(`wigeontiller_cached_prompt_tokens_total{model="adviser"}`)
	s.is.True(counted > 0 && counted < prompt)
}

func TestOrganisationsShareNoCachedPrefix(t *testing.T) {
	s := newPrefixFixture(t, 100_000)
	for i := range 8 { // whichever engines the two are placed at
		content := longPrompt(fmt.Sprint("shared", i))
		s.send(0, testKey, content)
		_, cached := s.send(0, otherKey, content)
		s.is.Equal(cached, 0)
		_, cached = s.send(1, otherKey, content)
		s.is.True(cached > 0)
	}
}

// TestLostPrefixIsPrefilledAgainAtSameEngine loses a cached prefix by a restart or an
// eviction; a repeat must still be placed at that engine.
func TestLostPrefixIsPrefilledAgainAtSameEngine(t *testing.T) {
	for name, lose := range map[string]func(s *prefixFixture, cachedAt int){
		"restart": func(s *prefixFixture, cachedAt int) { s.engines[cachedAt].Crash(0) },
		"evicted": func(s *prefixFixture, cachedAt int) {
			for i, ran := 0, -1; ran != cachedAt; i++ {
				ran, _ = s.send(1, testKey, longPrompt(fmt.Sprint("other", i)))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newPrefixFixture(t, 4_900) // room for one prompt
			content := longPrompt("brand")
			cachedAt, _ := s.send(0, testKey, content)
			lose(s, cachedAt)
			again, cached := s.send(1, testKey, content)
			s.is.Equal(again, cachedAt)
			s.is.True(cached < prefixBlockTokens)
			_, cached = s.send(0, testKey, content)
			s.is.True(cached > 0)
		})
	}
}

func TestPrefixMovesWhileItsEngineIsOutOfService(t *testing.T) {
	s := newPrefixFixture(t, 100_000)
	content := longPrompt("brand")
	cachedAt, _ := s.send(0, testKey, content)
	vm := fmt.Sprint("vm", cachedAt)
	s.site.OutOfServiceVMs[vm] = true
	s.configure()
	second, cached := s.send(0, testKey, content)
	s.is.True(second != cachedAt)
	s.is.Equal(cached, 0)
	again, cached := s.send(1, testKey, content)
	s.is.Equal(again, second) // the second choice is the same at every node
	s.is.True(cached > 0)
	delete(s.site.OutOfServiceVMs, vm)
	s.configure()
	back, cached := s.send(1, testKey, content)
	s.is.Equal(back, cachedAt)
	s.is.True(cached > 0)
}
