package scheduling

import "time"

// LimitedUpstream is an upstream that this node doesn't use in full for now.
type LimitedUpstream struct {
	UpstreamID string `json:"upstream_id"`
	Running    int    `json:"running"`
	// Slots is what this node may use now, of the upstream's WholeSlots.
	Slots      int `json:"slots"`
	WholeSlots int `json:"whole_slots"`
	// Ramping is true after a start, or what looked like one.
	Ramping bool `json:"ramping"`
	// BrokenModels lists the models, or the service, whose breaker is open.
	BrokenModels []string `json:"broken_models,omitempty"`
}

// LimitedUpstreams lists the upstreams in service that a share, a ramp or a breaker
// limits, in a fixed order.
func (s *Scheduler) LimitedUpstreams(now time.Time) []LimitedUpstream {
	limited := []LimitedUpstream{}
	for _, u := range s.ordered {
		if !u.configured || u.out() {
			continue
		}
		slots, _ := s.limit(now, u)
		one := LimitedUpstream{
			UpstreamID:   u.upstream.ID,
			Running:      u.requests,
			Slots:        slots,
			WholeSlots:   u.upstream.Slots,
			Ramping:      u.ramp.Active(now, u.upstream.Ramp),
			BrokenModels: u.brokenModels(),
		}
		if one.Slots < one.WholeSlots || len(one.BrokenModels) > 0 {
			limited = append(limited, one)
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

// TakeColdStarts returns the upstreams that were found to start cold since the
// last call, in a fixed order. Starts that the tables announce are not among them.
func (s *Scheduler) TakeColdStarts() []string {
	var ids []string
	for _, u := range s.ordered {
		if u.coldStart {
			u.coldStart = false
			ids = append(ids, u.upstream.ID)
		}
	}
	return ids
}

// EstimateErrors is the moving average of each model's relative error of the
// estimated first-token time.
func (s *Scheduler) EstimateErrors() map[string]float64 {
	return s.estimator.Errors()
}
