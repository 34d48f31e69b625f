package bench

import (
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc/iter"

	"github.com/wigeontiller/wigeontiller/bench/policy"
)

// The stated targets, at the 95th percentile where they are times.
const (
	maxFirstTokenMilliseconds    = 1900
	maxTokenIntervalMilliseconds = 37
	maxSlowdown                  = 1.1
	maxNewWorkMilliseconds       = 5000
)

// target is one site and seed that CI measures.
type target struct {
	deployment string
	seed       uint64
}

// measuredTargets runs the product once for all tests of this file.
var measuredTargets = sync.OnceValues(func() (map[target]*Measured, error) {
	targets := []target{{"works", 1}, {"works", 2}, {"cooperative", 1}, {"cooperative", 2}}
	results, err := iter.MapErr(targets, func(wanted *target) (Measured, error) {
		deployment, err := DeploymentByName(wanted.deployment)
		if err != nil {
			return Measured{}, err
		}
		return Measure(wanted.seed, deployment, policy.Product)
	})
	measured := map[target]*Measured{}
	for i, wanted := range targets {
		measured[wanted] = &results[i]
	}
	return measured, err
})

// eachMeasured runs the check for the product on both of today's sites.
func eachMeasured(t *testing.T, check func(is *is.I, product *Measured)) {
	measured, err := measuredTargets()
	is.New(t).NoErr(err)
	for wanted, product := range measured {
		t.Run(fmt.Sprintf("%s/seed-%d", wanted.deployment, wanted.seed), func(t *testing.T) {
			check(is.New(t), product)
		})
	}
}

func TestFirstTokenTarget(t *testing.T) {
	eachMeasured(t, func(is *is.I, product *Measured) {
		steady := product.Result(Steady)
		is.True(steady.Short.Count > 1000)
		is.True(steady.Short.P95 <= maxFirstTokenMilliseconds) // first token of short prompts
	})
}

func TestShortSlowdownTarget(t *testing.T) {
	eachMeasured(t, func(is *is.I, product *Measured) {
		// Both runs must have served the same short prompts.
		is.Equal(product.Result(Steady).Short.Count, product.Result(ShortOnly).Short.Count)
		is.True(product.Slowdown <= maxSlowdown) // slowdown of short prompts
	})
}

func TestTokenIntervalTarget(t *testing.T) {
	eachMeasured(t, func(is *is.I, product *Measured) {
		steady := product.Result(Steady)
		is.True(steady.Intervals.Count > 100_000)
		is.True(steady.Intervals.P95 <= maxTokenIntervalMilliseconds) // time between tokens
	})
}

func TestEveryAdmittedRequestEndsByItsDeadline(t *testing.T) {
	eachMeasured(t, func(is *is.I, product *Measured) {
		for _, result := range product.Results {
			is.Equal(result.EndedInTime, 1.0)
			is.Equal(result.Breaches, nil)
		}
	})
}

func TestDataCentreOutReceivesNoNewWork(t *testing.T) {
	eachMeasured(t, func(is *is.I, product *Measured) {
		result := product.Result(DataCentreOut)
		is.True(result.LastNewWork > 0) // some work was on its way when it was taken out
		is.True(result.LastNewWork <= maxNewWorkMilliseconds)
	})
}

func TestSideEffectCallsSucceedWhileDataCentreIsOut(t *testing.T) {
	eachMeasured(t, func(is *is.I, product *Measured) {
		calls := product.Result(DataCentreOut).Calls
		is.True(calls.Admitted > 100)
		is.Equal(calls.Completed, calls.Admitted)
	})
}

func TestNoEngineRunsOverItsMemory(t *testing.T) {
	eachMeasured(t, func(is *is.I, product *Measured) {
		for _, result := range product.Results {
			is.Equal(result.MemoryOverruns, 0)
		}
	})
}

// An upstream that has just started receives no more work than it can bear.
func TestReturningUpstreamsBearTheirLoad(t *testing.T) {
	eachMeasured(t, func(is *is.I, product *Measured) {
		is.Equal(product.Result(DataCentreOut).FellOver, 0)
	})
}
