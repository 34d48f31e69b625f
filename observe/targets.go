package observe

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
)

// Target is one engine, which the tables may list as several upstreams.
type Target struct {
	Address    string
	DataCentre string
	// UpstreamIDs lists its IDs, one for each environment and lane.
	UpstreamIDs []string
	// Models lists all models that the tables name for it, sorted.
	Models []string
}

// Role returns the name of the role to poll the engine.
func (t *Target) Role() string {
	return "poller/" + t.Address
}

// Targets returns the tables' engines sorted by address; nil without tables.
func Targets(current *tables.Tables) []Target {
	if current == nil {
		return nil
	}
	byAddress := map[string]*Target{}
	for id, one := range current.Upstreams {
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

// Observation is a report of one engine and when it was fetched, by this node's
// clock.
type Observation struct {
	Address string
	At      time.Time
	Load    Load
}

// schedulerReports converts an observation to one scheduler report per upstream ID.
func (t *Target) schedulerReports(o Observation) []scheduling.Report {
	reports := make([]scheduling.Report, 0, len(t.UpstreamIDs))
	for _, id := range t.UpstreamIDs {
		reports = append(reports, scheduling.Report{
			UpstreamID:  id,
			At:          o.At,
			Running:     o.Load.Running,
			Waiting:     o.Load.Queue,
			KVTokens:    o.Load.KVTokens,
			Draining:    o.Load.Draining,
			Incarnation: o.Load.Incarnation,
			Models:      o.Load.Models,
		})
	}
	return reports
}
