// Package environment defines the environment document, the YAML file that
// describes models, upstreams, organisations and limits, and validates it.
package environment

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Document describes one environment. Unknown fields are errors.
type Document struct {
	// Name identifies the environment in the operators' API.
	Name string `yaml:"name"`
	// Models lists the models that callers may request.
	Models []Model `yaml:"models"`
	// Engines lists the model engines, each in one data centre.
	Engines []Engine `yaml:"engines"`
	// Services lists the plain HTTP services that run beside the engines.
	Services []Service `yaml:"services"`
	// Organisations lists the callers' organisations.
	Organisations []Organisation `yaml:"organisations"`
	// LengthClasses gives the deadline by prompt length, shortest class first.
	LengthClasses []LengthClass `yaml:"length_classes"`
	// Limits bounds requests and the queue.
	Limits Limits `yaml:"limits"`
	// Reserve keeps capacity free for short requests.
	Reserve Reserve `yaml:"reserve"`
	// PrefixAffinity selects the prompts that go to engines which served the same
	// prompt prefix before. Default long.
	PrefixAffinity PrefixAffinity `yaml:"prefix_affinity"`
	// Ramp bounds the load on an upstream that has just started.
	Ramp Ramp `yaml:"ramp"`
	// Retry bounds repeated attempts.
	Retry Retry `yaml:"retry"`
	// AtMostOnce sets how long the result of a request with an idempotency key is kept.
	AtMostOnce AtMostOnce `yaml:"at_most_once"`
	// Trial bounds the capacity that the trial lane may use.
	Trial Trial `yaml:"trial"`
}

// Model is a model that callers may request.
type Model struct {
	Name string `yaml:"name"`
	// ContextTokens is the longest prompt plus answer, in tokens.
	ContextTokens int `yaml:"context_tokens"`
}

// Engine is one model engine.
type Engine struct {
	Name       string `yaml:"name"`
	DataCentre string `yaml:"data_centre"`
	// VM names the VM that the engine runs on; the default is the IP address.
	VM string `yaml:"vm"`
	// Address is an IP address and port.
	Address string `yaml:"address"`
	// Models names the models that the engine has loaded.
	Models []string `yaml:"models"`
	// Slots is the number of sequences that the engine batches at once.
	Slots int `yaml:"slots"`
	// KVTokens is the size of the engine's KV memory in tokens.
	KVTokens int `yaml:"kv_tokens"`
	// Fencing is true when the engine refuses orders with a stale fencing token.
	Fencing bool `yaml:"fencing"`
	// ChecksOrders is true when the engine checks who issued an order. Orders to it
	// are signed.
	ChecksOrders bool `yaml:"checks_orders"`
	// Role is the role that the engine is ordered to take, as the engine names it;
	// empty leaves the role unchanged.
	Role string `yaml:"role"`
	// Exclusive is true when models that no document names may be unloaded.
	Exclusive bool `yaml:"exclusive"`
}

// Service is a plain HTTP service that runs beside the engines.
type Service struct {
	Name      string     `yaml:"name"`
	Endpoints []Endpoint `yaml:"endpoints"`
	// SideEffects lists the routes whose calls must be executed at most once.
	SideEffects []Route `yaml:"side_effects"`
}

// Endpoint is one process of a plain service.
type Endpoint struct {
	Name       string `yaml:"name"`
	DataCentre string `yaml:"data_centre"`
	VM         string `yaml:"vm"`
	Address    string `yaml:"address"`
	// Slots is the number of calls that the process serves at once.
	Slots int `yaml:"slots"`
}

// Route selects calls by method and path prefix.
type Route struct {
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
}

// Organisation is a group of callers that shares a weight and limits.
type Organisation struct {
	Name string `yaml:"name"`
	// KeyDigests holds "sha256:HEX" digests of the organisation's keys.
	KeyDigests []string `yaml:"key_digests"`
	// TrialKeyDigests holds digests of keys whose requests use the trial document.
	TrialKeyDigests []string `yaml:"trial_key_digests"`
	// Weight is the organisation's relative share when capacity is scarce. Default 1.
	Weight int `yaml:"weight"`
	// TokensPerSecond limits prompt and answer tokens over all nodes; 0 is no limit.
	TokensPerSecond int `yaml:"tokens_per_second"`
	// MaxPriority is the highest priority allowed: urgent, normal or batch. Default normal.
	MaxPriority string `yaml:"max_priority"`
}

// LengthClass gives the deadline of prompts up to a length.
type LengthClass struct {
	Name string `yaml:"name"`
	// MaxPromptTokens is the longest prompt of the class, in tokens.
	MaxPromptTokens int `yaml:"max_prompt_tokens"`
	// Deadline is the time from arrival to the end of the answer.
	Deadline time.Duration `yaml:"deadline"`
}

// Limits bounds requests and the queue.
type Limits struct {
	// BodyBytes is the largest request body in bytes. Default 8 MiB.
	BodyBytes int `yaml:"body_bytes"`
	// QueueLength is the most requests that wait at one node. Default 1024.
	QueueLength int `yaml:"queue_length"`
	// DefaultMaxTokens is the most tokens of an answer when the caller sets no limit.
	// Default 512.
	DefaultMaxTokens int `yaml:"default_max_tokens"`
}

// PrefixAffinity selects the prompts that are routed to engines by their prefix.
type PrefixAffinity string

// The values of PrefixAffinity. Long prompts are those over short_prompt_tokens.
const (
	NoAffinity   PrefixAffinity = "none"
	LongAffinity PrefixAffinity = "long"
	AllAffinity  PrefixAffinity = "all"
)

// Reserve keeps capacity free for short requests.
type Reserve struct {
	// ShortPromptTokens is the longest prompt that counts as short, in tokens. Default
	// 16000.
	ShortPromptTokens int `yaml:"short_prompt_tokens"`
	// LongPrefillPerDataCentre bounds the concurrent prefills of long prompts.
	// Default 2.
	LongPrefillPerDataCentre int `yaml:"long_prefill_per_data_centre"`
	// ShortSlotsPercent is the share of slots closed to long prompts. Default 25.
	ShortSlotsPercent int `yaml:"short_slots_percent"`
}

// Ramp bounds the load on an upstream that has just started.
type Ramp struct {
	// InitialPercent is the share of capacity allowed at the start. Default 10.
	InitialPercent int `yaml:"initial_percent"`
	// Duration is the time until the full capacity is allowed. Default 30s.
	Duration time.Duration `yaml:"duration"`
}

// Retry bounds repeated attempts.
type Retry struct {
	// MaxAttempts counts the first attempt too. Default 3.
	MaxAttempts int `yaml:"max_attempts"`
	// BudgetPercent is the most retries per hundred first attempts. Default 10.
	BudgetPercent int `yaml:"budget_percent"`
}

// AtMostOnce sets how long the result of a request with an idempotency key is kept.
type AtMostOnce struct {
	// Retention is how long a kept result answers repeated requests. Default 24h.
	Retention time.Duration `yaml:"retention"`
}

// Trial bounds the capacity that the trial lane may use.
type Trial struct {
	// CapacityPercent is the share of an upstream's capacity that the trial lane gets
	// while production names the same upstream. Default 10.
	CapacityPercent int `yaml:"capacity_percent"`
}

// Digest returns the hex SHA-256 digest of a document's bytes.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// KeyDigest returns the digest, "sha256:HEX", under which a caller's key is listed.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}
