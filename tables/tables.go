// Package tables builds the read-only tables that routing uses from the site and its
// documents. Data flows one way: from configuration to tables to handlers.
package tables

import (
	"strings"
	"time"

	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/environment"
)

// Lane separates trial traffic from production traffic.
type Lane string

// The lanes of an environment.
const (
	Production Lane = "production"
	Trial      Lane = "trial"
)

// UpstreamKind distinguishes engines from plain services.
type UpstreamKind int

// The kinds of upstream.
const (
	EngineUpstream UpstreamKind = iota
	ServiceUpstream
)

// Upstream is one back end. It is immutable once built, since goroutines share it.
type Upstream struct {
	// ID is ENVIRONMENT/LANE/NAME; it is unique in a site.
	ID         string
	Kind       UpstreamKind
	Name       string
	DataCentre string
	VM         string
	// Address is an IP address and port.
	Address string
	// Models lists an engine's models; Service names a plain service.
	Models  []string
	Service string
	// Slots is the number of requests that the upstream serves at once.
	Slots int
	// KVTokens is an engine's KV memory in tokens.
	KVTokens int
	// OutOfService is true when its VM or data centre is out of service.
	OutOfService bool
	// Ramp bounds the upstream's load after a start.
	Ramp environment.Ramp
}

// Plan is one lane of one environment, with its document and its upstreams.
type Plan struct {
	Environment string
	Lane        Lane
	Digest      string
	Document    *environment.Document
	Upstreams   []*Upstream
}

// Caller is the organisation that a key belongs to and the plan that the key
// selects.
type Caller struct {
	Plan         *Plan
	Organisation *environment.Organisation
}

// Tables is one immutable version of all data that handlers look up.
type Tables struct {
	// Version is the site version.
	Version   uint64
	Site      configuration.Site
	Plans     []*Plan
	Upstreams map[string]*Upstream
	callers   map[string]Caller
}

// Build builds tables from a site and the parsed documents by digest. Every
// digest of the site must be in documents.
func Build(site configuration.Site, documents map[string]*environment.Document) *Tables {
	built := &Tables{
		Version:   site.Version,
		Site:      site,
		Upstreams: map[string]*Upstream{},
		callers:   map[string]Caller{},
	}
	for name, state := range site.Environments {
		built.addPlan(name, Production, state.ProductionDigest, documents)
		built.addPlan(name, Trial, state.TrialDigest, documents)
	}
	built.splitSharedCapacity()
	return built
}

func (t *Tables) addPlan(name string, lane Lane, digest string, documents map[string]*environment.Document) {
	document := documents[digest]
	if document == nil {
		return
	}
	plan := &Plan{Environment: name, Lane: lane, Digest: digest, Document: document}
	t.addUpstreams(plan)
	t.addCallers(plan)
	t.Plans = append(t.Plans, plan)
}

func (t *Tables) addUpstreams(plan *Plan) {
	for _, engine := range plan.Document.Engines {
		t.addUpstream(plan, &Upstream{
			Kind:       EngineUpstream,
			Name:       engine.Name,
			DataCentre: engine.DataCentre,
			VM:         engine.VM,
			Address:    engine.Address,
			Models:     engine.Models,
			Slots:      engine.Slots,
			KVTokens:   engine.KVTokens,
		})
	}
	for _, service := range plan.Document.Services {
		for _, endpoint := range service.Endpoints {
			t.addUpstream(plan, &Upstream{
				Kind:       ServiceUpstream,
				Name:       endpoint.Name,
				DataCentre: endpoint.DataCentre,
				VM:         endpoint.VM,
				Address:    endpoint.Address,
				Service:    service.Name,
				Slots:      endpoint.Slots,
			})
		}
	}
}

func (t *Tables) addUpstream(plan *Plan, upstream *Upstream) {
	upstream.ID = plan.Environment + "/" + string(plan.Lane) + "/" + upstream.Name
	upstream.OutOfService = t.Site.OutOfServiceDataCentres[upstream.DataCentre] || t.Site.OutOfServiceVMs[upstream.VM]
	upstream.Ramp = plan.Document.Ramp
	plan.Upstreams = append(plan.Upstreams, upstream)
	t.Upstreams[upstream.ID] = upstream
}

func (t *Tables) addCallers(plan *Plan) {
	for i := range plan.Document.Organisations {
		organisation := &plan.Document.Organisations[i]
		digests := organisation.KeyDigests
		if plan.Lane == Trial {
			digests = organisation.TrialKeyDigests
		}
		for _, digest := range digests {
			t.callers[digest] = Caller{Plan: plan, Organisation: organisation}
		}
	}
}

// Caller returns the caller that a key belongs to. Keys are looked up by SHA-256
// digest, so that the time taken reveals nothing about a listed key.
func (t *Tables) Caller(key string) (Caller, bool) {
	digest := environment.KeyDigest(key)
	caller, ok := t.callers[digest]
	return caller, ok
}

// Deadline returns the time that the prompt's length class allows, or false when the
// prompt is longer than every class.
func (p *Plan) Deadline(promptTokens int) (time.Duration, bool) {
	for _, class := range p.Document.LengthClasses {
		if promptTokens <= class.MaxPromptTokens {
			return class.Deadline, true
		}
	}
	return 0, false
}

// HasModel reports whether the document lists the model.
func (p *Plan) HasModel(name string) bool {
	for _, model := range p.Document.Models {
		if model.Name == name {
			return true
		}
	}
	return false
}

// Service returns a plain service by name.
func (p *Plan) Service(name string) (*environment.Service, bool) {
	for i := range p.Document.Services {
		if p.Document.Services[i].Name == name {
			return &p.Document.Services[i], true
		}
	}
	return nil, false
}

// HasSideEffect reports whether a call to the service must be executed at most once.
func HasSideEffect(service *environment.Service, method, path string) bool {
	for _, route := range service.SideEffects {
		if route.Method == method && strings.HasPrefix(path, route.Path) {
			return true
		}
	}
	return false
}
