package scheduling

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxGroup bounds the engines that run one prompt together.
	maxGroup = 16
	// groupWindow is how long a prompt for several engines asks for their
	// memory before it gives the demand up for a while.
	groupWindow = 30 * time.Second
	// groupHoldAfter is how long it waits before it keeps other work out.
	groupHoldAfter = 10 * time.Second
	// maxGroupExponent bounds how seldom it asks: one window in 2 to this power.
	maxGroupExponent = 3
)

// part is an engine's share of the memory of a prompt that runs on several.
type part struct {
	state    *upstreamState
	member   *member
	kvTokens int
}

// needsGroup reports whether no single engine in service can hold the request.
func needsGroup(p *pool, request *Request) bool {
	return request.Model != "" && request.KVTokens() > p.maxKV
}

// openKV is the memory of an engine that groups may fill; the rest is the
// reserve for short prompts.
func (p *pool) openKV(kvTokens int) int {
	return kvTokens * (whole - p.plan.Document.Reserve.ShortSlotsPercent) / whole
}

// byDataCentre returns the pool's data centres, the own one first, each with
// the members that may ever take a part of the request.
func (s *Scheduler) byDataCentre(p *pool, request *Request) [][]*member {
	places := map[string]int{}
	var all [][]*member
	for _, side := range []*group{&p.local, &p.remote} {
		for _, m := range side.all {
			u := m.state.upstream
			if !m.inService() || u.KVTokens <= 0 || slices.Contains(request.Avoid, u.ID) {
				continue
			}
			at, known := places[u.DataCentre]
			if !known {
				at = len(all)
				places[u.DataCentre] = at
				all = append(all, nil)
			}
			all[at] = append(all[at], m)
		}
	}
	return all
}

// groupFits reports whether idle engines of one data centre can hold the request.
func (s *Scheduler) groupFits(p *pool, request *Request) bool {
	if request.Model == "" {
		return false
	}
	return slices.ContainsFunc(s.byDataCentre(p, request), func(all []*member) bool {
		return fill(request.KVTokens(), all, idleRoom) != nil
	})
}

func idleRoom(m *member) int { return m.pool.openKV(m.state.upstream.KVTokens) }

// fill takes the members with the most room until the tokens fit, or returns nil.
func fill(tokens int, all []*member, room func(*member) int) []part {
	parts := make([]part, 0, len(all))
	for _, m := range all {
		if free := room(m); free > 0 {
			parts = append(parts, part{m.state, m, free})
		}
	}
	slices.SortStableFunc(parts, func(a, b part) int { return cmp.Compare(b.kvTokens, a.kvTokens) })
	parts = parts[:min(len(parts), maxGroup)]
	for i := range parts {
		parts[i].kvTokens = min(parts[i].kvTokens, tokens)
		tokens -= parts[i].kvTokens
		if tokens == 0 {
			return parts[:i+1]
		}
	}
	return nil
}

// chooseGroup returns engines of one data centre that hold the request now, or nil.
func (s *Scheduler) chooseGroup(now time.Time, w *waiting) []part {
	for _, all := range s.byDataCentre(w.pool, w.request) {
		isRemote := all[0].state.upstream.DataCentre != s.dataCentre
		if isRemote && len(w.pool.local.all) > 0 && now.Sub(w.since) < linkCost {
			continue
		}
		if s.prefillsFull(all[0], w.request) {
			continue
		}
		room := func(m *member) int { return s.groupRoom(now, m, w) }
		if parts := fill(w.request.KVTokens(), all, room); parts != nil {
			return parts
		}
	}
	return nil
}

// groupRoom is the memory that the request may take at an engine now. It never
// reaches into the reserve for short prompts.
func (s *Scheduler) groupRoom(now time.Time, m *member, w *waiting) int {
	u := m.state
	if !m.breaker.Ready(now) || len(w.request.Avoid) > 0 && u.ramp.Active(now, u.upstream.Ramp) {
		return 0
	}
	if m.pool.held == u || m.pool.groupFor != w.request.ID && slices.Contains(m.pool.groupHeld, u) {
		return 0
	}
	slots, kvTokens := s.limit(now, u)
	open := whole - m.pool.plan.Document.Reserve.ShortSlotsPercent
	if u.requests >= slots || u.rampFull(now) || u.long >= max(1, slots*open/whole) {
		return 0
	}
	_, others := u.elsewhere(now)
	// The reserve is one of the engine, not one of each node's share.
	free := min(kvTokens-u.kvTokens, m.pool.openKV(u.upstream.KVTokens)-u.kvTokens-others)
	if free <= 0 || !u.backoff.Ready(now, free) {
		return 0
	}
	return free
}

