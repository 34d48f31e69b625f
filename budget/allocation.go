package budget

import (
	"maps"
	"time"
)

// standbyStep is the granularity of the times at which standby shares become
// usable.
const standbyStep = 100 * time.Millisecond

// toleranceDivisor is the part of its fair share by which a node's share may
// differ from it, so that a change of one node's demand does not change all
// shares.
const toleranceDivisor = 8

// allocation is the accounting of one resource at its allocator.
type allocation struct {
	resource Resource
	lease    *lease
	timing   Timing
	start    start
	nodes    map[string]*nodeState
	// termStart is when the present term began. What nodes sent before it may
	// have changed under another allocator.
	termStart time.Time
	division  division
	sums      sums
}

// nodeState is what one node holds of a resource, as far as the allocator
// knows.
type nodeState struct {
	usage Usage
	// share, fallback and standby are from the latest answer.
	share, fallback, standby Amount
	// sentStart is the number of the start that the latest answer contained or
	// relied on.
	sentStart uint64
	// receivedAt is when the latest report arrived; sentAfter is the earliest
	// time at which it may have been sent.
	receivedAt, sentAfter time.Time
	// expires is when share has certainly expired.
	expires time.Time
	// grantedStandbyFrom is the earliest use of standby according to the latest
	// answer; reportedStandbyFrom is that of usage.Standby.
	grantedStandbyFrom, reportedStandbyFrom time.Time
	// charged is the node's part of the sums; chargedStandby is the standby
	// share in it.
	charged, chargedStandby Amount
}

func (n *nodeState) fallbackCharge() Amount {
	return n.usage.Fallback.Max(n.fallback)
}

func (n *nodeState) standbyCharge() Amount {
	return n.usage.Standby.Max(n.standby)
}

// keepsHeld reports whether a node can keep what it holds: it is enough for the
// node's requests and near its fair part.
func (n *nodeState) keepsHeld(part Amount) bool {
	enough := n.usage.Running.Add(n.usage.Waiting).Within(n.usage.Held)
	return n.usage.Unchanged && enough && withinTolerance(n.usage.Held, part)
}

// withinTolerance reports whether a held amount equals a part or exceeds it by
// at most a slot or an eighth. Up to a sixteenth less memory is also accepted.
func withinTolerance(held, part Amount) bool {
	more := part.Scale(1.0 / toleranceDivisor).Max(Amount{Slots: 1})
	less := Amount{KVTokens: part.KVTokens / (2 * toleranceDivisor)}
	return held.Within(part.Add(more)) && part.Within(held.Add(less))
}

// fillGrant copies the latest answer into a grant, except for what the node
// already holds.
func (n *nodeState) fillGrant(grant *Grant) {
	grant.SameShare = n.usage.Unchanged && n.usage.Held == n.share
	grant.SameReserve = n.usage.Unchanged && n.usage.Fallback == n.fallback && n.usage.Standby == n.standby
	if !grant.SameShare {
		grant.Share = n.share
	}
	if !grant.SameReserve {
		grant.Fallback, grant.Standby = n.fallback, n.standby
	}
}

func newAllocation(resource Resource, resourceLease *lease, timing Timing, now time.Time) *allocation {
	return &allocation{
		resource: resource,
		lease:    resourceLease,
		timing:   timing,
		start:    start{at: now},
		nodes:    map[string]*nodeState{},
	}
}

// limit returns the most that all nodes together may hold. The ramp allows for
// a clock that runs fast.
func (a *allocation) limit(now time.Time) Amount {
	age := a.timing.shorten(now.Sub(a.start.at))
	return a.resource.Capacity.Scale(a.resource.Ramp.Fraction(age))
}

// reporting reports whether a node's latest report is recent and was sent in
// this term.
func (a *allocation) reporting(now time.Time, n *nodeState) bool {
	return now.Sub(n.receivedAt) < a.timing.ReportTimeout && !n.sentAfter.Before(a.termStart)
}

