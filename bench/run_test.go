package bench

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/bench/policy"
)

const (
	shortRun       = 20 * time.Second
	randomDuration = time.Minute
	randomSeeds    = 6
)

func runJSON(is *is.I, config Config) string {
	result, err := Run(config)
	is.NoErr(err)
	data, err := json.Marshal(result)
	is.NoErr(err)
	records, err := json.Marshal(result.Records)
	is.NoErr(err)
	return string(data) + string(records)
}

func TestSameSeedGivesSameFigures(t *testing.T) {
	deployment, _ := DeploymentByName("works")
	deployment.Duration = shortRun
	for _, name := range policy.Names() {
		for _, scenario := range []Scenario{DataCentreOut, UpstreamFaults, Random} {
			t.Run(fmt.Sprintf("%s/%s", name, scenario), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				config := Config{Seed: 7, Deployment: deployment, Policy: name, Scenario: scenario}
				first, second := runJSON(is, config), runJSON(is, config)
				is.True(first == second)
				config.Seed = 8
				is.True(first != runJSON(is, config))
			})
		}
	}
}

func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	for seed := uint64(1); seed <= randomSeeds; seed++ {
		for _, name := range []string{"works", "cooperative"} {
			t.Run(fmt.Sprintf("%s/seed-%d", name, seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				deployment, err := DeploymentByName(name)
				is.NoErr(err)
				report, err := RunRandom(seed, deployment, randomDuration)
				is.NoErr(err)
				is.Equal(report.Breaches, nil)
				// The run met every kind of end that faults can cause.
				is.True(report.Completed > 0 && report.Left > 0 && report.Failed > 0 && report.DeadlineEnds > 0)
				ended := report.Completed + report.Refused + report.Failed + report.DeadlineEnds + report.Left
				is.Equal(ended, report.Requests)
			})
		}
	}
}

func TestUnknownDeployment(t *testing.T) {
	is := is.New(t)
	_, err := DeploymentByName("moon")
	is.Equal(err, ErrDeployment)
}
