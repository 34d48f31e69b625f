package bench

import (
	"math/rand/v2"
	"time"

	"github.com/wigeontiller/wigeontiller/bench/policy"
)

// RandomReport is the outcome of a run with random faults.
type RandomReport struct {
	Seed       uint64        `json:"seed"`
	Deployment string        `json:"deployment"`
	Duration   time.Duration `json:"duration_ns"`
	Nodes      int           `json:"nodes"`
	Load       float64       `json:"load"`
	Requests   int           `json:"requests"`
	Completed  int           `json:"completed"`
	// Admitted and ended otherwise: failed, cut off by the deadline, or left.
	Failed       int `json:"failed"`
	DeadlineEnds int `json:"deadline_ends"`
	Left         int `json:"left"`
	Refused      int `json:"refused"`
	// FellOver counts the cold starts broken by too much load.
	FellOver int `json:"fell_over"`
	// Breaches lists the invariants that did not hold.
	Breaches []string `json:"breaches,omitempty"`
}

// RunRandom runs the product under all faults at once for a virtual time. The
// seed also chooses the number of nodes and the load, up to overload.
func RunRandom(seed uint64, deployment Deployment, duration time.Duration) (*RandomReport, error) {
	random := rand.New(rand.NewPCG(seed, 4))
	deployment.Duration = duration
	deployment.Nodes = 1 + random.IntN(min(maxRandomNodes, deployment.Nodes))
	deployment.Load = minRandomLoad + random.Float64()*(maxRandomLoad-minRandomLoad)
	result, err := Run(Config{Seed: seed, Deployment: deployment, Policy: policy.Product, Scenario: Random})
	if err != nil {
		return nil, err
	}
	report := &RandomReport{
		Seed:       seed,
		Deployment: deployment.Name,
		Duration:   duration,
		Nodes:      deployment.Nodes,
		Load:       deployment.Load,
		Requests:   result.Requests,
		FellOver:   result.FellOver,
		Breaches:   result.Breaches,
	}
	for _, request := range result.Records {
		report.count(request.End)
	}
	return report, nil
}

func (r *RandomReport) count(end EndKind) {
	switch end {
	case Completed:
		r.Completed++
	case Failed:
		r.Failed++
	case EndedByDeadline:
		r.DeadlineEnds++
	case CallerLeft:
		r.Left++
	case RefusedAtOnce:
		r.Refused++
	}
}
