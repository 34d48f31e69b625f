package scheduling

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxGroupEngines is the maximum number of engines that run one prompt together.
	maxGroupEngines = 16
	// groupDemandWindow is the length of the windows in each of which a prompt for
	// several engines either demands their memory or pauses.
	groupDemandWindow = 30 * time.Second
	// groupHoldAfter is how long such a prompt waits before it holds engines free.
	groupHoldAfter = 10 * time.Second
	// maxGroupBackoffExponent bounds the backoff: at least one window in 2 to this
	// power has demand, on average.
	maxGroupBackoffExponent = 3
)

// groupPart is the memory that a prompt on several engines uses at one of them.
type groupPart struct {
	state    *upstreamState
	member   *member
	kvTokens int
}

// needsGroup reports whether no single engine in service can hold the request.
func needsGroup(p *pool, request *Request) bool {
	return request.Model != "" && request.KVTokens() > p.maxKVTokens
}

// unreservedKVTokens is the part of an engine's memory that groups may fill; the
// rest is the reserve for short prompts.
func (p *pool) unreservedKVTokens(kvTokens int) int {
	return kvTokens * (wholePercent - p.plan.Document.Reserve.ShortSlotsPercent) / wholePercent
}

// membersByDataCentre returns, for each data centre of the pool with the local one
// first, the members that may take a part of the request when idle.
func (s *Scheduler) membersByDataCentre(p *pool, request *Request) [][]*member {
	indexes := map[string]int{}
	var byDataCentre [][]*member
	for _, set := range []*memberSet{&p.local, &p.remote} {
		for _, m := range set.all {
			u := m.state.upstream
			if !m.inService() || u.KVTokens <= 0 || slices.Contains(request.Avoid, u.ID) {
				continue
			}
			at, known := indexes[u.DataCentre]
			if !known {
				at = len(byDataCentre)
				indexes[u.DataCentre] = at
				byDataCentre = append(byDataCentre, nil)
			}
			byDataCentre[at] = append(byDataCentre[at], m)
		}
	}
	return byDataCentre
}

// groupFits reports whether idle engines of one data centre can hold the request.
func (s *Scheduler) groupFits(p *pool, request *Request) bool {
	if request.Model == "" {
		return false
	}
	return slices.ContainsFunc(s.membersByDataCentre(p, request), func(members []*member) bool {
		return fillParts(request.KVTokens(), members, idleGroupRoom) != nil
	})
}

func idleGroupRoom(m *member) int { return m.pool.unreservedKVTokens(m.state.upstream.KVTokens) }

// fillParts takes members in descending order of room until the tokens fit. It
// returns nil when they don't fit.
func fillParts(tokens int, members []*member, room func(*member) int) []groupPart {
	parts := make([]groupPart, 0, len(members))
	for _, m := range members {
		if free := room(m); free > 0 {
			parts = append(parts, groupPart{m.state, m, free})
		}
	}
	slices.SortStableFunc(parts, func(a, b groupPart) int { return cmp.Compare(b.kvTokens, a.kvTokens) })
	parts = parts[:min(len(parts), maxGroupEngines)]
	for i := range parts {
		parts[i].kvTokens = min(parts[i].kvTokens, tokens)
		tokens -= parts[i].kvTokens
		if tokens == 0 {
			return parts[:i+1]
		}
	}
	return nil
}

// chooseGroup returns engines of one data centre that can hold the request now,
// or nil.
func (s *Scheduler) chooseGroup(now time.Time, w *waitingRequest) []groupPart {
	for _, members := range s.membersByDataCentre(w.pool, w.request) {
		isRemote := members[0].state.upstream.DataCentre != s.dataCentre
		if isRemote && len(w.pool.local.all) > 0 && now.Sub(w.waitingSince) < minWaitForRemote {
			continue
		}
		if s.longPrefillLimitReached(members[0], w.request) {
			continue
		}
		room := func(m *member) int { return s.groupRoom(now, m, w) }
		if parts := fillParts(w.request.KVTokens(), members, room); parts != nil {
			return parts
		}
	}
	return nil
}

// groupRoom returns the memory, in tokens, that the request may take at an engine
// now. It excludes the reserve for short prompts.
func (s *Scheduler) groupRoom(now time.Time, m *member, w *waitingRequest) int {
	u := m.state
	if !m.breaker.Ready(now) || len(w.request.Avoid) > 0 && u.ramp.Active(now, u.upstream.Ramp) {
		return 0
	}
	if m.pool.heldUpstream == u || m.pool.groupRequestID != w.request.ID && slices.Contains(m.pool.groupHeldUpstreams, u) {
		return 0
	}
	slots, kvTokens := s.limit(now, u)
	openPercent := wholePercent - m.pool.plan.Document.Reserve.ShortSlotsPercent
	if u.requests >= slots || u.rampLimitReached(now) || u.longRequests >= max(1, slots*openPercent/wholePercent) {
		return 0
	}
	_, otherKVTokens := u.otherLoad(now)
	// The reserve applies once to the engine, not to each node's share.
	free := min(kvTokens-u.kvTokens, m.pool.unreservedKVTokens(u.upstream.KVTokens)-u.kvTokens-otherKVTokens)
	if free <= 0 || !u.backoff.Ready(now, free) {
		return 0
	}
	return free
}

