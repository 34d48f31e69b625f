package bench

import "github.com/wigeontiller/wigeontiller/bench/policy"

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
func Measure(seed uint64, deployment Deployment, name policy.Name) (*Measured, error) {
	measured := &Measured{Policy: name}
	for _, scenario := range Scenarios() {
		result, err := Run(Config{Seed: seed, Deployment: deployment, Policy: name, Scenario: scenario})
		if err != nil {
			return nil, err
		}
		measured.Results = append(measured.Results, result)
	}
	measured.Slowdown = measured.Result(Steady).Short.P95 / measured.Result(ShortOnly).Short.P95
	return measured, nil
}

// Compare runs all policies through all scenarios.
func Compare(seed uint64, deployment Deployment) (*Comparison, error) {
	comparison := &Comparison{Seed: seed, Deployment: deployment.Name, Load: deployment.Load}
	for _, name := range policy.Names() {
		measured, err := Measure(seed, deployment, name)
		if err != nil {
			return nil, err
		}
		comparison.Policies = append(comparison.Policies, *measured)
	}
	return comparison, nil
}
