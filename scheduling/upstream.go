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
	// reportLifetime is the age from which a load report is ignored as stale.
	reportLifetime = 5 * time.Second
	// coldStartFailures is the number of consecutive failures from which a restart
	// is inferred.
	coldStartFailures = 2
	// A first token later than coldStartFactor times its estimate plus
	// coldStartMargin indicates a cold start.
	coldStartFactor = 4
	coldStartMargin = time.Second
)

// upstreamState is the load and condition of an upstream as known to this node.
type upstreamState struct {
	upstream *tables.Upstream
	// hash orders the upstreams identically on every node.
	hash    uint64
	members []*member
	// isRamping is true while the upstream is in Scheduler.ramping.
	isRamping bool
	// configured is false once the tables no longer contain the upstream.
	configured    bool
	wasConfigured bool

	requests, kvTokens, longRequests, longPrefills int
	// prefillTokens is the prompt tokens of the short requests sent by this node
	// that have no first token yet.
	prefillTokens int

	share    Share
	hasShare bool
	ramp     ramp.Ramp
	// rampedOnAdd is true when the ramp began because the upstream was added to the
	// tables, not because the upstream started.
	rampedOnAdd         bool
	consecutiveFailures int
	// backoff holds back requests after the upstream refused some as full.
	backoff backoff.Backoff
	// coldStartPending is true from the inference of a cold start until
	// TakeColdStarts returns it.
	coldStartPending bool

	// otherRequests and otherKVTokens are the load from other nodes by the last
	// report.
	otherRequests int
	otherKVTokens int
	reportedAt    time.Time
	// draining, incarnation and models are taken from the last report.
	draining    bool
	incarnation int64
	models      []string
}

// member is an upstream's membership in one pool.
type member struct {
	state   *upstreamState
	pool    *pool
	set     *memberSet
	breaker breaker.Breaker
	// freeIndex is the index in memberSet.free, or -1.
	freeIndex int
}

// otherLoad returns the load from other nodes, or zeros once the report is stale.
func (u *upstreamState) otherLoad(now time.Time) (requests, kvTokens int) {
	if now.Sub(u.reportedAt) >= reportLifetime {
		return 0, 0
	}
	return u.otherRequests, u.otherKVTokens
}

// rampLimitReached reports whether all nodes together use the slots that the ramp
// of a starting upstream allows, as far as reports show. An upstream that was
// only added to the tables may have started long ago: there the ramp bounds each
// node separately.
func (u *upstreamState) rampLimitReached(now time.Time) bool {
	if u.rampedOnAdd || !u.ramp.Active(now, u.upstream.Ramp) {
		return false
	}
	otherRequests, _ := u.otherLoad(now)
	return u.requests+otherRequests >= u.ramp.Slots(now, u.upstream.Ramp, u.upstream.Slots)
}

// limit returns the slots and engine memory that this node may use now.
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
	// The allocator grants shares of the ramped capacity already. Here the ramp
	// bounds this node by the ramped slots of the whole upstream, so that it isn't
	// applied twice.
	return min(slots, u.ramp.Slots(now, u.upstream.Ramp, u.upstream.Slots)), kvTokens
}

// updateFreeLists adds the upstream to its pools' free lists or removes it.
func (s *Scheduler) updateFreeLists(now time.Time, u *upstreamState) {
	slots, _ := s.limit(now, u)
	isFree := u.configured && u.requests < slots
	for _, m := range u.members {
		m.set.setFree(m, isFree && m.inService())
	}
}

// startRamp starts a ramp after an inferred or reported cold start.
func (s *Scheduler) startRamp(now time.Time, u *upstreamState) {
	u.ramp.Start(now)
	u.rampedOnAdd = false
	u.coldStartPending = true
	s.trackRamp(u)
	s.updateFreeLists(now, u)
}

func (s *Scheduler) trackRamp(u *upstreamState) {
	if !u.isRamping {
		u.isRamping = true
		s.ramping = append(s.ramping, u)
	}
}

// forgetUpstream removes an upstream that is not configured and runs nothing.
func (s *Scheduler) forgetUpstream(u *upstreamState) {
	delete(s.upstreams, u.upstream.ID)
	s.ramping = slices.DeleteFunc(s.ramping, func(r *upstreamState) bool { return r == u })
}