// tryStartGroup reserves all parts at once, or none.
func (s *Scheduler) tryStartGroup(now time.Time, w *waitingRequest) bool {
	parts := s.chooseGroup(now, w)
	if parts == nil {
		s.updateGroupHold(now, w)
		return false
	}
	s.startOnGroup(now, w, parts[0].member, parts)
	decision := Decision{
		RequestID: w.request.ID,
		Kind:      Placed,
		Upstream:  parts[0].state.upstream,
		Priority:  w.enginePriority(),
	}
	for _, part := range parts {
		decision.Group = append(decision.Group, part.state.upstream)
		decision.GroupTokens = append(decision.GroupTokens, part.kvTokens)
	}
	s.pending = append(s.pending, decision)
	return true
}

// groupTarget returns the engines whose memory the request demands, or nil in a
// window without demand. Without such windows, two nodes that were granted half
// of the same memory each would wait for each other.
func (s *Scheduler) groupTarget(now time.Time, w *waitingRequest) []groupPart {
	window := int(now.Sub(w.waitingSince) / groupDemandWindow)
	hash := xxhash.Sum64String(w.request.ID + "/" + strconv.Itoa(window))
	if hash%(1<<min(window, maxGroupBackoffExponent)) != 0 {
		return nil
	}
	for _, members := range s.membersByDataCentre(w.pool, w.request) {
		from := int((hash >> 8) % uint64(len(members)))
		rotated := slices.Concat(members[from:], members[:from])
		if parts := fillParts(w.request.KVTokens(), rotated, idleGroupRoom); parts != nil {
			return parts
		}
	}
	return nil
}

// updateGroupHold makes the request the pool's only one that demands memory on
// several engines, if no other is. After groupHoldAfter it also holds these
// engines: they get no new requests but short prompts within the reserve.
func (s *Scheduler) updateGroupHold(now time.Time, w *waitingRequest) {
	p := w.pool
	if p.groupRequestID != "" && p.groupRequestID != w.request.ID {
		return
	}
	p.groupRequestID, p.groupHeldUpstreams = "", nil
	for _, part := range s.groupTarget(now, w) {
		p.groupRequestID = w.request.ID
		if now.Sub(w.waitingSince) >= groupHoldAfter {
			p.groupHeldUpstreams = append(p.groupHeldUpstreams, part.state)
		}
	}
}

// heldForGroup reports whether a group hold excludes the request from the engine.
func (s *Scheduler) heldForGroup(now time.Time, m *member, w *waitingRequest) bool {
	if !slices.Contains(m.pool.groupHeldUpstreams, m.state) {
		return false
	}
	if w.isLong() {
		return true
	}
	_, kvTokens := s.limit(now, m.state)
	_, otherKVTokens := m.state.otherLoad(now)
	return m.state.kvTokens+otherKVTokens+w.request.KVTokens() > kvTokens-m.pool.unreservedKVTokens(kvTokens)
}

// addGroupDemand adds the memory demanded at each engine of the request's target.
// Only the pool's groupRequestID has such a demand: one request per pool.
func (s *Scheduler) addGroupDemand(now time.Time, w *waitingRequest, demands map[string]Demand) {
	if w.pool.groupRequestID != w.request.ID {
		return
	}
	for _, part := range s.groupTarget(now, w) {
		demand := demands[part.state.upstream.ID]
		demand.Waiting++
		demand.KVTokens += part.kvTokens
		demands[part.state.upstream.ID] = demand
	}
}

// reserveOtherParts reserves the memory of all parts, and a slot at each engine
// but the lead, whose slot is reserved already.
func (run *runningRequest) reserveOtherParts(parts []groupPart) {
	run.kvTokens = parts[0].kvTokens
	run.otherParts = parts[1:]
	for _, part := range run.otherParts {
		part.state.requests++
		part.state.longRequests++
		part.state.kvTokens += part.kvTokens
	}
}

// releaseOtherParts releases the slots and memory at all engines but the lead.
func (run *runningRequest) releaseOtherParts() {
	for _, part := range run.otherParts {
		part.state.requests--
		part.state.longRequests--
		part.state.kvTokens -= part.kvTokens
	}
}
