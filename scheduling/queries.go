package scheduling

import "time"

// LimitedUpstream is an upstream of which this node may not use the full capacity now.
type LimitedUpstream struct {
	UpstreamID string `json:"upstream_id"`
	Running    int    `json:"running"`
	// Slots is how many of WholeSlots this node may use now.
	Slots      int `json:"slots"`
	WholeSlots int `json:"whole_slots"`
	// Ramping is true after a start of the upstream, also an inferred one.
	Ramping bool `json:"ramping"`
	// BrokenModels lists the models, or the service, whose breaker is open.
	BrokenModels []string `json:"broken_models,omitempty"`
}

// LimitedUpstreams returns the upstreams in service that a share, a ramp or a breaker
// limits, in a fixed order.
func (s *Scheduler) LimitedUpstreams(now time.Time) []LimitedUpstream {
	limited := []LimitedUpstream{}
	for _, u := range s.ordered {
		if !u.configured || u.outOfService() {
			continue
		}
		slots, _ := s.limit(now, u)
		entry := LimitedUpstream{
			UpstreamID:   u.upstream.ID,
			Running:      u.requests,
			Slots:        slots,
			WholeSlots:   u.upstream.Slots,
			Ramping:      u.ramp.Active(now, u.upstream.Ramp),
			BrokenModels: u.brokenModels(),
		}
		if entry.Slots < entry.WholeSlots || len(entry.BrokenModels) > 0 {
			limited = append(limited, entry)
		}
	}
	return limited
}

func (u *upstreamState) brokenModels() []string {
	var broken []string
	for _, m := range u.members {
		if !m.breaker.Closed() {
			broken = append(broken, m.pool.key.model+m.pool.key.service)
		}
	}
	return broken
}

// TakeColdStarts returns the IDs of the upstreams with an inferred or reported
// cold start since the last call, in a fixed order. Starts that come from the
// tables are excluded.
func (s *Scheduler) TakeColdStarts() []string {
	var ids []string
	for _, u := range s.ordered {
		if u.coldStartPending {
			u.coldStartPending = false
			ids = append(ids, u.upstream.ID)
		}
	}
	return ids
}

// EstimateErrors returns, by model, the moving average of the relative error of
// the estimated first-token time.
func (s *Scheduler) EstimateErrors() map[string]float64 {
	return s.estimator.RelativeErrors()
}
