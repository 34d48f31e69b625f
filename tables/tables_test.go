package tables

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/environment"
)

func sampleTables(t *testing.T, change func(*configuration.Site)) *Tables {
	t.Helper()
	text := []byte(`name: works
models: [{name: m, context_tokens: 1000}]
organisations: [{name: dock, key_digests: ["` + environment.KeyDigest("live") + `"], trial_key_digests: ["` + environment.KeyDigest("trial") + `"]}]
length_classes: [{name: short, max_prompt_tokens: 10, deadline: 1s}, {name: long, max_prompt_tokens: 100, deadline: 1m}]
engines:
  - {name: e1, data_centre: a, address: "127.0.0.1:1", models: [m], slots: 1, kv_tokens: 10}
  - {name: e2, data_centre: b, address: "127.0.0.2:1", models: [m], slots: 1, kv_tokens: 10}
services: [{name: s, endpoints: [{name: s1, data_centre: a, address: "127.0.0.1:2", slots: 1}], side_effects: [{method: POST, path: /pay}]}]
`)
	document, err := environment.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	site := configuration.NewSite()
	site.Environments["works"] = configuration.Environment{ProductionDigest: "d", TrialDigest: "d"}
	change(&site)
	return Build(site, map[string]*environment.Document{"d": document})
}

func TestKeySelectsLane(t *testing.T) {
	is := is.New(t)
	built := sampleTables(t, func(*configuration.Site) {})
	live, ok := built.Caller("live")
	is.True(ok)
	is.Equal(live.Plan.Lane, Production)
	trial, ok := built.Caller("trial")
	is.True(ok)
	is.Equal(trial.Plan.Lane, Trial)
	_, ok = built.Caller("other")
	is.True(!ok)
	is.True(built.Upstreams["works/trial/e1"] != built.Upstreams["works/production/e1"]) // the lanes share no upstream
}

func TestUpstreamIsOutOfServiceByDataCentreOrVM(t *testing.T) {
	is := is.New(t)
	built := sampleTables(t, func(site *configuration.Site) {
		site.OutOfServiceDataCentres["a"] = true
		site.OutOfServiceVMs["127.0.0.2"] = true
	})
	for _, upstream := range built.Upstreams {
		is.True(upstream.OutOfService)
	}
	built = sampleTables(t, func(site *configuration.Site) { site.OutOfServiceDataCentres["a"] = true })
	is.True(built.Upstreams["works/production/e1"].OutOfService)
	is.True(built.Upstreams["works/production/s1"].OutOfService)
	is.True(!built.Upstreams["works/production/e2"].OutOfService)
}

func TestDeadlineFollowsPromptLength(t *testing.T) {
	is := is.New(t)
	plan := sampleTables(t, func(*configuration.Site) {}).Plans[0]
	tests := []struct {
		tokens  int
		seconds float64
		ok      bool
	}{{1, 1, true}, {10, 1, true}, {11, 60, true}, {100, 60, true}, {101, 0, false}}
	for _, test := range tests {
		deadline, ok := plan.Deadline(test.tokens)
		is.Equal(ok, test.ok)
		is.Equal(deadline.Seconds(), test.seconds)
	}
}

func TestPlansSplitCapacityOfSharedUpstream(t *testing.T) {
	is := is.New(t)
	text := []byte(`name: works
models: [{name: m, context_tokens: 1000}]
length_classes: [{name: any, max_prompt_tokens: 1000, deadline: 1s}]
engines: [{name: e1, data_centre: a, address: "127.0.0.1:1", models: [m], slots: 20, kv_tokens: 1000}]
trial: {capacity_percent: 20}
`)
	document, err := environment.Parse(text)
	is.NoErr(err)
	documents := map[string]*environment.Document{"d": document}
	site := configuration.NewSite()
	site.Environments["works"] = configuration.Environment{ProductionDigest: "d", TrialDigest: "d"}
	built := Build(site, documents)
	production, trial := built.Upstreams["works/production/e1"], built.Upstreams["works/trial/e1"]
	is.Equal(production.Slots+trial.Slots, 20)
	is.Equal(production.KVTokens+trial.KVTokens, 1000)
	is.Equal(trial.KVTokens, 200)
	site.Environments["works"] = configuration.Environment{ProductionDigest: "d"}
	is.Equal(Build(site, documents).Upstreams["works/production/e1"].KVTokens, 1000) // full capacity without a trial
	site.Environments["other"] = configuration.Environment{ProductionDigest: "d"}
	built = Build(site, documents)
	is.Equal(built.Upstreams["other/production/e1"].Slots+built.Upstreams["works/production/e1"].Slots, 20)
}
