package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/tables"
)

var start = time.Unix(10_000, 0)

// fixture is a scheduler with an environment document and a clock of its own.
type fixture struct {
	*Scheduler
	t             testing.TB
	is            *is.I
	document      *environment.Document
	site          configuration.Site
	now           time.Time
	requestCount  int
	grantedShares map[string]Share
}

func newFixture(t testing.TB, engines, organisations int) *fixture {
	document := &environment.Document{
		Name:    "test",
		Models:  []environment.Model{{Name: "m", ContextTokens: 1_000_000}},
		Limits:  environment.Limits{QueueLength: 1024},
		Reserve: environment.Reserve{ShortPromptTokens: 16_000, LongPrefillPerDataCentre: 2, ShortSlotsPercent: 25},
		Ramp:    environment.Ramp{InitialPercent: 10, Duration: 30 * time.Second},
		Retry:   environment.Retry{MaxAttempts: 3, BudgetPercent: 10},

		PrefixAffinity: environment.LongAffinity,
	}
	for i := range engines {
		document.Engines = append(document.Engines, environment.Engine{
			Name: fmt.Sprint("e", i), Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: "dc1", VM: fmt.Sprint("vm", i),
			Models: []string{"m"}, Slots: 8, KVTokens: 400_000,
		})
	}
	for i := range organisations {
		document.Organisations = append(document.Organisations, environment.Organisation{Name: fmt.Sprint("o", i), Weight: 1})
	}
	f := &fixture{Scheduler: New("dc1"), t: t, is: is.New(t), document: document, now: start}
	f.site = configuration.Site{
		Environments:            map[string]configuration.Environment{"test": {ProductionDigest: "d"}},
		OutOfServiceDataCentres: map[string]bool{},
		OutOfServiceVMs:         map[string]bool{},
	}
	return f
}

// configure applies the site to the scheduler as a new version.
func (f *fixture) configure() {
	f.site.Version++
	f.Configure(f.now, tables.Build(f.site, map[string]*environment.Document{"d": f.document}))
}

func (f *fixture) request(organisation, prompt int) *Request {
	f.requestCount++
	return &Request{
		ID:           fmt.Sprint("r", f.requestCount),
		Plan:         f.tables.Plans[0],
		Organisation: &f.tables.Plans[0].Document.Organisations[organisation],
		Model:        "m",
		PromptTokens: prompt,
		MaxTokens:    100,
		Priority:     environment.Normal,
		Arrived:      f.now,
		Deadline:     f.now.Add(time.Minute),
	}
}

func (f *fixture) submit(request *Request) Decision {
	decision := f.Submit(f.now, request)
	f.checkInvariants()
	return decision
}

func (f *fixture) advance() []Decision {
	decisions := f.Advance(f.now)
	f.checkInvariants()
	return decisions
}

func (f *fixture) finish(id string, outcome Outcome) {
	f.Finish(f.now, id, outcome)
	f.checkInvariants()
}

func (f *fixture) checkInvariants() {
	f.t.Helper()
	if err := f.Check(); err != nil {
		f.t.Fatal(err)
	}
}