// computeCharge computes the most that a node can hold until the grant
// deadline.
func (a *allocation) computeCharge(n *nodeState) {
	n.chargedStandby = Amount{}
	if n.reportedStandbyFrom.Before(a.sums.grantDeadline) {
		n.chargedStandby = n.usage.Standby
	}
	if n.grantedStandbyFrom.Before(a.sums.grantDeadline) {
		n.chargedStandby = n.chargedStandby.Max(n.standby)
	}
	reserve := n.fallbackCharge().Add(n.chargedStandby)
	n.charged = n.usage.Running.Max(n.usage.Held).Max(n.share).Max(reserve)
}

// uncertain reports whether a node may hold more than it reported.
func (a *allocation) uncertain(node string, n *nodeState) bool {
	return a.lease.inherited[node] && n.sentAfter.Before(a.termStart)
}

// updateCharge recomputes a node's part of the sums.
func (a *allocation) updateCharge(now time.Time, node string, n *nodeState) {
	if a.resource.Rate {
		n.charged = Amount{}
		if now.Before(n.expires) {
			n.charged = n.usage.Held.Max(n.share)
		}
		return
	}
	a.computeCharge(n)
	if a.uncertain(node, n) {
		n.charged = n.charged.Max(a.resource.nodeLimit())
	}
}

// updateNode applies a change to a node's state and updates the sums.
func (a *allocation) updateNode(now time.Time, node string, n *nodeState, apply func()) {
	fallback, standby, charged := a.fallbackHeld(node, n), a.standbyHeld(node, n), n.charged
	apply()
	a.updateCharge(now, node, n)
	a.sums.total = a.sums.total.Add(n.charged).Sub(charged)
	a.sums.fallback = a.sums.fallback.Add(a.fallbackHeld(node, n)).Sub(fallback)
	a.sums.standby = a.sums.standby.Add(a.standbyHeld(node, n)).Sub(standby)
}

// record records one usage. Sent is the earliest time at which it may have been
// sent.
func (a *allocation) record(now, sentAfter time.Time, node string, usage Usage) {
	n := a.nodes[node]
	if n == nil {
		n = &nodeState{}
		a.nodes[node] = n
		a.sums.at = time.Time{}
	}
	a.updateNode(now, node, n, func() { n.record(now, sentAfter, usage) })
	a.start.merge(now, usage.Start, a.timing.ReportTimeout)
}

func (n *nodeState) record(now, sentAfter time.Time, usage Usage) {
	if usage.Unchanged {
		usage.Held, usage.Fallback, usage.Standby = n.share, n.fallback, n.standby
		n.reportedStandbyFrom = n.grantedStandbyFrom
	} else {
		n.sentStart = 0
	}
	n.usage, n.receivedAt, n.sentAfter = usage, now, sentAfter
	n.share, n.fallback, n.standby = Amount{}, Amount{}, Amount{}
}

// joinTerm reports whether this process may grant, and starts accounting for a
// new term.
func (a *allocation) joinTerm(now time.Time) bool {
	if !a.lease.holds(now) {
		return false
	}
	if a.termStart != a.lease.termStart {
		a.termStart = a.lease.termStart
		a.sums.at = time.Time{}
		for _, n := range a.nodes {
			n.reportedStandbyFrom = time.Time{}
		}
	}
	a.start.assumeStarted()
	return true
}

