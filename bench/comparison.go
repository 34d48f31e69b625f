package bench

import (
	"github.com/sourcegraph/conc/iter"

	"github.com/wigeontiller/wigeontiller/bench/policy"
)

// Comparison is every policy in every scenario on the same seed.
type Comparison struct {
	Seed       uint64     `json:"seed"`
	Deployment string     `json:"deployment"`
	Load       float64    `json:"load"`
	Policies   []Measured `json:"policies"`
}

// Measured is one policy in every scenario.
type Measured struct {
	Policy policy.Name `json:"policy"`
	// Slowdown is the 95th percentile of the first-token time of short prompts
	// with the longer ones over that without.
	Slowdown float64   `json:"short_slowdown_p95"`
	Results  []*Result `json:"results"`
}

// Result returns the run of one scenario, or nil.
func (m *Measured) Result(scenario Scenario) *Result {
	for _, result := range m.Results {
		if result.Scenario == scenario {
			return result
		}
	}
	return nil
}

// Measure runs one policy through all scenarios.
func Measure(seed uint64, deployment Deployment, name policy.Name) (Measured, error) {
	measured := Measured{Policy: name}
	for _, scenario := range Scenarios() {
		result, err := Run(Config{Seed: seed, Deployment: deployment, Policy: name, Scenario: scenario})
		if err != nil {
			return measured, err
		}
		measured.Results = append(measured.Results, result)
	}
	measured.Slowdown = measured.Result(Steady).Short.P95 / measured.Result(ShortOnly).Short.P95
	return measured, nil
}

// Compare runs all policies through all scenarios, the policies side by side.
// Each run has its own loop and sources, so that the figures stay the same.
func Compare(seed uint64, deployment Deployment) (*Comparison, error) {
	measured, err := iter.MapErr(policy.Names(), func(name *policy.Name) (Measured, error) {
		return Measure(seed, deployment, *name)
	})
	return &Comparison{Seed: seed, Deployment: deployment.Name, Load: deployment.Load, Policies: measured}, err
}
