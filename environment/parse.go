package environment

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/strictyaml"
)

const (
	defaultBodyBytes                 = 8 << 20
	defaultQueueLength               = 1024
	defaultMaxTokens                 = 512
	defaultShortPromptTokens         = 16_000
	defaultLongPrefillsPerDataCentre = 2
	defaultShortSlotsPercent         = 25
	defaultRampInitialPercent        = 10
	defaultRampDuration              = 30 * time.Second
	defaultMaxAttempts               = 3
	defaultRetryBudgetPercent        = 10
	defaultRetention                 = 24 * time.Hour
	defaultTrialCapacityPercent      = 10
	maxTrialCapacityPercent          = 50
	maxBodyBytes                     = 64 << 20
	maxPercent                       = 100
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62})$`)
	digestPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
)

// Parse decodes and validates a document. The error is of type strictyaml.Errors
// and lists every problem found.
func Parse(data []byte) (*Document, error) {
	document := new(Document)
	source, err := strictyaml.Decode(data, document)
	if err != nil {
		return nil, err
	}
	document.provision()
	check := checker{source: source}
	check.document(document)
	if len(check.errors) > 0 {
		return nil, check.errors
	}
	return document, nil
}

func (d *Document) provision() {
	setDefault(&d.Limits.BodyBytes, defaultBodyBytes)
	setDefault(&d.Limits.QueueLength, defaultQueueLength)
	setDefault(&d.Limits.DefaultMaxTokens, defaultMaxTokens)
	setDefault(&d.Reserve.ShortPromptTokens, defaultShortPromptTokens)
	setDefault(&d.Reserve.LongPrefillPerDataCentre, defaultLongPrefillsPerDataCentre)
	setDefault(&d.Reserve.ShortSlotsPercent, defaultShortSlotsPercent)
	setDefault(&d.PrefixAffinity, LongAffinity)
	setDefault(&d.Ramp.InitialPercent, defaultRampInitialPercent)
	setDefault(&d.Ramp.Duration, defaultRampDuration)
	setDefault(&d.Retry.MaxAttempts, defaultMaxAttempts)
	setDefault(&d.Retry.BudgetPercent, defaultRetryBudgetPercent)
	setDefault(&d.AtMostOnce.Retention, defaultRetention)
	setDefault(&d.Trial.CapacityPercent, defaultTrialCapacityPercent)
	for i := range d.Organisations {
		setDefault(&d.Organisations[i].Weight, 1)
		setDefault(&d.Organisations[i].MaxPriority, "normal")
	}
	for i := range d.Engines {
		setDefault(&d.Engines[i].VM, hostOf(d.Engines[i].Address))
	}
	for i := range d.Services {
		for j := range d.Services[i].Endpoints {
			endpoint := &d.Services[i].Endpoints[j]
			setDefault(&endpoint.VM, hostOf(endpoint.Address))
		}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func hostOf(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	return parsed.Addr().String()
}

// checker collects the problems of one document.
type checker struct {
	source *strictyaml.Source
	errors strictyaml.Errors
}

func (c *checker) require(ok bool, field, format string, args ...any) {
	if ok {
		return
	}
	c.errors = append(c.errors, strictyaml.FieldError{
		Field:   field,
		Line:    c.source.Line(field),
		Message: fmt.Sprintf(format, args...),
	})
}

func (c *checker) uniqueName(seen map[string]bool, field, name string) {
	c.require(namePattern.MatchString(name), field, "must be 1 to 63 of a-z, 0-9 and '-'")
	c.require(!seen[name], field, "%q stands twice", name)
	seen[name] = true
}

func (c *checker) address(field, address string) {
	_, err := netip.ParseAddrPort(address)
	c.require(err == nil, field, "must be an IP address and port")
}

func (c *checker) document(d *Document) {
	c.require(namePattern.MatchString(d.Name), "name", "must be 1 to 63 of a-z, 0-9 and '-'")
	models := c.models(d.Models)
	upstreams := map[string]bool{}
	c.engines(d.Engines, models, upstreams)
	c.services(d.Services, upstreams)
	c.organisations(d.Organisations)
	c.lengthClasses(d.LengthClasses)
	c.bounds(d)
	known := slices.Contains([]PrefixAffinity{NoAffinity, LongAffinity, AllAffinity}, d.PrefixAffinity)
	c.require(known, "prefix_affinity", "must be none, long or all")
}

func (c *checker) models(models []Model) map[string]bool {
	seen := map[string]bool{}
	for i, model := range models {
		field := fmt.Sprintf("models[%d]", i)
		c.uniqueName(seen, field+".name", model.Name)
		c.require(model.ContextTokens > 0, field+".context_tokens", "must be positive")
	}
	return seen
}

func (c *checker) engines(engines []Engine, models, seen map[string]bool) {
	for i, engine := range engines {
		field := fmt.Sprintf("engines[%d]", i)
		c.uniqueName(seen, field+".name", engine.Name)
		c.address(field+".address", engine.Address)
		c.require(engine.DataCentre != "", field+".data_centre", "is required")
		c.require(engine.Slots > 0, field+".slots", "must be positive")
		c.require(engine.KVTokens > 0, field+".kv_tokens", "must be positive")
		c.require(len(engine.Models) > 0, field+".models", "must name a model")
		for j, model := range engine.Models {
			c.require(models[model], fmt.Sprintf("%s.models[%d]", field, j), "unknown model %q", model)
		}
	}
}

func (c *checker) services(services []Service, upstreams map[string]bool) {
	seen := map[string]bool{}
	for i, service := range services {
		field := fmt.Sprintf("services[%d]", i)
		c.uniqueName(seen, field+".name", service.Name)
		c.require(len(service.Endpoints) > 0, field+".endpoints", "must name an endpoint")
		for j, endpoint := range service.Endpoints {
			inner := fmt.Sprintf("%s.endpoints[%d]", field, j)
			c.uniqueName(upstreams, inner+".name", endpoint.Name)
			c.address(inner+".address", endpoint.Address)
			c.require(endpoint.DataCentre != "", inner+".data_centre", "is required")
			c.require(endpoint.Slots > 0, inner+".slots", "must be positive")
		}
		for j, route := range service.SideEffects {
			inner := fmt.Sprintf("%s.side_effects[%d]", field, j)
			c.require(route.Method != "", inner+".method", "is required")
			c.require(len(route.Path) > 0 && route.Path[0] == '/', inner+".path", "must start with '/'")
		}
	}
}

func (c *checker) organisations(organisations []Organisation) {
	seen := map[string]bool{}
	keys := map[string]bool{}
	for i, organisation := range organisations {
		field := fmt.Sprintf("organisations[%d]", i)
		c.uniqueName(seen, field+".name", organisation.Name)
		c.require(organisation.Weight > 0, field+".weight", "must be positive")
		c.require(organisation.TokensPerSecond >= 0, field+".tokens_per_second", "must not be negative")
		c.digests(keys, field+".key_digests", organisation.KeyDigests)
		c.digests(keys, field+".trial_key_digests", organisation.TrialKeyDigests)
		_, err := ParsePriority(organisation.MaxPriority)
		c.require(err == nil, field+".max_priority", "must be urgent, normal or batch")
	}
}

func (c *checker) digests(seen map[string]bool, field string, digests []string) {
	for i, digest := range digests {
		inner := fmt.Sprintf("%s[%d]", field, i)
		c.require(digestPattern.MatchString(digest), inner, "must be sha256: and 64 hex digits")
		c.require(!seen[digest], inner, "the key is listed twice")
		seen[digest] = true
	}
}

func (c *checker) lengthClasses(classes []LengthClass) {
	c.require(len(classes) > 0, "length_classes", "must hold a class")
	longest := 0
	for i, class := range classes {
		field := fmt.Sprintf("length_classes[%d]", i)
		c.require(class.Name != "", field+".name", "is required")
		c.require(class.MaxPromptTokens > longest, field+".max_prompt_tokens", "must be more than %d", longest)
		c.require(class.Deadline > 0, field+".deadline", "must be positive")
		longest = class.MaxPromptTokens
	}
}

func (c *checker) bounds(d *Document) {
	c.between("limits.body_bytes", d.Limits.BodyBytes, 1, maxBodyBytes)
	c.require(d.Limits.QueueLength > 0, "limits.queue_length", "must be positive")
	c.require(d.Limits.DefaultMaxTokens > 0, "limits.default_max_tokens", "must be positive")
	c.between("reserve.short_slots_percent", d.Reserve.ShortSlotsPercent, 0, maxPercent)
	c.require(d.Reserve.LongPrefillPerDataCentre > 0, "reserve.long_prefill_per_data_centre", "must be positive")
	c.between("ramp.initial_percent", d.Ramp.InitialPercent, 1, maxPercent)
	c.require(d.Ramp.Duration > 0, "ramp.duration", "must be positive")
	c.require(d.Retry.MaxAttempts > 0, "retry.max_attempts", "must be positive")
	c.between("retry.budget_percent", d.Retry.BudgetPercent, 1, maxPercent)
	c.between("trial.capacity_percent", d.Trial.CapacityPercent, 1, maxTrialCapacityPercent)
	c.require(d.AtMostOnce.Retention > 0, "at_most_once.retention", "must be positive")
}

func (c *checker) between(field string, value, low, high int) {
	c.require(value >= low && value <= high, field, "must be %d to %d", low, high)
}
