package bench

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/bench/policy"
	"github.com/wigeontiller/wigeontiller/bench/workload"
	"github.com/wigeontiller/wigeontiller/environment"
)

// sharingConfig is a run of a site whose prompts begin alike.
func sharingConfig(is *is.I, wanted target, scenario Scenario) Config {
	deployment, err := DeploymentByName(wanted.deployment)
	is.NoErr(err)
	deployment.Sharing = workload.UsualSharing()
	return Config{Seed: wanted.seed, Deployment: deployment, Policy: policy.Product, Scenario: scenario}
}

var prefixTargets = []target{{"works", 1}, {"works", 2}, {"cooperative", 1}, {"cooperative", 2}}

func TestAffinityReadsMoreFromCaches(t *testing.T) {
	for _, wanted := range prefixTargets {
		for _, stays := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/seed-%d/stays-%t", wanted.deployment, wanted.seed, stays), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				config := sharingConfig(is, wanted, Steady)
				config.Deployment.Sharing.Stays = stays
				config.Affinity = environment.AllAffinity
				with, err := Run(config)
				is.NoErr(err)
				config.Affinity = environment.NoAffinity
				without, err := Run(config)
				is.NoErr(err)
				one, other := prefixResult(config, with), prefixResult(config, without)
				is.True(one.ShortCached > other.ShortCached) // more of the short prompts from caches
				is.True(one.Cached > other.Cached)
				is.True(one.Cached <= one.Reusable) // no more than was sent before
				is.True(one.Short.P95 <= maxFirstTokenMilliseconds)
			})
		}
	}
}

// With caches that are lost, engines that die and data centres that leave, each
// admitted request still ends in time and nothing runs where it must not.
func TestInvariantsHoldWithSharedPrefixes(t *testing.T) {
	for _, wanted := range prefixTargets {
		for _, scenario := range []Scenario{DataCentreOut, UpstreamFaults, Random} {
			t.Run(fmt.Sprintf("%s/seed-%d/%s", wanted.deployment, wanted.seed, scenario), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				result, err := Run(sharingConfig(is, wanted, scenario))
				is.NoErr(err)
				is.Equal(result.EndedInTime, 1.0)
				is.Equal(result.Breaches, nil)
				is.Equal(result.MemoryOverruns, 0)
			})
		}
	}
}

func TestWithoutSharedPrefixesAffinityChangesNothing(t *testing.T) {
	is := is.New(t)
	deployment, _ := DeploymentByName("works")
	deployment.Duration = shortRun
	config := Config{Seed: 7, Deployment: deployment, Policy: policy.Product, Scenario: Steady}
	with := runJSON(is, config)
	config.Affinity = environment.NoAffinity
	is.True(with == runJSON(is, config))
}
