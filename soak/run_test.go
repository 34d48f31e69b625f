package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

const (
	smokeSeed     = 1
	smokeDuration = 6 * time.Second
	smokeRate     = 10
)

// smokePlan shows the faults that safety depends on most, at fixed times.
func smokePlan() *Plan {
	plan := NewPlan(smokeSeed, smokeDuration, smokeRate)
	plan.Nodes = fewestNodes
	plan.Faults = []Fault{
		{Kind: RacingPromotions, At: time.Second / 2, For: time.Second},
		{Kind: NodeClosed, At: time.Second, For: time.Second, Target: 0, Detail: sameName},
		{Kind: ServiceLosesAnswers, At: time.Second, For: 2 * time.Second, Pair: true},
		{Kind: EngineCrash, At: 2 * time.Second, For: time.Second},
		{Kind: StoreLosesAnswers, At: 2 * time.Second, For: time.Second, Pair: true},
		{Kind: NodeShutDown, At: 3 * time.Second, For: time.Second, Target: 1, Detail: newName},
		{Kind: StreamsBroken, At: 3 * time.Second, For: time.Second, Target: 1, Pair: true},
		{Kind: RacingPromotions, At: 4 * time.Second, For: time.Second},
	}
	return plan
}

// TestSmoke runs a whole site for a short while. Its verdict rests on counts and
// on what holds whatever the speed of the machine; the rest is for the command.
func TestSmoke(t *testing.T) {
	is := is.New(t)
	plan := smokePlan()
	record, err := Run(t.Context(), plan, zerolog.Nop())
	is.NoErr(err)
	report := NewReport(record)
	is.Equal(len(report.Faults), len(plan.Faults)) // every fault was shown
	is.True(len(record.Sends) >= len(plan.Arrivals))
	answered := 0
	for _, calls := range report.Calls {
		answered += calls.Endings[Answered]
	}
	is.True(answered > 0)
	for _, invariant := range report.Invariants {
		if invariant.Timed {
			continue
		}
		t.Logf("%s: %d checked", invariant.Name, invariant.Checked)
		is.True(invariant.Checked > 0)
		is.Equal(invariant.Breaches, []string{})
	}
}
