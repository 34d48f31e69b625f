package wigeontiller

import (
	"time"

	"github.com/wigeontiller/wigeontiller/budget"
	"github.com/wigeontiller/wigeontiller/budget/budgetrpc"
	"github.com/wigeontiller/wigeontiller/dispatch"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
)

const (
	// nodeSlotsPercent and nodeKVPercent are the most of an upstream that one
	// node may hold. With few nodes there is no such limit on slots.
	nodeSlotsPercent = 50
	nodeKVPercent    = 100
	fewNodes         = 2
)

// budgetWork lets budgets read the dispatcher's load and set its shares.
type budgetWork struct {
	dispatcher *dispatch.Dispatcher
}

// Demands implements budgetrpc.Work.
func (w budgetWork) Demands() map[string]budget.Demand {
	demands := map[string]budget.Demand{}
	for id, demand := range w.dispatcher.Demand() {
		demands[id] = budget.Demand{
			Running: budget.Amount{Slots: demand.Running, KVTokens: demand.RunningKVTokens},
			Waiting: budget.Amount{Slots: demand.Waiting, KVTokens: demand.KVTokens - demand.RunningKVTokens},
			Next:    budget.Amount{Slots: min(demand.Waiting, 1), KVTokens: demand.NextKVTokens},
		}
	}
	return demands
}

// SetShares implements budgetrpc.Work.
func (w budgetWork) SetShares(shares map[string]budget.Share) {
	set := map[string]scheduling.Share{}
	for id, share := range shares {
		set[id] = scheduling.Share{Slots: share.Slots, KVTokens: share.KVTokens, Expires: share.Expires}
	}
	w.dispatcher.SetShares(set)
}

// sharedUpstreams returns the upstreams of the tables as shared resources.
// Voters is the most nodes that a data centre can have at once.
func sharedUpstreams(built *tables.Tables, dataCentre string, voters func(dataCentre string) int) []budgetrpc.Shared {
	var shared []budgetrpc.Shared
	for id, upstream := range built.Upstreams {
		local := upstream.DataCentre == dataCentre
		shared = append(shared, budgetrpc.Shared{
			Scope:    upstream.DataCentre,
			Interest: budget.Interest{Voter: local, Local: local},
			Resource: budget.Resource{
				Name:             id,
				Capacity:         budget.Amount{Slots: upstream.Slots, KVTokens: upstream.KVTokens},
				Ramp:             budget.Ramp{InitialPercent: upstream.Ramp.InitialPercent, Duration: upstream.Ramp.Duration},
				Voters:           voters(upstream.DataCentre),
				NodeSlotsPercent: slotsPercent(voters(upstream.DataCentre)),
				NodeKVPercent:    nodeKVPercent,
				FallbackPercent:  upstream.Ramp.InitialPercent,
			},
		})
	}
	return shared
}

func slotsPercent(nodes int) int {
	if nodes <= fewNodes {
		return 100
	}
	return nodeSlotsPercent
}

// budgetTiming returns the timing for the longest deadline of the tables.
func budgetTiming(longest time.Duration) budget.Timing {
	timing := budget.DefaultTiming()
	timing.Horizon = max(timing.Horizon, longest)
	return timing
}
