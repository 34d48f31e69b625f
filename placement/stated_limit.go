package placement

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// StatedLimit is what an answer says of the requests that its upstream takes from all nodes
// together.
type StatedLimit struct {
	// Stated is true if the answer states a limit.
	Stated    bool
	PerSecond float64
}

// LimitUpdate is a statement of an upstream's incarnation that one node sends to the others.
type LimitUpdate struct {
	// Incarnation is a hash of the upstream's ID and start.
	Incarnation uint32
	Limit       StatedLimit
	// At is when the answer arrived.
	At time.Duration
}

// knownLimit is the latest statement of an incarnation.
type knownLimit struct {
	limit StatedLimit
	at    time.Duration
	// own is true if it was an answer to this node, and unsent until it was sent to the other nodes.
	own, unsent bool
	// inReports is true if a report stated it: reports without it then end it.
	inReports bool
}

const (
	// limitRequestShare and limitPollShare are the shares of a stated limit that requests and polls
	// of all nodes together use.
	limitRequestShare, limitPollShare = 0.8, 0.2
	// minLimitPerSecond is the least limit that is used, so that its end is noticed.
	minLimitPerSecond = 0.1
	// extraSenders is how many more nodes than the limit's requests a second may send to an upstream.
	// Each has a burst of one request.
	extraSenders = 2
	// maxSenders is more than any fleet has nodes.
	maxSenders = 1 << 20
	// senderRankTTL is how long the place among the senders to an upstream is kept.
	senderRankTTL = 200 * time.Millisecond
	// limitBurst is the most requests that a node sends to an upstream at once.
	limitBurst = 1
	// maxLimitedPollInterval bounds the time between two polls of an upstream that states a limit.
	maxLimitedPollInterval = 10 * time.Second
	// limitTTL is how long the statement of an incarnation is kept that is gone, or that ended.
	limitTTL = 2 * time.Minute
	// maxLimits bounds the statements that are kept and sent.
	maxLimits = 1024
)

func incarnationOf(entry *fleet.Upstream) uint32 {
	return Hash(entry.ID + "/" + strconv.FormatInt(entry.StartedMs, 10))
}

// RecordLimit records what an answer of an upstream to this node states. It reports whether the
// other nodes need an update.
func (s *Scheduler) RecordLimit(now time.Duration, entry *fleet.Upstream, limit StatedLimit, isReport bool) bool {
	id := incarnationOf(entry)
	known := s.limits[id]
	if !limit.Stated && (known == nil || !known.limit.Stated || isReport && !known.inReports) {
		return false
	}
	changed := known == nil || known.limit != limit
	if known == nil {
		known = &knownLimit{}
		s.limits[id] = known
	}
	known.limit, known.at, known.own = limit, now, true
	known.inReports = limit.Stated && (known.inReports || isReport)
	known.unsent = known.unsent || changed
	s.dropOldLimits(now)
	return changed
}

// ApplyLimits merges the statements that another node sent. With forward, those that change what is
// known here are sent to further nodes.
func (s *Scheduler) ApplyLimits(now time.Duration, updates []LimitUpdate, forward bool) {
	for _, update := range updates {
		known := s.limits[update.Incarnation]
		if known != nil && update.At <= known.at || known == nil && !update.Limit.Stated {
			continue
		}
		changed := known == nil || known.limit != update.Limit
		if known == nil {
			known = &knownLimit{}
			s.limits[update.Incarnation] = known
		}
		known.limit, known.at, known.own = update.Limit, min(update.At, now), false
		known.inReports = known.inReports && update.Limit.Stated
		known.unsent = known.unsent || changed && forward
	}
	s.dropOldLimits(now)
}