// tryGroup reserves all parts at once, or none.
func (s *Scheduler) tryGroup(now time.Time, w *waiting) bool {
	parts := s.chooseGroup(now, w)
	if parts == nil {
		s.holdGroup(now, w)
		return false
	}
	s.startOn(now, w, parts[0].member, parts)
	decision := Decision{
		RequestID: w.request.ID,
		Kind:      Placed,
		Upstream:  parts[0].state.upstream,
		Priority:  w.enginePriority(),
	}
	for _, one := range parts {
		decision.Group = append(decision.Group, one.state.upstream)
		decision.GroupTokens = append(decision.GroupTokens, one.kvTokens)
	}
	s.pending = append(s.pending, decision)
	return true
}

// groupTarget is the set of engines whose memory the request asks for, or nil
// in the windows in which it doesn't ask. Two nodes that ask for the same
// memory and got half each would wait for each other without such windows.
func (s *Scheduler) groupTarget(now time.Time, w *waiting) []part {
	window := int(now.Sub(w.since) / groupWindow)
	hash := xxhash.Sum64String(w.request.ID + "/" + strconv.Itoa(window))
	if hash%(1<<min(window, maxGroupExponent)) != 0 {
		return nil
	}
	for _, all := range s.byDataCentre(w.pool, w.request) {
		from := int((hash >> 8) % uint64(len(all)))
		rotated := slices.Concat(all[from:], all[:from])
		if parts := fill(w.request.KVTokens(), rotated, idleRoom); parts != nil {
			return parts
		}
	}
	return nil
}

// holdGroup names the request that asks for memory, one a pool. After a wait
// it keeps the engines asked for free of new work but short prompts
// within the reserve.
func (s *Scheduler) holdGroup(now time.Time, w *waiting) {
	p := w.pool
	if p.groupFor != "" && p.groupFor != w.request.ID {
		return
	}
	p.groupFor, p.groupHeld = "", nil
	for _, one := range s.groupTarget(now, w) {
		p.groupFor = w.request.ID
		if now.Sub(w.since) >= groupHoldAfter {
			p.groupHeld = append(p.groupHeld, one.state)
		}
	}
}

// heldForGroup reports whether a hold keeps the request out of the engine.
func (s *Scheduler) heldForGroup(now time.Time, m *member, w *waiting) bool {
	if !slices.Contains(m.pool.groupHeld, m.state) {
		return false
	}
	if w.long() {
		return true
	}
	_, kvTokens := s.limit(now, m.state)
	_, others := m.state.elsewhere(now)
	return m.state.kvTokens+others+w.request.KVTokens() > kvTokens-m.pool.openKV(kvTokens)
}

// addGroupDemand names the memory asked for at each engine of the set. Only
// the request that holds engines asks: one a pool.
func (s *Scheduler) addGroupDemand(now time.Time, w *waiting, demands map[string]Demand) {
	if w.pool.groupFor != w.request.ID {
		return
	}
	for _, one := range s.groupTarget(now, w) {
		demand := demands[one.state.upstream.ID]
		demand.Waiting++
		demand.KVTokens += one.kvTokens
		demands[one.state.upstream.ID] = demand
	}
}

// occupyGroup books the parts; the lead's slot is booked already.
func (run *running) occupyGroup(parts []part) {
	run.kvTokens = parts[0].kvTokens
	run.members = parts[1:]
	for _, one := range run.members {
		one.state.requests++
		one.state.long++
		one.state.kvTokens += one.kvTokens
	}
}

// freeGroup gives back the parts of the members.
func (run *running) freeGroup() {
	for _, one := range run.members {
		one.state.requests--
		one.state.long--
		one.state.kvTokens -= one.kvTokens
	}
}
