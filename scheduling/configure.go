package scheduling

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeontiller/wigeontiller/scheduling/tokenbucket"
	"github.com/wigeontiller/wigeontiller/tables"
)

// Configure replaces the tables. Running requests keep their place; waiting
// ones that no upstream can run any longer are refused by the next Advance.
func (s *Scheduler) Configure(now time.Time, built *tables.Tables) {
	first := s.tables == nil
	s.tables = built
	s.resetPools()
	s.updateUpstreams(now, built, first)
	for _, plan := range built.Plans {
		s.index(plan)
	}
	s.dropUpstreams()
	s.dropPools()
	s.sort(now)
	s.resetRates(now)
	s.refuseImpossible()
}

func (s *Scheduler) resetPools() {
	for _, p := range s.pools {
		p.local, p.remote = group{}, group{}
		p.inService, p.maxKV = 0, 0
		p.held, p.heldFor = nil, ""
		p.groupHeld, p.groupFor = nil, ""
	}
	for _, u := range s.upstreams {
		u.configured = false
		u.wasConfigured = u.members != nil
	}
}

// updateUpstreams takes over descriptions. An upstream that appears or returns
// after the first tables starts on a ramp.
func (s *Scheduler) updateUpstreams(now time.Time, built *tables.Tables, first bool) {
	for _, id := range slices.Sorted(maps.Keys(built.Upstreams)) {
		upstream := built.Upstreams[id]
		u := s.upstreams[id]
		appears := u == nil || !u.wasConfigured
		starts := !first && (appears || u.upstream.Out && !upstream.Out)
		if u == nil {
			u = &upstreamState{hash: xxhash.Sum64String(id)}
			s.upstreams[id] = u
		}
		u.upstream = upstream
		u.configured = true
		if starts {
			u.ramp.Start(now)
			u.appeared = appears
			s.watchRamp(u)
		}
	}
}

func (s *Scheduler) index(plan *tables.Plan) {
	for _, upstream := range plan.Upstreams {
		u := s.upstreams[upstream.ID]
		previous := u.members
		u.members = nil
		key := poolKey{environment: plan.Environment, lane: plan.Lane, service: upstream.Service}
		if upstream.Kind == tables.ServiceUpstream {
			s.join(plan, key, u, previous)
			continue
		}
		for _, model := range upstream.Models {
			key.model = model
			s.join(plan, key, u, previous)
		}
	}
}

func (s *Scheduler) join(plan *tables.Plan, key poolKey, u *upstreamState, previous []*member) {
	p := s.pools[key]
	if p == nil {
		p = newPool(key)
		s.pools[key] = p
	}
	p.plan = plan
	one := &member{state: u, pool: p, free: -1}
	if at := slices.IndexFunc(previous, func(m *member) bool { return m.pool == p }); at >= 0 {
		one.breaker = previous[at].breaker
	}
	one.group = &p.remote
	if u.upstream.DataCentre == s.dataCentre {
		one.group = &p.local
	}
	one.group.all = append(one.group.all, one)
	u.members = append(u.members, one)
	if one.inService() {
		p.inService++
		p.maxKV = max(p.maxKV, u.upstream.KVTokens)
	}
}

func (s *Scheduler) sort(now time.Time) {
	s.orderedPools = slices.SortedFunc(maps.Values(s.pools), func(a, b *pool) int { return a.key.compare(b.key) })
	for _, p := range s.orderedPools {
		p.local.sort()
		p.remote.sort()
		p.local.setHome(s.position, s.nodes)
		p.remote.setHome(s.position, s.nodes)
	}
	s.ordered = slices.SortedFunc(maps.Values(s.upstreams), func(a, b *upstreamState) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.upstream.ID, b.upstream.ID))
	})
	s.refreshAll(now)
}

// refreshAll goes in a fixed order, so that the same input gives the same decisions.
func (s *Scheduler) refreshAll(now time.Time) {
	for _, u := range s.ordered {
		s.refresh(now, u)
	}
}

// dropUpstreams forgets what the tables no longer hold and nothing runs on.
func (s *Scheduler) dropUpstreams() {
	for _, u := range s.upstreams {
		if !u.configured {
			u.members = nil
		}
		if !u.configured && u.requests == 0 {
			s.drop(u)
		}
	}
	s.estimator.Retain(func(id string) bool { return s.upstreams[id] != nil })
}

// dropPools forgets pools that no upstream serves and no request uses.
func (s *Scheduler) dropPools() {
	for key, p := range s.pools {
		if len(p.local.all)+len(p.remote.all) == 0 && p.queue.Len() == 0 && p.running == 0 {
			delete(s.pools, key)
		}
	}
}

func (s *Scheduler) resetRates(now time.Time) {
	kept := map[string]*tokenbucket.Bucket{}
	for _, plan := range s.tables.Plans {
		for i := range plan.Document.Organisations {
			organisation := &plan.Document.Organisations[i]
			key := organisationKey(plan, organisation)
			bucket := s.buckets[key]
			if bucket == nil {
				bucket = &tokenbucket.Bucket{}
			}
			kept[key] = bucket
			bucket.SetRate(now, s.rateOf(key, organisation))
		}
	}
	s.buckets = kept
}

func (s *Scheduler) refuseImpossible() {
	for _, id := range slices.Sorted(maps.Keys(s.waiting)) {
		w := s.waiting[id]
		if !s.canEverRun(w.pool, w.request) {
			s.remove(w)
			s.pending = append(s.pending, Decision{RequestID: id, Kind: Refused, Reason: NoUpstream, RetryAfter: minRetryAfter})
		}
	}
}
