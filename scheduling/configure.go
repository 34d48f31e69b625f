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

// Configure replaces the tables. Running requests stay where they are; waiting
// ones that no upstream can run any longer are refused by the next Advance.
func (s *Scheduler) Configure(now time.Time, built *tables.Tables) {
	isFirst := s.tables == nil
	s.tables = built
	s.resetPools()
	s.updateUpstreams(now, built, isFirst)
	for _, plan := range built.Plans {
		s.indexPlan(plan)
	}
	s.dropUpstreams()
	s.dropPools()
	s.rebuildOrder(now)
	s.resetRates(now)
	s.refuseUnservable()
}

func (s *Scheduler) resetPools() {
	for _, p := range s.pools {
		p.local, p.remote = memberSet{}, memberSet{}
		p.inServiceCount, p.maxKVTokens = 0, 0
		p.heldUpstream, p.heldForRequestID = nil, ""
		p.groupHeldUpstreams, p.groupRequestID = nil, ""
	}
	for _, u := range s.upstreams {
		u.configured = false
		u.wasConfigured = u.members != nil
	}
}

// updateUpstreams applies the upstreams' descriptions. After the first tables, an
// upstream that is added or returns to service starts on a ramp.
func (s *Scheduler) updateUpstreams(now time.Time, built *tables.Tables, isFirst bool) {
	for _, id := range slices.Sorted(maps.Keys(built.Upstreams)) {
		upstream := built.Upstreams[id]
		u := s.upstreams[id]
		added := u == nil || !u.wasConfigured
		startsRamp := !isFirst && (added || u.upstream.OutOfService && !upstream.OutOfService)
		if u == nil {
			u = &upstreamState{hash: xxhash.Sum64String(id)}
			s.upstreams[id] = u
		}
		u.upstream = upstream
		u.configured = true
		if startsRamp {
			u.ramp.Start(now)
			u.rampedOnAdd = added
			s.trackRamp(u)
		}
	}
}

func (s *Scheduler) indexPlan(plan *tables.Plan) {
	for _, upstream := range plan.Upstreams {
		u := s.upstreams[upstream.ID]
		previous := u.members
		u.members = nil
		key := poolKey{environment: plan.Environment, lane: plan.Lane, service: upstream.Service}
		if upstream.Kind == tables.ServiceUpstream {
			s.addMember(plan, key, u, previous)
			continue
		}
		for _, model := range upstream.Models {
			key.model = model
			s.addMember(plan, key, u, previous)
		}
	}
}

func (s *Scheduler) addMember(plan *tables.Plan, key poolKey, u *upstreamState, previous []*member) {
	p := s.pools[key]
	if p == nil {
		p = newPool(key)
		s.pools[key] = p
	}
	p.plan = plan
	added := &member{state: u, pool: p, freeIndex: -1}
	if at := slices.IndexFunc(previous, func(m *member) bool { return m.pool == p }); at >= 0 {
		added.breaker = previous[at].breaker
	}
	added.set = &p.remote
	if u.upstream.DataCentre == s.dataCentre {
		added.set = &p.local
	}
	added.set.all = append(added.set.all, added)
	u.members = append(u.members, added)
	if added.inService() {
		p.inServiceCount++
		p.maxKVTokens = max(p.maxKVTokens, u.upstream.KVTokens)
	}
}

func (s *Scheduler) rebuildOrder(now time.Time) {
	s.orderedPools = slices.SortedFunc(maps.Values(s.pools), func(a, b *pool) int { return a.key.compare(b.key) })
	for _, p := range s.orderedPools {
		p.local.sort()
		p.remote.sort()
		p.local.setPreferred(s.position, s.nodes)
		p.remote.setPreferred(s.position, s.nodes)
	}
	s.ordered = slices.SortedFunc(maps.Values(s.upstreams), func(a, b *upstreamState) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.upstream.ID, b.upstream.ID))
	})
	s.updateAllFreeLists(now)
}

// updateAllFreeLists visits upstreams in a fixed order, so that the same input gives
// the same decisions.
func (s *Scheduler) updateAllFreeLists(now time.Time) {
	for _, u := range s.ordered {
		s.updateFreeLists(now, u)
	}
}

// dropUpstreams removes upstreams that the tables no longer contain and that run
// nothing.
func (s *Scheduler) dropUpstreams() {
	for _, u := range s.upstreams {
		if !u.configured {
			u.members = nil
		}
		if !u.configured && u.requests == 0 {
			s.forgetUpstream(u)
		}
	}
	s.estimator.Retain(func(id string) bool { return s.upstreams[id] != nil })
}

// dropPools removes pools that no upstream serves and no request uses.
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

func (s *Scheduler) refuseUnservable() {
	for _, id := range slices.Sorted(maps.Keys(s.waiting)) {
		w := s.waiting[id]
		if !s.canEverRun(w.pool, w.request) {
			s.removeWaiting(w)
			s.pending = append(s.pending, Decision{RequestID: id, Kind: Refused, Reason: NoUpstream, RetryAfter: minRetryAfter})
		}
	}
}
