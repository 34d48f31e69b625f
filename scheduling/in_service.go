package scheduling

import (
	"slices"
	"time"
)

// outOfService reports whether the upstream gets no new requests at all.
func (u *upstreamState) outOfService() bool {
	return u.upstream.OutOfService || u.draining
}

// inService reports whether the upstream may get new requests of this pool.
func (m *member) inService() bool {
	u := m.state
	loaded := m.pool.key.model == "" || u.models == nil || slices.Contains(u.models, m.pool.key.model)
	return !u.outOfService() && loaded
}

// applyReportedState applies a report's draining state, incarnation and models. An
// upstream that restarted or returned starts on a ramp.
func (s *Scheduler) applyReportedState(now time.Time, u *upstreamState, report Report) {
	restarted := report.Incarnation != 0 && u.incarnation != 0 && report.Incarnation != u.incarnation
	returned := u.draining && !report.Draining
	changed := u.draining != report.Draining || !slices.Equal(u.models, report.Models) || (u.models == nil) != (report.Models == nil)
	if report.Incarnation != 0 {
		u.incarnation = report.Incarnation
	}
	u.draining, u.models = report.Draining, slices.Clone(report.Models)
	if restarted || returned {
		s.startRamp(now, u)
	}
	if !changed {
		return
	}
	for _, m := range u.members {
		m.pool.recountInService()
	}
	s.updateFreeLists(now, u)
	s.refuseUnservable()
}

// recountInService recounts the pool's upstreams in service.
func (p *pool) recountInService() {
	p.inServiceCount, p.maxKVTokens = 0, 0
	for _, set := range []*memberSet{&p.local, &p.remote} {
		for _, m := range set.all {
			if m.inService() {
				p.inServiceCount++
				p.maxKVTokens = max(p.maxKVTokens, m.state.upstream.KVTokens)
			}
		}
	}
}

// InService reports whether a placed request may still be sent: whether its
// upstream, or each engine of its group, is in service.
func (s *Scheduler) InService(id string) bool {
	run := s.running[id]
	if run == nil || !run.isServedBy(run.state) {
		return false
	}
	return !slices.ContainsFunc(run.otherParts, func(part groupPart) bool { return !run.isServedBy(part.state) })
}

func (r *runningRequest) isServedBy(u *upstreamState) bool {
	at := slices.IndexFunc(u.members, func(m *member) bool { return m.pool == r.pool })
	return u.configured && at >= 0 && u.members[at].inService()
}