// LimitUpdates returns the statements of a scope.
func (s *Scheduler) LimitUpdates(now time.Duration, scope Scope) []LimitUpdate {
	s.dropOldLimits(now)
	var updates []LimitUpdate
	for id, known := range s.limits {
		if known.unsent || scope == All || scope == Own && known.own {
			known.unsent = false
			updates = append(updates, LimitUpdate{Incarnation: id, Limit: known.limit, At: known.at})
		}
	}
	slices.SortFunc(updates, func(a, b LimitUpdate) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return updates
}

// Scope says which statements are sent.
type Scope int

// The scopes: what was not sent yet, all that upstreams stated to this node, and all that it knows.
const (
	Unsent Scope = iota
	Own
	All
)

// dropOldLimits drops statements that ended, and those of incarnations that are gone.
func (s *Scheduler) dropOldLimits(now time.Duration) {
	if len(s.limits) == 0 {
		return
	}
	present := make(map[uint32]bool, len(s.loads))
	for _, l := range s.loads {
		present[l.incarnation] = true
	}
	for id, known := range s.limits {
		if (!present[id] || !known.limit.Stated) && now-known.at > limitTTL || len(s.limits) > maxLimits && !present[id] {
			delete(s.limits, id)
		}
	}
}

// limited returns the limit that an upstream states, and whether it states one.
func (s *Scheduler) limited(l *load) (float64, bool) {
	known := s.limits[l.incarnation]
	if known == nil || !known.limit.Stated {
		return 0, false
	}
	return max(known.limit.PerSecond, minLimitPerSecond), true
}

// limitShare returns this node's part of the rate of requests to an upstream that states a limit. A
// few nodes share it, so that the burst of each counts little; they are chosen by rendezvous
// hashing, without messages.
func (s *Scheduler) limitShare(now time.Duration, l *load, perSecond float64) float64 {
	if l.senderNodes == 0 || now-l.senderRankAt > senderRankTTL {
		l.senderRank, l.senderNodes, l.senderPart = s.config.SenderRank(l.entry.ID, l.entry.Zone)
		l.senderRankAt = now
	}
	senders := min(l.senderNodes, int(min(perSecond, maxSenders))+extraSenders)
	if l.senderRank >= senders {
		return 0
	}
	return perSecond * limitRequestShare * l.senderPart / float64(senders)
}

// limitAllows reports whether this node may send one more request to an upstream.
func (s *Scheduler) limitAllows(now time.Duration, l *load) bool {
	return s.refillLimit(now, l) >= 1
}

// refillLimit returns the permits that this node has for an upstream; without a limit that is enough.
func (s *Scheduler) refillLimit(now time.Duration, l *load) float64 {
	perSecond, limited := s.limited(l)
	if !limited {
		l.limitPermits, l.limitPermitsAt = 0, 0
		return limitBurst
	}
	share := s.limitShare(now, l, perSecond)
	if l.limitPermitsAt == 0 || share == 0 {
		// A node that becomes a sender begins without a burst, since another one may just have ended.
		l.limitPermits, l.limitPermitsAt = 0, now
	}
	l.limitPermits = min(limitBurst, l.limitPermits+share*(now-l.limitPermitsAt).Seconds())
	l.limitPermitsAt = now
	return l.limitPermits
}

// earliestPermit returns the time until this node may send to an upstream of a service that states a
// limit, or 0 if there is none.
func (s *Scheduler) earliestPermit(now time.Duration, service string) time.Duration {
	earliest := time.Duration(0)
	for _, l := range s.ordered {
		perSecond, limited := s.limited(l)
		if !limited || l.entry.Service != service {
			continue
		}
		share := s.limitShare(now, l, perSecond)
		if share == 0 {
			continue
		}
		wait := time.Duration(max(0, 1-s.refillLimit(now, l)) / share * float64(time.Second))
		if earliest == 0 || wait < earliest {
			earliest = max(wait, time.Millisecond)
		}
	}
	return earliest
}

// Limited reports whether an upstream states a limit.
func (s *Scheduler) Limited(id string) bool {
	l := s.loads[id]
	if l == nil {
		return false
	}
	_, limited := s.limited(l)
	return limited
}

// AllowPoll reports whether an upstream may be polled for its load now, and if so, records the poll.
func (s *Scheduler) AllowPoll(now time.Duration, id string) bool {
	l := s.loads[id]
	if l == nil {
		return true
	}
	if perSecond, limited := s.limited(l); limited {
		interval := min(maxLimitedPollInterval, time.Duration(float64(time.Second)/(perSecond*limitPollShare)))
		if now-l.polledAt < interval {
			return false
		}
	}
	l.polledAt = now
	return true
}
