package observe

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
)

// Target is one engine, which may stand in the tables as several upstreams.
type Target struct {
	Address    string
	DataCentre string
	// UpstreamIDs names it in each environment and lane.
	UpstreamIDs []string
	// Models lists all models that the tables name for it.
	Models []string
}

// Role names the poller's role for an engine.
func (t *Target) Role() string {
	return "poller/" + t.Address
}

// Targets returns the tables' engines in the order of their addresses.
func Targets(built *tables.Tables) []Target {
	if built == nil {
		return nil
	}
	byAddress := map[string]*Target{}
	for id, one := range built.Upstreams {
		if one.Kind != tables.EngineUpstream {
			continue
		}
		target := byAddress[one.Address]
		if target == nil {
			target = &Target{Address: one.Address, DataCentre: one.DataCentre}
			byAddress[one.Address] = target
		}
		target.UpstreamIDs = append(target.UpstreamIDs, id)
		target.Models = append(target.Models, one.Models...)
	}
	targets := make([]Target, 0, len(byAddress))
	for _, target := range byAddress {
		slices.Sort(target.UpstreamIDs)
		slices.Sort(target.Models)
		target.Models = slices.Compact(target.Models)
		targets = append(targets, *target)
	}
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.Address, b.Address) })
	return targets
}

// Observation is a report on one engine and when it was read, by this node's clock.
type Observation struct {
	Address string
	At      time.Time
	Load    Load
}

// reports returns an observation as the scheduler takes it in.
func (t *Target) reports(o Observation) []scheduling.Report {
	reports := make([]scheduling.Report, 0, len(t.UpstreamIDs))
	for _, id := range t.UpstreamIDs {
		reports = append(reports, scheduling.Report{
			UpstreamID:  id,
			At:          o.At,
			Running:     o.Load.Running,
			Waiting:     o.Load.Queue,
			KVTokens:    o.Load.KVTokens,
			Draining:    o.Load.Leaving,
			Incarnation: o.Load.Incarnation,
			Models:      o.Load.Models,
		})
	}
	return reports
}
