package loadshare

import (
	"github.com/wigeontiller/wigeontiller/placement"
)

// zoneTotals holds the totals of a zone's nodes, by node and summed, and what changed since
// they were last sent. It is not safe for concurrent use.
type zoneTotals struct {
	members map[uint32]*memberTotals
	sums    map[uint32]*pendingUpdate
}

// memberTotals is the load of one node, by upstream.
type memberTotals struct {
	shuttingDown bool
	upstreams    map[uint32]*pendingUpdate
}

// pendingUpdate is an update of one upstream that collects changes until it is sent.
type pendingUpdate struct {
	update  placement.LoadUpdate
	changed bool
}

func newZoneTotals() *zoneTotals {
	return &zoneTotals{members: map[uint32]*memberTotals{}, sums: map[uint32]*pendingUpdate{}}
}

// apply merges updates of a member. With full, they cover all upstreams that it uses.
func (z *zoneTotals) apply(member uint32, updates []placement.LoadUpdate, full, shuttingDown bool) {
	m := z.members[member]
	if m == nil {
		m = &memberTotals{upstreams: map[uint32]*pendingUpdate{}}
		z.members[member] = m
	}
	m.shuttingDown = shuttingDown
	if full {
		mentioned := make(map[uint32]bool, len(updates))
		for i := range updates {
			mentioned[updates[i].Hash] = true
		}
		for hash, pending := range m.upstreams {
			if !mentioned[hash] && pending.update.Totals != (placement.Totals{}) {
				z.merge(m, placement.LoadUpdate{Hash: hash})
			}
		}
	}
	for i := range updates {
		z.merge(m, updates[i])
	}
}

func (z *zoneTotals) merge(m *memberTotals, update placement.LoadUpdate) {
	known := m.upstreams[update.Hash]
	if known == nil {
		known = &pendingUpdate{update: placement.LoadUpdate{Hash: update.Hash}}
		m.upstreams[update.Hash] = known
	}
	sum := z.sums[update.Hash]
	if sum == nil {
		sum = &pendingUpdate{update: placement.LoadUpdate{Hash: update.Hash}}
		z.sums[update.Hash] = sum
	}
	before := known.update.Totals
	sum.update.Totals.Running += update.Totals.Running - before.Running
	sum.update.Totals.MemoryTokens += update.Totals.MemoryTokens - before.MemoryTokens
	sum.update.Totals.HelperPrompts += update.Totals.HelperPrompts - before.HelperPrompts
	for _, pending := range []*pendingUpdate{known, sum} {
		pending.collect(update)
	}
	known.update.Totals = update.Totals
}

// collect merges all but the totals.
func (p *pendingUpdate) collect(update placement.LoadUpdate) {
	p.changed = true
	p.update.AddedPrefillMs += update.AddedPrefillMs
	if update.SpeedFactor > 0 {
		p.update.SpeedFactor, p.update.Unattributed = update.SpeedFactor, update.Unattributed
	}
	p.update.AvoidFor = max(p.update.AvoidFor, update.AvoidFor)
}

// take returns the update and forgets all but the totals.
func (p *pendingUpdate) take() placement.LoadUpdate {
	taken := p.update
	p.changed = false
	p.update = placement.LoadUpdate{Hash: taken.Hash, Totals: taken.Totals}
	return taken
}

// remove removes a member that is gone.
func (z *zoneTotals) remove(member uint32) {
	if z.members[member] == nil {
		return
	}
	z.apply(member, nil, true, false)
	delete(z.members, member)
}

// discardPending forgets what was collected to be sent, except for the totals.
func (z *zoneTotals) discardPending() {
	for _, m := range z.members {
		takeUpdates(m.upstreams, true)
	}
	takeUpdates(z.sums, true)
}

// takeMembers returns what changed since the last call, by member, or, with full, all totals
// and also members without any.
func (z *zoneTotals) takeMembers(full bool) []memberLoad {
	var members []memberLoad
	for hash, m := range z.members {
		shares := takeUpdates(m.upstreams, full)
		if full || len(shares) > 0 {
			members = append(members, memberLoad{Hash: hash, ShuttingDown: m.shuttingDown, Shares: shares})
		}
	}
	return members
}

// takeSums returns the sums that changed since the last call, or, with full, all of them.
func (z *zoneTotals) takeSums(full bool) []placement.LoadUpdate { return takeUpdates(z.sums, full) }

// takeUpdates takes the changed updates, or all that are not zero. It drops those without totals.
func takeUpdates(upstreams map[uint32]*pendingUpdate, full bool) []placement.LoadUpdate {
	var updates []placement.LoadUpdate
	for hash, pending := range upstreams {
		empty := pending.update.Totals == (placement.Totals{})
		if pending.changed || full && !empty {
			updates = append(updates, pending.take())
		}
		if empty {
			delete(upstreams, hash)
		}
	}
	return updates
}
