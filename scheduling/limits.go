package scheduling

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/scheduling/fairqueue"
	"github.com/wigeontiller/wigeontiller/scheduling/tokenbucket"
	"github.com/wigeontiller/wigeontiller/tables"
)

// Share is the part of an upstream's capacity that this node may use.
type Share struct {
	Slots, KVTokens int
	// Expires is when the share ends and the fallback applies.
	Expires time.Time
}

// Demand is this node's running and waiting load for one upstream.
type Demand struct {
	Running, Waiting int
	// KVTokens is the engine memory of running and waiting requests, in tokens.
	KVTokens int
	// RunningKVTokens is the engine memory of the running requests, in tokens.
	RunningKVTokens int
	// NextKVTokens is the engine memory of the first waiting request, in tokens.
	NextKVTokens int
}

// Report is an upstream's own report of its load. It may be old.
type Report struct {
	UpstreamID                 string
	Running, Waiting, KVTokens int
	At                         time.Time
	// Draining is true when the upstream drains and takes no new requests.
	Draining bool
	// Incarnation changes with each start of the upstream; 0 means not reported.
	Incarnation int64
	// Models lists the models that an engine has loaded; nil means not reported.
	Models []string
}

// SetShares replaces the shares by upstream ID. For an upstream without an entry
// any earlier share counts as expired.
func (s *Scheduler) SetShares(now time.Time, shares map[string]Share) {
	for _, u := range s.ordered {
		share, ok := shares[u.upstream.ID]
		u.share = share
		u.hasShare = u.hasShare || ok
		s.updateFreeLists(now, u)
	}
	s.shareExpiry = s.nextExpiry(now)
}

// nextExpiry returns the time at which the next valid share expires, or zero.
func (s *Scheduler) nextExpiry(now time.Time) time.Time {
	var next time.Time
	for _, u := range s.ordered {
		expires := u.share.Expires
		if expires.After(now) && (next.IsZero() || expires.Before(next)) {
			next = expires
		}
	}
	return next
}

// SetFallback sets the share of an upstream without a valid share. With nil, an
// upstream that never had a share is unlimited, and one that had gets nothing.
func (s *Scheduler) SetFallback(now time.Time, fallback func(upstreamID string) Share) {
	s.fallback = fallback
	s.updateAllFreeLists(now)
}

// Demand returns the load by upstream ID, without idle upstreams. A waiting
// request counts at one upstream of its pool that it is likely to be placed on.
func (s *Scheduler) Demand(now time.Time) map[string]Demand {
	demands := map[string]Demand{}
	for id, u := range s.upstreams {
		if u.requests > 0 {
			demands[id] = Demand{Running: u.requests, KVTokens: u.kvTokens, RunningKVTokens: u.kvTokens}
		}
	}
	for _, p := range s.orderedPools {
		s.addWaitingDemand(now, p, demands)
	}
	return demands
}

// addWaitingDemand spreads a pool's waiting requests over its upstreams. Requests
// that have waited for minWaitForRemote count at other data centres too, so that
// this node gets a share there before it has anything running.
func (s *Scheduler) addWaitingDemand(now time.Time, p *pool, demands map[string]Demand) {
	p.queue.Each(func(entry *fairqueue.Entry[*waitingRequest]) {
		w := entry.Value
		if needsGroup(p, w.request) {
			s.addGroupDemand(now, w, demands)
			return
		}
		m := s.likelyUpstream(now, w)
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

// likelyUpstream returns the first suitable upstream at or after an index derived
// from the request's ID, so that repeated calls agree.
func (s *Scheduler) likelyUpstream(now time.Time, w *waitingRequest) *member {
	local, remote := w.pool.local.all, w.pool.remote.all
	count := len(local)
	if count == 0 || now.Sub(w.waitingSince) >= minWaitForRemote {
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

// Observe applies an upstream's load report unless a newer one is known.
func (s *Scheduler) Observe(now time.Time, report Report) {
	u := s.upstreams[report.UpstreamID]
	if u == nil || !report.At.After(u.reportedAt) {
		return
	}
	u.reportedAt = report.At
	u.otherRequests = max(0, report.Running+report.Waiting-u.requests)
	u.otherKVTokens = max(0, report.KVTokens-u.kvTokens)
	s.applyReportedState(now, u, report)
}

// OrganisationKey returns an organisation's key for SetOrganisationRates.
func OrganisationKey(environment string, lane tables.Lane, organisation string) string {
	return environment + "/" + string(lane) + "/" + organisation
}

// SetOrganisationRates replaces this node's part of the organisations' rate
// limits, in tokens per second by OrganisationKey. Organisations without an entry
// keep the document's tokens_per_second.
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

// bucketOf returns the organisation's rate limit. An organisation that the tables
// no longer contain has no limit.
func (s *Scheduler) bucketOf(request *Request) *tokenbucket.Bucket {
	bucket := s.buckets[organisationKey(request.Plan, request.Organisation)]
	if bucket == nil {
		return &tokenbucket.Bucket{}
	}
	return bucket
}
