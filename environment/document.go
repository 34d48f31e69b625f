// Package environment holds the environment document: the one YAML file that
// describes models, upstreams, organisations and limits, with its checks.
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
	// Models lists the models that callers may name.
	Models []Model `yaml:"models"`
	// Engines lists the model engines, each in one data centre.
	Engines []Engine `yaml:"engines"`
	// Services lists the plain services beside the engines.
	Services []Service `yaml:"services"`
	// Organisations lists the callers' organisations.
	Organisations []Organisation `yaml:"organisations"`
	// LengthClasses gives the deadline by prompt length, shortest class first.
	LengthClasses []LengthClass `yaml:"length_classes"`
	// Limits bounds what one request may ask for.
	Limits Limits `yaml:"limits"`
	// Reserve keeps capacity free for short requests.
	Reserve Reserve `yaml:"reserve"`
	// PrefixAffinity says which prompts go where others of the same start went.
	// Default long.
	PrefixAffinity PrefixAffinity `yaml:"prefix_affinity"`
	// Ramp bounds the load on an upstream that has just started.
	Ramp Ramp `yaml:"ramp"`
	// Retry bounds repeated attempts.
	Retry Retry `yaml:"retry"`
	// AtMostOnce sets how long a keyed result is kept.
	AtMostOnce AtMostOnce `yaml:"at_most_once"`
	// Trial bounds what the lane in trial may use.
	Trial Trial `yaml:"trial"`
}

// Model is a model that callers may name.
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
	// Fencing is true when the engine refuses orders with an old fencing number.
	Fencing bool `yaml:"fencing"`
	// ChecksOrders is true when the engine checks who gives an order. Orders to
	// it are signed.
	ChecksOrders bool `yaml:"checks_orders"`
	// Role is the role that the engine is ordered to take, in its own words; empty
	// leaves it as it is.
	Role string `yaml:"role"`
	// Exclusive is true when models that no document names may be unloaded.
	Exclusive bool `yaml:"exclusive"`
}

// Service is a plain HTTP service that runs beside the engines.
type Service struct {
	Name      string     `yaml:"name"`
	Endpoints []Endpoint `yaml:"endpoints"`
	// SideEffects lists the routes whose calls must run at most once.
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
	// Weight is the organisation's share when capacity is short. Default 1.
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

// Limits bounds what one request may ask for.
type Limits struct {
	// BodyBytes is the largest request body in bytes. Default 8 MiB.
	BodyBytes int `yaml:"body_bytes"`
	// QueueLength is the most requests that wait at one node. Default 1024.
	QueueLength int `yaml:"queue_length"`
	// DefaultMaxTokens bounds an answer when the caller does not. Default 512.
	DefaultMaxTokens int `yaml:"default_max_tokens"`
}

// PrefixAffinity names the prompts that go to engines by how they start.
type PrefixAffinity string

// The prompts with affinity. Long ones are those over short_prompt_tokens.
const (
	NoAffinity   PrefixAffinity = "none"
	LongAffinity PrefixAffinity = "long"
	AllAffinity  PrefixAffinity = "all"
)

// Reserve keeps capacity free for short requests.
type Reserve struct {
	// ShortPromptTokens is the longest prompt that counts as short. Default 16000.
	ShortPromptTokens int `yaml:"short_prompt_tokens"`
	// LongPrefillPerDataCentre bounds concurrent long prefills. Default 2.
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

// AtMostOnce sets how long a keyed result is kept.
type AtMostOnce struct {
	// Retention is how long a result answers a repeat. Default 24h.
	Retention time.Duration `yaml:"retention"`
}

// Trial bounds what the lane in trial may use.
type Trial struct {
	// CapacityPercent is the part of an upstream that the trial lane gets while
	// production names the same upstream. Default 10.
	CapacityPercent int `yaml:"capacity_percent"`
}

// Digest returns the hex SHA-256 digest of a document's bytes.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// KeyDigest returns the digest under which a caller's key is listed.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}
