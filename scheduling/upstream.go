package scheduling

import (
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/scheduling/backoff"
	"github.com/wigeontiller/wigeontiller/scheduling/breaker"
	"github.com/wigeontiller/wigeontiller/scheduling/ramp"
	"github.com/wigeontiller/wigeontiller/tables"
)

const (
	// reportLifetime is the age from which a load report is no longer used.
	reportLifetime = 5 * time.Second
	// coldFailures is the number of failures in a row that look like a restart.
	coldFailures = 2
	// coldFactor and coldMargin say how far over the estimate a first token
	// looks like a cold start.
	coldFactor = 4
	coldMargin = time.Second
)

// upstreamState is one upstream as this node knows it.
type upstreamState struct {
	upstream *tables.Upstream
	// hash orders upstreams in the same way at every node.
	hash    uint64
	members []*member
	// isRamping says that the upstream is in Scheduler.ramping.
	isRamping bool
	// configured is false once the tables no longer hold it.
	configured    bool
	wasConfigured bool

	requests, kvTokens, long, prefills int
	// reading is the prompt tokens sent whose answer has not begun.
	reading int

	share    Share
	hasShare bool
	ramp     ramp.Ramp
	// appeared says that the ramp began as the tables named the upstream for
	// the first time, and not as it started.
	appeared bool
	failures int
	// backoff follows the upstream's own refusals for being full.
	backoff backoff.Backoff
	// coldStart says that a cold start was inferred and not taken yet.
	coldStart bool

	// others and othersKV are the load from other nodes by the last report.
	others   int
	othersKV int
	reported time.Time
	// leaving, incarnation and models are as the report says.
	leaving     bool
	incarnation int64
	models      []string
}

// member is an upstream's part in one pool.
type member struct {
	state   *upstreamState
	pool    *pool
	group   *group
	breaker breaker.Breaker
	// free is the place in the group's free list, or -1.
	free int
}

// elsewhere is what other nodes have running by a report that still counts.
func (u *upstreamState) elsewhere(now time.Time) (requests, kvTokens int) {
	if now.Sub(u.reported) >= reportLifetime {
		return 0, 0
	}
	return u.others, u.othersKV
}

// rampFull reports whether all nodes together have as much at an upstream that
// has just started as its ramp allows, as far as reports tell. One that is new
// in the tables need not have started: there each node keeps to the ramp alone.
func (u *upstreamState) rampFull(now time.Time) bool {
	if u.appeared || !u.ramp.Active(now, u.upstream.Ramp) {
		return false
	}
	others, _ := u.elsewhere(now)
	return u.requests+others >= u.ramp.Slots(now, u.upstream.Ramp, u.upstream.Slots)
}

// limit is what this node may have running at the upstream now.
func (s *Scheduler) limit(now time.Time, u *upstreamState) (slots, kvTokens int) {
	slots, kvTokens = u.upstream.Slots, u.upstream.KVTokens
	switch {
	case u.hasShare && now.Before(u.share.Expires):
		slots, kvTokens = min(slots, u.share.Slots), min(kvTokens, u.share.KVTokens)
	case s.fallback != nil:
		share := s.fallback(u.upstream.ID)
		slots, kvTokens = min(slots, share.Slots), min(kvTokens, share.KVTokens)
	case u.hasShare:
		slots, kvTokens = 0, 0
	}
	// A share is already ramped by its keeper. The ramp here bounds this node by
	// the whole upstream's part, so that it does not count twice.
	return min(slots, u.ramp.Slots(now, u.upstream.Ramp, u.upstream.Slots)), kvTokens
}

// refresh puts the upstream on or off its groups' free lists.
func (s *Scheduler) refresh(now time.Time, u *upstreamState) {
	slots, _ := s.limit(now, u)
	isFree := u.configured && u.requests < slots
	for _, one := range u.members {
		one.group.setFree(one, isFree && one.inService())
	}
}

// startRamp bounds the upstream's load from now on, after an inferred cold start.
func (s *Scheduler) startRamp(now time.Time, u *upstreamState) {
	u.ramp.Start(now)
	u.appeared = false
	u.coldStart = true
	s.watchRamp(u)
	s.refresh(now, u)
}

func (s *Scheduler) watchRamp(u *upstreamState) {
	if !u.isRamping {
		u.isRamping = true
		s.ramping = append(s.ramping, u)
	}
}

// drop forgets an upstream that is not configured and runs nothing.
func (s *Scheduler) drop(u *upstreamState) {
	delete(s.upstreams, u.upstream.ID)
	s.ramping = slices.DeleteFunc(s.ramping, func(r *upstreamState) bool { return r == u })
}
