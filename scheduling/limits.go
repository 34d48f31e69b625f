package scheduling

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/scheduling/fairqueue"
	"github.com/wigeontiller/wigeontiller/scheduling/tokenbucket"
	"github.com/wigeontiller/wigeontiller/tables"
)

// Share is what this node may have running at one upstream.
type Share struct {
	Slots, KVTokens int
	// Expires is when the share ends and the fallback counts.
	Expires time.Time
}

// Demand is what this node has running and waiting for one upstream.
type Demand struct {
	Running, Waiting int
	// KVTokens is the engine memory of both, in tokens.
	KVTokens int
	// RunningKVTokens is the engine memory of what runs.
	RunningKVTokens int
	// NextKVTokens is that of the first request that waits.
	NextKVTokens int
}

// Report is an upstream's own word on its load, which may be old.
type Report struct {
	UpstreamID                 string
	Running, Waiting, KVTokens int
	At                         time.Time
	// Draining is true when the upstream asks for no new work.
	Draining bool
	// Incarnation changes with each start; 0 means that it isn't told.
	Incarnation int64
	// Models is what an engine has loaded; nil means that it isn't told.
	Models []string
}

// SetShares replaces the shares by upstream ID. An upstream that is not named
// counts as one whose share expired, if it ever had one.
func (s *Scheduler) SetShares(now time.Time, shares map[string]Share) {
	for _, u := range s.ordered {
		share, ok := shares[u.upstream.ID]
		u.share = share
		u.hasShare = u.hasShare || ok
		s.refresh(now, u)
	}
	s.shareExpiry = s.nextExpiry(now)
}

// nextExpiry is when the first share in force ends, or zero.
func (s *Scheduler) nextExpiry(now time.Time) time.Time {
	var next time.Time
	for _, u := range s.ordered {
		ends := u.share.Expires
		if ends.After(now) && (next.IsZero() || ends.Before(next)) {
			next = ends
		}
	}
	return next
}

// SetFallback sets the share that counts while an upstream has none; nil means
// the whole upstream, or nothing once it had a share.
func (s *Scheduler) SetFallback(now time.Time, fallback func(upstreamID string) Share) {
	s.fallback = fallback
	s.refreshAll(now)
}

// Demand returns the load by upstream ID, without idle ones. Waiting requests
// count at an upstream of their pool that they are likely to go to.
func (s *Scheduler) Demand(now time.Time) map[string]Demand {
	demands := map[string]Demand{}
	for id, u := range s.upstreams {
		if u.requests > 0 {
			demands[id] = Demand{Running: u.requests, KVTokens: u.kvTokens, RunningKVTokens: u.kvTokens}
		}
	}
	for _, p := range s.orderedPools {
		s.addWaiting(now, p, demands)
	}
	return demands
}

// addWaiting spreads a pool's waiting requests over its upstreams. One that
// waited for longer than a link costs counts at other data centres too, so that
// this node is given a share there before it has anything running.
func (s *Scheduler) addWaiting(now time.Time, p *pool, demands map[string]Demand) {
	p.queue.Each(func(entry *fairqueue.Entry[*waiting]) {
		w := entry.Value
		if needsGroup(p, w.request) {
			s.addGroupDemand(now, w, demands)
			return
		}
		m := s.likely(now, w)
		if m == nil {
			return
		}
		demand := demands[m.state.upstream.ID]
		if demand.Waiting == 0 {
			demand.NextKVTokens = w.request.KVTokens()
		}
		demand.Waiting++
		demand.KVTokens += w.request.KVTokens()
		demands[m.state.upstream.ID] = demand
	})
}

// likely is the first suitable upstream from a place that the request's ID
// gives, so that it stays the same from one call to the next.
func (s *Scheduler) likely(now time.Time, w *waiting) *member {
	local, remote := w.pool.local.all, w.pool.remote.all
	count := len(local)
	if count == 0 || now.Sub(w.since) >= linkCost {
		count += len(remote)
	}
	from := xxhash.Sum64String(w.request.ID) % uint64(max(1, count))
	for i := range min(count, probeLimit) {
		m := memberAt(local, remote, (int(from)+i)%count)
		if s.suits(m, w.request) {
			return m
		}
	}
	return nil
}

func memberAt(local, remote []*member, at int) *member {
	if at < len(local) {
		return local[at]
	}
	return remote[at-len(local)]
}

// Observe takes in an upstream's report; an older one is ignored.
func (s *Scheduler) Observe(now time.Time, report Report) {
	u := s.upstreams[report.UpstreamID]
	if u == nil || !report.At.After(u.reported) {
		return
	}
	u.reported = report.At
	u.others = max(0, report.Running+report.Waiting-u.requests)
	u.othersKV = max(0, report.KVTokens-u.kvTokens)
	s.observeState(now, u, report)
}

// OrganisationKey names an organisation for SetOrganisationRates.
func OrganisationKey(environment string, lane tables.Lane, organisation string) string {
	return environment + "/" + string(lane) + "/" + organisation
}

// SetOrganisationRates replaces this node's part of the organisations' limits,
// in tokens a second by OrganisationKey. For one that isn't named the
// document's tokens_per_second counts.
func (s *Scheduler) SetOrganisationRates(now time.Time, rates map[string]float64) {
	s.rates = rates
	if s.tables != nil {
		s.resetRates(now)
	}
}

func (s *Scheduler) rateOf(key string, organisation *environment.Organisation) float64 {
	if rate, ok := s.rates[key]; ok {
		return rate
	}
	return float64(organisation.TokensPerSecond)
}

func organisationKey(plan *tables.Plan, organisation *environment.Organisation) string {
	return OrganisationKey(plan.Environment, plan.Lane, organisation.Name)
}

// bucketOf finds a limit; an organisation that the tables no longer hold has none.
func (s *Scheduler) bucketOf(request *Request) *tokenbucket.Bucket {
	bucket := s.buckets[organisationKey(request.Plan, request.Organisation)]
	if bucket == nil {
		return &tokenbucket.Bucket{}
	}
	return bucket
}
