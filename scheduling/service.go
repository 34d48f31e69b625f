package scheduling

import (
	"slices"
	"time"
)

// out reports whether the upstream gets no new work at all.
func (u *upstreamState) out() bool {
	return u.upstream.Out || u.leaving
}

// inService reports whether the upstream may get new work of this pool.
func (m *member) inService() bool {
	u := m.state
	loaded := m.pool.key.model == "" || u.models == nil || slices.Contains(u.models, m.pool.key.model)
	return !u.out() && loaded
}

// observeState takes in whether an upstream leaves, restarted or has loaded
// something. One that restarted or came back starts on a ramp.
func (s *Scheduler) observeState(now time.Time, u *upstreamState, report Report) {
	restarted := report.Incarnation != 0 && u.incarnation != 0 && report.Incarnation != u.incarnation
	returned := u.leaving && !report.Draining
	changed := u.leaving != report.Draining || !slices.Equal(u.models, report.Models) || (u.models == nil) != (report.Models == nil)
	if report.Incarnation != 0 {
		u.incarnation = report.Incarnation
	}
	u.leaving, u.models = report.Draining, slices.Clone(report.Models)
	if restarted || returned {
		s.startRamp(now, u)
	}
	if !changed {
		return
	}
	for _, m := range u.members {
		m.pool.recount()
	}
	s.refresh(now, u)
	s.refuseImpossible()
}

// recount counts the pool's upstreams in service.
func (p *pool) recount() {
	p.inService, p.maxKV = 0, 0
	for _, side := range []*group{&p.local, &p.remote} {
		for _, m := range side.all {
			if m.inService() {
				p.inService++
				p.maxKV = max(p.maxKV, m.state.upstream.KVTokens)
			}
		}
	}
}

// InService reports whether a placed request may still be sent, to each engine
// of its group if it has one.
func (s *Scheduler) InService(id string) bool {
	run := s.running[id]
	if run == nil || !run.isServed(run.state) {
		return false
	}
	return !slices.ContainsFunc(run.members, func(one part) bool { return !run.isServed(one.state) })
}

func (r *running) isServed(u *upstreamState) bool {
	at := slices.IndexFunc(u.members, func(m *member) bool { return m.pool == r.pool })
	return u.configured && at >= 0 && u.members[at].inService()
}
