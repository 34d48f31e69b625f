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
	// nodePercent is the most of an upstream or a rate that one node may hold.
	nodePercent = 100
	// unkeptPercent is the part of an organisation's rate that is divided evenly
	// among the nodes, for those without a share.
	unkeptPercent = 10
)

// rateSmoothing is the time over which an organisation's demand is averaged.
const rateSmoothing = 2 * time.Second

// ratePart is a node's part of an organisation's rate in tokens a second.
type ratePart struct {
	// always may be used at any time, standby while no keeper divides the rate.
	always, standby float64
}

// organisationPrefix tells the resources that are organisations' rates.
const organisationPrefix = "organisation/"

// budgetWork lets budgets read the dispatcher's load and set its shares. Its
// methods are called from one goroutine.
type budgetWork struct {
	dispatcher *dispatch.Dispatcher
	// parts are the node's parts of the organisations' rates without a share, by
	// key.
	parts   map[string]ratePart
	standby rateStandby
	wanted  map[string]float64
	looked  time.Time
	rates   map[string]float64
}

func newBudgetWork(d *dispatch.Dispatcher) budgetWork {
	return budgetWork{
		dispatcher: d,
		standby:    newRateStandby(),
		wanted:     map[string]float64{},
		looked:     time.Now(),
	}
}

// Demands implements budgetrpc.Work.
func (w *budgetWork) Demands() map[string]budget.Demand {
	demands := map[string]budget.Demand{}
	for id, demand := range w.dispatcher.Demand() {
		demands[id] = budget.Demand{
			Running: budget.Amount{Slots: demand.Running, KVTokens: demand.RunningKVTokens},
			Waiting: budget.Amount{Slots: demand.Waiting, KVTokens: demand.KVTokens - demand.RunningKVTokens},
			Next:    budget.Amount{Slots: min(demand.Waiting, 1), KVTokens: demand.NextKVTokens},
		}
	}
	w.average(time.Now(), w.dispatcher.TakeAskedTokens())
	for key, rate := range w.wanted {
		demands[organisationPrefix+key] = budget.Demand{Waiting: budget.Amount{Slots: int(rate) + 1}}
	}
	return demands
}

// average takes the tokens asked for since the last call into the rates wanted.
func (w *budgetWork) average(now time.Time, asked map[string]float64) {
	keep := math.Exp(-now.Sub(w.looked).Seconds() / rateSmoothing.Seconds())
	w.looked = now
	for key := range w.wanted {
		w.wanted[key] *= keep
		if w.wanted[key] < 1 {
			delete(w.wanted, key)
		}
	}
	for key, tokens := range asked {
		w.wanted[key] += tokens / rateSmoothing.Seconds()
	}
}

// SetShares implements budgetrpc.Work.
func (w *budgetWork) SetShares(shares map[string]budget.Share) {
	set := map[string]scheduling.Share{}
	rates := w.unshared(time.Now(), shares)
	for name, share := range shares {
		key, isRate := strings.CutPrefix(name, organisationPrefix)
		if isRate {
			rates[key] = max(rates[key], float64(share.Slots))
			continue
		}
		set[name] = scheduling.Share{Slots: share.Slots, KVTokens: share.KVTokens, Expires: share.Expires}
	}
	w.dispatcher.SetShares(set)
	if !maps.Equal(rates, w.rates) {
		w.rates = rates
		w.dispatcher.SetOrganisationRates(maps.Clone(rates))
	}
}

// unshared returns the node's parts of the rates without a share.
func (w *budgetWork) unshared(now time.Time, shares map[string]budget.Share) map[string]float64 {
	rates := map[string]float64{}
	for key, part := range w.parts {
		_, shared := shares[organisationPrefix+key]
		_, wanted := w.wanted[key]
		w.standby.see(now, key, wanted, shared)
		rates[key] = part.always
		if w.standby.unkept[key] {
			rates[key] = part.standby
		}
	}
	return rates
}

func dataCentreScope(name string) string { return "data-centre/" + name }

func regionScope(name string) string { return "region/" + name }

// sharedUpstreams returns the upstreams of the tables as shared resources.
func sharedUpstreams(built *tables.Tables, dataCentre string) []budgetrpc.Shared {
	var shared []budgetrpc.Shared
	for id, upstream := range built.Upstreams {
		shared = append(shared, budgetrpc.Shared{
			Lease:    budgetrpc.UpstreamLease(dataCentreScope(upstream.DataCentre), id),
			Interest: budget.Interest{Local: upstream.DataCentre == dataCentre},
			Resource: budget.Resource{
				Name:             id,
				Capacity:         budget.Amount{Slots: upstream.Slots, KVTokens: upstream.KVTokens},
				Ramp:             budget.Ramp{InitialPercent: upstream.Ramp.InitialPercent, Duration: upstream.Ramp.Duration},
				NodeSlotsPercent: nodePercent,
				NodeKVPercent:    nodePercent,
				FallbackPercent:  upstream.Ramp.InitialPercent,
			},
		})
	}
	return shared
}

// sharedRates returns the limited organisations of the tables as shared
// resources of a region with so many nodes, and the parts of each rate that a
// node without a share may use.
func sharedRates(built *tables.Tables, region string, nodes int) ([]budgetrpc.Shared, map[string]ratePart) {
	var shared []budgetrpc.Shared
	parts := map[string]ratePart{}
	for _, plan := range built.Plans {
		for _, organisation := range plan.Document.Organisations {
			if organisation.TokensPerSecond <= 0 {
				continue
			}
			key := scheduling.OrganisationKey(plan.Environment, plan.Lane, organisation.Name)
			even := float64(organisation.TokensPerSecond) / float64(nodes)
			parts[key] = ratePart{always: even * unkeptPercent / 100, standby: even}
			shared = append(shared, budgetrpc.Shared{
				Lease:    budgetrpc.RateLease(regionScope(region), key),
				Interest: budget.Interest{OnDemand: true},
				Resource: budget.Resource{
					Name:             organisationPrefix + key,
					Capacity:         budget.Amount{Slots: organisation.TokensPerSecond * (100 - unkeptPercent) / 100},
					NodeSlotsPercent: nodePercent,
					Rate:             true,
				},
			})
		}
	}
	return shared, parts
}