// grant decides the share of a node that has just reported, and reports whether
// the sum stayed within its bound.
func (a *allocation) grant(now time.Time, node string) (Grant, bool) {
	grant := Grant{Resource: a.resource.Name}
	if !a.joinTerm(now) || !a.resource.Rate && !a.lease.ensureRegistered(now, node) {
		return grant, true
	}
	valid := a.refresh(now)
	n := a.nodes[node]
	if n.sentAfter.Before(a.termStart) || !now.Before(a.sums.grantDeadline) {
		return grant, valid
	}
	before := a.sums.total
	limit := a.limit(now)
	free := limit.Sub(before.Sub(n.charged)).Max(Amount{})
	share := a.fairShare(now, node, before).Min(free)
	if n.keepsHeld(share) && n.usage.Held.Within(free) {
		share = n.usage.Held
	}
	if a.onStandby(now, n) && !n.fallbackCharge().Add(n.chargedStandby).Within(share) {
		return grant, valid
	}
	lifetime := a.sums.grantDeadline.Sub(now)
	a.updateNode(now, node, n, func() {
		n.share = share
		n.expires = laterOf(n.expires, now.Add(a.timing.lengthen(lifetime)))
		n.grantedStandbyFrom = a.standbyStart(now)
	})
	a.updateNode(now, node, n, func() { n.fallback = a.fallback(node, n) })
	a.updateNode(now, node, n, func() { n.standby = a.standby(node, n) })
	a.lease.grantsEnd = laterOf(a.lease.grantsEnd, n.expires)
	n.fillGrant(&grant)
	grant.Lifetime = a.timing.shorten(lifetime)
	grant.StandbyIn = n.grantedStandbyFrom.Sub(now)
	if n.sentStart != a.start.number {
		grant.Start = a.start.message(now)
		n.sentStart = a.start.number
	}
	return grant, valid && a.sums.total.Within(limit.Max(before))
}

// onStandby reports whether a node may be using a standby share now. While
// processes that have not reported yet would make a grant smaller than that,
// the node continues with its standby share.
func (a *allocation) onStandby(now time.Time, n *nodeState) bool {
	starting := now.Sub(a.start.at) < a.resource.Ramp.Duration
	return !starting && n.chargedStandby != (Amount{}) && a.sums.uncertain > 0
}

// fallback returns what the node may hold at any time without an allocator: an
// even part, limited to what the others leave. A node without a share gets no
// more than it already has.
func (a *allocation) fallback(node string, n *nodeState) Amount {
	limit := a.resource.fallbackLimit()
	left := limit.Sub(a.sums.fallback.Sub(a.fallbackHeld(node, n))).Max(n.usage.Fallback)
	unused := n.share.Sub(n.chargedStandby).Max(n.usage.Fallback)
	return evenPart(limit, len(a.nodes)).Min(left).Min(unused)
}

// standbyStart returns when a node that is answered now may use its standby
// share: no later than the lease's end. It is the same for answers that are
// close in time, so that their grants end together.
func (a *allocation) standbyStart(now time.Time) time.Time {
	age := now.Add(a.timing.StandbyDelay).Sub(a.termStart)
	return earlierOf(a.termStart.Add(age.Truncate(standbyStep)), a.lease.validUntil)
}

// standby returns what the node may hold in addition when the lease has ended:
// an even part among the nodes that expect requests, limited to what the others
// leave.
func (a *allocation) standby(node string, n *nodeState) Amount {
	if a.resource.Rate || n.usage.Idle {
		return Amount{}
	}
	limit := a.resource.standbyLimit()
	left := limit.Sub(a.sums.standby.Sub(a.standbyHeld(node, n))).Max(n.usage.Standby)
	most := a.resource.nodeLimit().Sub(n.fallbackCharge()).Max(Amount{})
	return evenPart(limit, max(a.sums.active, 1)).Min(left).Min(most)
}

// fallbackHeld returns the most that a node can hold as fallback.
func (a *allocation) fallbackHeld(node string, n *nodeState) Amount {
	if a.uncertain(node, n) {
		return a.resource.fallbackLimit().Min(a.resource.nodeLimit())
	}
	return n.fallbackCharge()
}

// standbyHeld returns the most that a node can hold as standby.
func (a *allocation) standbyHeld(node string, n *nodeState) Amount {
	if a.uncertain(node, n) {
		return a.resource.nodeLimit()
	}
	return n.standbyCharge()
}

func evenPart(total Amount, nodes int) Amount {
	return Amount{ceilDiv(total.Slots, nodes), ceilDiv(total.KVTokens, nodes)}
}

// expire removes nodes whose requests have ended by the longest deadline.
func (a *allocation) expire(now time.Time, longest time.Duration) {
	maps.DeleteFunc(a.nodes, func(_ string, n *nodeState) bool {
		return now.Sub(n.receivedAt) > longest
	})
}

func ceilDiv(a, b int) int {
	return (a + b - 1) / b
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
