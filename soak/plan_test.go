package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPlanFollowsFromTheSeed(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		first, again := NewPlan(seed, time.Minute, 25), NewPlan(seed, time.Minute, 25)
		is.Equal(first, again)
		other := NewPlan(seed+1, time.Minute, 25)
		is.True(len(first.Faults) == 0 || len(other.Faults) == 0 || first.Faults[0] != other.Faults[0])
	}
}

// TestPlanKeepsItsRules looks at many plans: one fault at a time acts on one
// thing, all end within the run, and every kind is drawn.
func TestPlanKeepsItsRules(t *testing.T) {
	is := is.New(t)
	kinds := map[FaultKind]int{}
	leaves := map[Leave]int{}
	pairs := 0
	for seed := range uint64(60) {
		plan := NewPlan(seed, time.Minute, 5)
		is.True(plan.Nodes >= fewestNodes && plan.Nodes <= mostNodes)
		down := []Fault{}
		for _, fault := range plan.Faults {
			is.True(fault.At >= firstFault && fault.At+fault.For <= plan.Duration)
			kinds[fault.Kind]++
			if fault.Pair {
				pairs++
			}
			if fault.Kind == NodeClosed || fault.Kind == NodeShutDown {
				is.True(fault.Target < plan.Nodes)
				down = append(down, fault)
			}
		}
		for number := 1; number < len(down); number++ {
			is.True(down[number].At >= down[number-1].At+down[number-1].For) // others serve
		}
		for _, arrival := range plan.Arrivals {
			leaves[arrival.Leave]++
		}
	}
	for _, shape := range faultShapes {
		is.True(kinds[shape.kind] > 0)
	}
	is.True(pairs > 0)
	for _, leave := range []Leave{Stays, LeavesQueued, LeavesWaiting, LeavesInStream} {
		is.True(leaves[leave] > 0)
	}
}

func TestMarksDiffer(t *testing.T) {
	is := is.New(t)
	arrivals := make([]Arrival, 2000)
	for number := range arrivals {
		arrivals[number] = Arrival{Serial: number, Kind: Stream, PromptTokens: 20}
	}
	markAll(arrivals)
	marks := map[string]bool{}
	for _, arrival := range arrivals {
		is.True(!marks[arrival.Mark]) // no two answers look alike
		marks[arrival.Mark] = true
	}
}
