package bench

import (
	"cmp"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/iter"

	"github.com/wigeontiller/wigeontiller/bench/policy"
	"github.com/wigeontiller/wigeontiller/bench/workload"
	"github.com/wigeontiller/wigeontiller/environment"
)

// warmUpPart is the part of a run, one in warmUpPart, that is not measured while
// the caches fill.
const warmUpPart = 4

// PrefixComparison is the product with each kind of prefix affinity on the same
// requests, whose prompts begin alike.
type PrefixComparison struct {
	Seed       uint64         `json:"seed"`
	Deployment string         `json:"deployment"`
	Load       float64        `json:"load"`
	Results    []PrefixResult `json:"results"`
}

// PrefixResult is what one run measured after its warm-up.
type PrefixResult struct {
	Scenario Scenario `json:"scenario"`
	// Affinity names the prompts that went by how they begin.
	Affinity environment.PrefixAffinity `json:"affinity"`
	// Stays is true when the prompts of a conversation came to one data centre.
	Stays bool `json:"stays"`
	// Rate is the prompts a second.
	Rate float64 `json:"prompts_per_second"`
	// Reusable is the share of prompt tokens that caches without a bound at one
	// engine would spare.
	Reusable float64 `json:"reusable"`
	// Cached is the share that the engines spared; ShortCached is that of
	// prompts under 16,000 tokens.
	Cached      float64 `json:"cached"`
	ShortCached float64 `json:"short_cached"`
	// Short and Long are the first-token times of prompts under 16,000 tokens
	// and of the others.
	Short Quantiles `json:"short_first_token"`
	Long  Quantiles `json:"long_first_token"`
	// Slowdown is the 95th percentile of Short over that without long prompts.
	Slowdown float64 `json:"short_slowdown_p95"`
	// Spread is the most tokens that one engine read over the mean.
	Spread float64 `json:"spread"`
	// Refused and Failed count prompts; Failed were admitted.
	Refused  int      `json:"refused"`
	Failed   int      `json:"failed"`
	Breaches []string `json:"breaches,omitempty"`
}

// ComparePrefixes runs the product with each kind of affinity, with each
// conversation at any node and in one data centre.
func ComparePrefixes(seed uint64, deployment Deployment) (*PrefixComparison, error) {
	type variant struct {
		affinity environment.PrefixAffinity
		stays    bool
	}
	var variants []variant
	for _, stays := range []bool{false, true} {
		for _, affinity := range []environment.PrefixAffinity{environment.NoAffinity, environment.LongAffinity, environment.AllAffinity} {
			variants = append(variants, variant{affinity, stays})
		}
	}
	results, err := iter.MapErr(variants, func(wanted *variant) (PrefixResult, error) {
		shared := deployment
		shared.Sharing = workload.UsualSharing()
		shared.Sharing.Stays = wanted.stays
		return MeasurePrefixes(Config{Seed: seed, Deployment: shared, Policy: policy.Product, Scenario: Steady, Affinity: wanted.affinity})
	})
	return &PrefixComparison{Seed: seed, Deployment: deployment.Name, Load: deployment.Load, Results: results}, err
}

// MeasurePrefixes runs one scenario, and the same without long prompts.
func MeasurePrefixes(config Config) (PrefixResult, error) {
	result, err := Run(config)
	if err != nil {
		return PrefixResult{}, err
	}
	measured := prefixResult(config, result)
	config.Scenario = ShortOnly
	alone, err := Run(config)
	if err != nil {
		return PrefixResult{}, err
	}
	if short := prefixResult(config, alone).Short.P95; short > 0 {
		measured.Slowdown = measured.Short.P95 / short
	}
	return measured, nil
}

// prefixSums adds up what the prompts of a run had cached.
type prefixSums struct {
	short, long                             *hdrhistogram.Histogram
	tokens, cached, shortTokens, shortFound int
	read                                    map[string]int
}

func prefixResult(config Config, result *Result) PrefixResult {
	measured := PrefixResult{
		Scenario: config.Scenario,
		Affinity: cmp.Or(config.Affinity, environment.LongAffinity),
		Stays:    config.Deployment.Sharing != nil && config.Deployment.Sharing.Stays,
		Breaches: result.Breaches,
	}
	warm := config.Deployment.Duration / warmUpPart
	sums := prefixSums{short: newHistogram(), long: newHistogram(), read: map[string]int{}}
	prompts := 0
	var requests []*workload.Request
	for _, one := range result.Records {
		requests = append(requests, one.Request)
		if one.Call || one.Arrived < warm {
			continue
		}
		prompts++
		measured.take(one, &sums)
	}
	measured.Rate = float64(prompts) / (config.Deployment.Duration - warm).Seconds()
	measured.Reusable = workload.Reusable(requests)
	measured.Cached = share(sums.cached, sums.tokens)
	measured.ShortCached = share(sums.shortFound, sums.shortTokens)
	measured.Short, measured.Long = quantilesOf(sums.short), quantilesOf(sums.long)
	measured.Spread = spreadOf(sums.read, config.Deployment.Engines)
	return measured
}

// take counts one prompt.
func (r *PrefixResult) take(one *Record, sums *prefixSums) {
	if !one.Admitted {
		r.Refused++
		return
	}
	times := sums.long
	if one.IsShort() {
		times = sums.short
	}
	record(times, one.measuredFirstToken())
	if one.End != Completed {
		r.Failed++
		return
	}
	sums.tokens += one.PromptTokens
	sums.cached += one.CachedTokens
	sums.read[one.Upstream] += one.PromptTokens - one.CachedTokens
	if one.IsShort() {
		sums.shortTokens += one.PromptTokens
		sums.shortFound += one.CachedTokens
	}
}

func share(part, all int) float64 {
	return float64(part) / float64(max(1, all))
}

// spreadOf is the most over the mean of a number of engines.
func spreadOf(read map[string]int, engines int) float64 {
	most, sum := 0, 0
	for _, tokens := range read {
		most = max(most, tokens)
		sum += tokens
	}
	return float64(most) * float64(engines) / float64(max(1, sum))
}
