// Package workload makes the seeded requests of a measurement: prompts from a
// thousand to a million tokens, one in fifty over a hundred thousand, a few
// large organisations, and calls with side effects to a plain service.
package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/wigeontiller/wigeontiller/environment"
)

// The bounds of the prompt lengths, in tokens.
const (
	MinPromptTokens   = 1_000
	ShortPromptTokens = 16_000
	HugePromptTokens  = 100_000
	MaxPromptTokens   = 1_000_000
)

const (
	// The shares of prompts by length; the rest are short.
	hugeShare   = 0.02
	mediumShare = 0.03
	// The bounds of the answers, in tokens.
	minAnswerTokens = 32
	maxAnswerTokens = 512
	// callShare is the share of arrivals that are calls with side effects.
	callShare = 0.15
	// The shares of priorities among short and among huge prompts.
	urgentShare = 0.2
	batchShare  = 0.7
	// A few organisations send most of the requests.
	largeOrganisations = 3
	largeShare         = 0.75
)

// Request is one arrival.
type Request struct {
	ID string
	// At is the arrival, from the start of the run.
	At time.Duration
	// Organisation and Node are numbers from 0.
	Organisation, Node int
	// Call is true for a call with a side effect; it has no tokens.
	Call bool
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// AnswerTokens is the length of the answer; MaxTokens is what was asked for.
	AnswerTokens, MaxTokens int
	Priority                environment.Priority
	// Segments is the parts that later prompts may share, if any do.
	Segments []Segment
	// Leaves is how long after the arrival the caller gives up; 0 is never.
	Leaves time.Duration
}

// IsShort reports whether the prompt counts as short.
func (r *Request) IsShort() bool {
	return !r.Call && r.PromptTokens < ShortPromptTokens
}

// Config sets the size of a workload.
type Config struct {
	Seed uint64
	// Duration is the time over which requests arrive.
	Duration time.Duration
	// PromptTokensPerSecond is the mean rate at which prompts arrive.
	PromptTokensPerSecond float64
	Nodes, Organisations  int
	// DataCentres counts them, for Sharing: node i is in i modulo DataCentres.
	DataCentres int
	// LeavingShare is the share of callers that leave early.
	LeavingShare float64
	// Sharing says how far prompts begin alike; nil is not at all.
	Sharing *Sharing
}

// Generate returns the requests in the order of arrival.
func Generate(config Config) []*Request {
	random := rand.New(rand.NewPCG(config.Seed, 1))
	rate := config.PromptTokensPerSecond / meanPromptTokens() / (1 - callShare)
	var requests []*Request
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= config.Duration {
			break
		}
		request := generate(random, config, len(requests))
		request.At = at
		requests = append(requests, request)
	}
	if config.Sharing != nil {
		share(requests, config)
	}
	return requests
}

func generate(random *rand.Rand, config Config, number int) *Request {
	request := &Request{
		ID:           fmt.Sprintf("request-%d", number),
		Organisation: organisation(random, config.Organisations),
		Node:         random.IntN(config.Nodes),
		Priority:     environment.Normal,
	}
	if random.Float64() < config.LeavingShare {
		request.Leaves = time.Duration(logUniform(random, float64(time.Millisecond), float64(30*time.Second)))
	}
	if random.Float64() < callShare {
		request.Call = true
		request.Priority = environment.Urgent
		return request
	}
	request.PromptTokens = promptTokens(random)
	request.AnswerTokens = int(logUniform(random, minAnswerTokens, maxAnswerTokens))
	request.MaxTokens = maxAnswerTokens
	request.Priority = priority(random, request.PromptTokens)
	return request
}

func organisation(random *rand.Rand, count int) int {
	large := min(largeOrganisations, count)
	if random.Float64() < largeShare {
		return random.IntN(large)
	}
	return random.IntN(count)
}

func promptTokens(random *rand.Rand) int {
	draw := random.Float64()
	switch {
	case draw < hugeShare:
		return int(logUniform(random, HugePromptTokens, MaxPromptTokens))
	case draw < hugeShare+mediumShare:
		return int(logUniform(random, ShortPromptTokens, HugePromptTokens))
	default:
		return int(logUniform(random, MinPromptTokens, ShortPromptTokens))
	}
}

func priority(random *rand.Rand, promptTokens int) environment.Priority {
	draw := random.Float64()
	switch {
	case promptTokens >= HugePromptTokens && draw < batchShare:
		return environment.Batch
	case promptTokens < ShortPromptTokens && draw < urgentShare:
		return environment.Urgent
	default:
		return environment.Normal
	}
}

func logUniform(random *rand.Rand, low, high float64) float64 {
	return low * math.Pow(high/low, random.Float64())
}

// meanPromptTokens is the mean length of the prompts that promptTokens draws.
func meanPromptTokens() float64 {
	short := logUniformMean(MinPromptTokens, ShortPromptTokens)
	medium := logUniformMean(ShortPromptTokens, HugePromptTokens)
	huge := logUniformMean(HugePromptTokens, MaxPromptTokens)
	return (1-hugeShare-mediumShare)*short + mediumShare*medium + hugeShare*huge
}

func logUniformMean(low, high float64) float64 {
	return (high - low) / math.Log(high/low)
}
