package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/standin/engine"
	"github.com/wigeontiller/wigeontiller/standin/fault"
	"github.com/wigeontiller/wigeontiller/tables"
	"github.com/wigeontiller/wigeontiller/upstream"
)

// groupFixture is an entry server in front of three simulated engines of 10,000 tokens each.
type groupFixture struct {
	*fixture
	engines   []*engine.Engine
	controls  []*fault.Control
	addresses []string
}

// groupPrompt has 20,250 tokens: over twice an engine's memory.
var groupPrompt = strings.Repeat("abcd", 20_250)

func newGroupFixture(t *testing.T) *groupFixture {
	f := &groupFixture{fixture: newFixture(t, fastEngine)}
	config := engine.Config{Slots: 8, KVTokens: 10_000, PrefillTokensPerSecond: 1_000_000, TokenInterval: time.Millisecond}
	document := `name: works
models: [{name: adviser, context_tokens: 1048576}]
length_classes: [{name: any, max_prompt_tokens: 1000000, deadline: 20s}]
reserve: {short_slots_percent: 10}
limits: {body_bytes: 200000}
`
	document += fmt.Sprintf("organisations: [{name: dock, key_digests: [%q]}]\nengines:\n", environment.KeyDigest(testKey))
	for i := range 3 {
		control := new(fault.Control)
		server := engine.NewServer(config, control)
		address := listen(t, server.App())
		f.engines = append(f.engines, server.Engine())
		f.controls = append(f.controls, control)
		f.addresses = append(f.addresses, address)
		document += fmt.Sprintf("  - {name: e%d, data_centre: dc-a, address: %q, models: [adviser], slots: 8, kv_tokens: 10000}\n", i, address)
	}
	parsed, err := environment.Parse([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	site := configuration.NewSite()
	site.Version = 2
	site.Environments["works"] = configuration.Environment{ProductionDigest: "d"}
	f.dispatcher.Configure(tables.Build(site, map[string]*environment.Document{"d": parsed}))
	return f
}

func (f *groupFixture) usedKVTokens() int {
	used := 0
	for _, e := range f.engines {
		used += e.Load().KVTokens
	}
	return used
}

func (f *groupFixture) isIdle() bool {
	_, running := f.dispatcher.Load()
	return running == 0 && f.usedKVTokens() == 0
}

func (f *groupFixture) reserve(t *testing.T, member int, body string) int {
	t.Helper()
	response, err := http.Post("http://"+f.addresses[member]+"/v1/kv/reserve", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestPromptLargerThanOneEngineRunsOnGroup also sends an engine list in the caller's
// header, which must not be forwarded.
func TestPromptLargerThanOneEngineRunsOnGroup(t *testing.T) {
	is := is.New(t)
	f := newGroupFixture(t)
	header := map[string]string{upstream.HeaderKVEngines: "127.0.0.1:1=5"}
	for _, prompt := range []string{groupPrompt, "short"} {
		body := chatBody(prompt, 100, false)
		response, err := f.postCompletion(context.Background(), body, header)
		is.NoErr(err)
		text, err := io.ReadAll(response.Body)
		is.NoErr(err)
		_ = response.Body.Close()
		is.Equal(response.StatusCode, 200)
		is.True(strings.Contains(string(text), engine.Mark([]byte(body))+"-100 "))
	}
	eventually(t, "all engines are free", f.isIdle)
	runs, used := 0, 0
	for _, e := range f.engines {
		runs += e.Load().Runs
		if e.Load().PeakKVTokens > 1000 {
			used++
		}
		is.True(e.Load().PeakKVTokens <= 10_000)
	}
	is.Equal(runs, 2)
	is.Equal(used, 3)
}

// TestFullGroupEngineRejectsAttempt fills one engine at a time without the node's
// knowledge: the lead, the first member and the last, which is tried when memory at the
// others is reserved.
func TestFullGroupEngineRejectsAttempt(t *testing.T) {
	for full := range 3 {
		t.Run(fmt.Sprint(full), func(t *testing.T) { testFullGroupEngine(t, full) })
	}
}

func testFullGroupEngine(t *testing.T, full int) {
	is := is.New(t)
	f := newGroupFixture(t)
	is.Equal(f.reserve(t, full, `{"attempt":"other","tokens":9900,"ttl_ms":60000}`), 200)
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	done := make(chan error, 1)
	go func() {
		response, err := f.postCompletion(ctx, chatBody(groupPrompt, 10, false), nil)
		if err == nil {
			_ = response.Body.Close()
			err = fmt.Errorf("status %d", response.StatusCode)
		}
		done <- err
	}()
	rejected := func() int {
		return f.engines[0].Load().Rejected + f.engines[1].Load().Rejected + f.engines[2].Load().Rejected
	}
	eventually(t, "the engines have rejected attempts", func() bool { return rejected() >= 3 })
	disconnect()
	is.True(<-done != nil)
	eventually(t, "only the other attempt's memory is reserved", func() bool { return f.usedKVTokens() == 9900 })
	// The placement ends once the engine no longer lists the attempt.
	eventually(t, "the placement has ended", func() bool {
		_, running := f.dispatcher.Load()
		return running == 0
	})
	for _, e := range f.engines {
		is.Equal(e.Load().Runs, 0)
	}
}

func TestCallerDisconnectFreesGroup(t *testing.T) {
	is := is.New(t)
	f := newGroupFixture(t)
	ctx, disconnect := context.WithCancel(context.Background())
	response, err := f.postCompletion(ctx, chatBody(groupPrompt, 1500, true), nil)
	is.NoErr(err)
	is.True(f.usedKVTokens() > 20_000)
	disconnect()
	_ = response.Body.Close()
	eventually(t, "all engines are free", f.isIdle)
}

// TestFrozenLeadFreesGroupMembers freezes the lead during a response.
func TestFrozenLeadFreesGroupMembers(t *testing.T) {
	is := is.New(t)
	f := newGroupFixture(t)
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	response, err := f.postCompletion(ctx, chatBody(groupPrompt, 6000, true), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, 200)
	for i, e := range f.engines {
		if len(e.Load().Streams) > 0 {
			f.controls[i].Set(fault.Knobs{Frozen: true})
		}
	}
	eventually(t, "the members are free", func() bool {
		free := 0
		for _, e := range f.engines {
			if load := e.Load(); load.KVTokens == 0 && len(load.Streams) == 0 {
				free++
			}
		}
		return free == 2
	})
	for i := range f.controls {
		f.controls[i].Set(fault.Knobs{})
	}
}

// TestLostGroupMemberEndsAttempt takes a member down during a response; the attempt must
// end without an end marker and free all memory.
func TestLostGroupMemberEndsAttempt(t *testing.T) {
	is := is.New(t)
	f := newGroupFixture(t)
	response, err := f.postCompletion(context.Background(), chatBody(groupPrompt, 6000, true), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, 200)
	for i, e := range f.engines {
		if len(e.Load().Streams) == 0 {
			f.controls[i].Set(fault.Knobs{Down: true})
			break
		}
	}
	text, _ := io.ReadAll(response.Body)
	is.True(!strings.Contains(string(text), "[DONE]"))
	eventually(t, "all engines are free", f.isIdle)
}
