package wigeontiller

import (
	"maps"
	"math"
	"strings"
	"time"

	"github.com/wigeontiller/wigeontiller/budget"
	"github.com/wigeontiller/wigeontiller/budget/budgetrpc"
	"github.com/wigeontiller/wigeontiller/dispatch"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
)

const (
	// maxNodePercent limits one node's share of an upstream or a rate.
	maxNodePercent = 100
	// evenlyDividedPercent is the part of an organisation's rate that is divided
	// evenly among the nodes, for use by nodes without a share.
	evenlyDividedPercent = 10
)

// rateAveragingWindow is the time constant of the average of an organisation's
// demand.
const rateAveragingWindow = 2 * time.Second

// rateAllowance is the part of an organisation's rate, in tokens per second, that a
// node without a share may use.
type rateAllowance struct {
	// always may be used at any time, standby while no allocator divides the rate.
	always, standby float64
}

// organisationPrefix starts the names of resources that are organisations' rates.
const organisationPrefix = "organisation/"

// budgetAdapter reports the dispatcher's load as demand for shares and passes shares
// to the dispatcher. Its methods are called from one goroutine.
type budgetAdapter struct {
	dispatcher *dispatch.Dispatcher
	// allowances are what the node may use of the organisations' rates without a
	// share, by organisation key.
	allowances    map[string]rateAllowance
	standby       rateStandby
	demandedRates map[string]float64
	averagedAt    time.Time
	appliedRates  map[string]float64
}

func newBudgetAdapter(d *dispatch.Dispatcher) budgetAdapter {
	return budgetAdapter{
		dispatcher:    d,
		standby:       newRateStandby(),
		demandedRates: map[string]float64{},
		averagedAt:    time.Now(),
	}
}

// Demands implements budgetrpc.Workload.
func (a *budgetAdapter) Demands() map[string]budget.Demand {
	demands := map[string]budget.Demand{}
	for id, demand := range a.dispatcher.Demand() {
		demands[id] = budget.Demand{
			Running: budget.Amount{Slots: demand.Running, KVTokens: demand.RunningKVTokens},
			Waiting: budget.Amount{Slots: demand.Waiting, KVTokens: demand.KVTokens - demand.RunningKVTokens},
			Next:    budget.Amount{Slots: min(demand.Waiting, 1), KVTokens: demand.NextKVTokens},
		}
	}
	a.updateDemandedRates(time.Now(), a.dispatcher.TakeRequestedTokens())
	for key, rate := range a.demandedRates {
		demands[organisationPrefix+key] = budget.Demand{Waiting: budget.Amount{Slots: int(rate) + 1}}
	}
	return demands
}

// updateDemandedRates adds the tokens requested since the last call to the averaged
// rates, in tokens per second.
func (a *budgetAdapter) updateDemandedRates(now time.Time, requestedTokens map[string]float64) {
	decay := math.Exp(-now.Sub(a.averagedAt).Seconds() / rateAveragingWindow.Seconds())
	a.averagedAt = now
	for key := range a.demandedRates {
		a.demandedRates[key] *= decay
		if a.demandedRates[key] < 1 {
			delete(a.demandedRates, key)
		}
	}
	for key, tokens := range requestedTokens {
		a.demandedRates[key] += tokens / rateAveragingWindow.Seconds()
	}
}

// SetShares implements budgetrpc.Workload.
func (a *budgetAdapter) SetShares(shares map[string]budget.Share) {
	upstreamShares := map[string]scheduling.Share{}
	rates := a.ratesWithoutShare(time.Now(), shares)
	for name, share := range shares {
		key, isRate := strings.CutPrefix(name, organisationPrefix)
		if isRate {
			rates[key] = max(rates[key], float64(share.Slots))
			continue
		}
		upstreamShares[name] = scheduling.Share{Slots: share.Slots, KVTokens: share.KVTokens, Expires: share.Expires}
	}
	a.dispatcher.SetShares(upstreamShares)
	if !maps.Equal(rates, a.appliedRates) {
		a.appliedRates = rates
		a.dispatcher.SetOrganisationRates(maps.Clone(rates))
	}
}

// ratesWithoutShare returns the rates, by organisation key, that the node may use
// without a share.
func (a *budgetAdapter) ratesWithoutShare(now time.Time, shares map[string]budget.Share) map[string]float64 {
	rates := map[string]float64{}
	for key, allowance := range a.allowances {
		_, shared := shares[organisationPrefix+key]
		_, demanded := a.demandedRates[key]
		a.standby.update(now, key, demanded, shared)
		rates[key] = allowance.always
		if a.standby.unallocated[key] {
			rates[key] = allowance.standby
		}
	}
	return rates
}

func dataCentreScope(name string) string { return "data-centre/" + name }

func regionScope(name string) string { return "region/" + name }

// sharedUpstreams converts the upstreams of the tables to shared resources.
func sharedUpstreams(current *tables.Tables, dataCentre string) []budgetrpc.SharedResource {
	var shared []budgetrpc.SharedResource
	for id, upstream := range current.Upstreams {
		shared = append(shared, budgetrpc.SharedResource{
			Lease:    budgetrpc.UpstreamLease(dataCentreScope(upstream.DataCentre), id),
			Interest: budget.Interest{Local: upstream.DataCentre == dataCentre},
			Resource: budget.Resource{
				Name:             id,
				Capacity:         budget.Amount{Slots: upstream.Slots, KVTokens: upstream.KVTokens},
				Ramp:             budget.Ramp{InitialPercent: upstream.Ramp.InitialPercent, Duration: upstream.Ramp.Duration},
				NodeSlotsPercent: maxNodePercent,
				NodeKVPercent:    maxNodePercent,
				FallbackPercent:  upstream.Ramp.InitialPercent,
			},
		})
	}
	return shared
}

// sharedRates converts the rate limits of the tables' organisations to shared
// resources of a region with the given number of nodes. It also returns what a node
// without a share may use of each rate.
func sharedRates(current *tables.Tables, region string, nodes int) ([]budgetrpc.SharedResource, map[string]rateAllowance) {
	var shared []budgetrpc.SharedResource
	allowances := map[string]rateAllowance{}
	for _, plan := range current.Plans {
		for _, organisation := range plan.Document.Organisations {
			if organisation.TokensPerSecond <= 0 {
				continue
			}
			key := scheduling.OrganisationKey(plan.Environment, plan.Lane, organisation.Name)
			evenRate := float64(organisation.TokensPerSecond) / float64(nodes)
			allowances[key] = rateAllowance{always: evenRate * evenlyDividedPercent / 100, standby: evenRate}
			shared = append(shared, budgetrpc.SharedResource{
				Lease:    budgetrpc.RateLease(regionScope(region), key),
				Interest: budget.Interest{OnDemand: true},
				Resource: budget.Resource{
					Name:             organisationPrefix + key,
					Capacity:         budget.Amount{Slots: organisation.TokensPerSecond * (100 - evenlyDividedPercent) / 100},
					NodeSlotsPercent: maxNodePercent,
					Rate:             true,
				},
			})
		}
	}
	return shared, allowances
}
