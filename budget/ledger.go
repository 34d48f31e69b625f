package budget

import (
	"maps"
	"time"
)

// standbyStep is the time between two starts of standby shares.
const standbyStep = 100 * time.Millisecond

// nearDivisor is the part of a share by which a node's may differ from its fair
// part, so that not each change of one node's demand changes all shares.
const nearDivisor = 8

// ledger is the account of one resource at its keeper.
type ledger struct {
	resource Resource
	lease    *lease
	timing   Timing
	start    start
	entries  map[string]*entry
	// since is when the present term began: what was sent before it may have
	// changed under another keeper.
	since    time.Time
	division division
	sums     sums
}

// entry is what one node holds of a resource, as far as its keeper knows.
type entry struct {
	usage Usage
	// share, fallback and standby are the latest answer.
	share, fallback, standby Amount
	// told is the number of the start that the latest answer told or relied on.
	told uint64
	// seen is when the latest report came; it was sent at sent or later.
	seen, sent time.Time
	// expires is when share has surely expired.
	expires time.Time
	// standbyTold is the earliest use of standby, as the latest answer tells it, and
	// standbyFrom that of usage.Standby.
	standbyTold, standbyFrom time.Time
	// charged is the entry's part of the sums, and due the standby share in it.
	charged, due Amount
}

func (e *entry) fallbackCharge() Amount {
	return e.usage.Fallback.Max(e.fallback)
}

func (e *entry) standbyCharge() Amount {
	return e.usage.Standby.Max(e.standby)
}

// content reports whether a node may as well keep what it holds: it is enough for
// its work and near its part.
func (e *entry) content(part Amount) bool {
	enough := e.usage.Running.Add(e.usage.Waiting).Within(e.usage.Held)
	return e.usage.Unchanged && enough && near(e.usage.Held, part)
}

// near reports whether a held amount is as a part, or over it by a slot or an
// eighth. Less memory by a sixteenth is as good.
func near(held, part Amount) bool {
	more := part.Scale(1.0 / nearDivisor).Max(Amount{Slots: 1})
	less := Amount{KVTokens: part.KVTokens / (2 * nearDivisor)}
	return held.Within(part.Add(more)) && part.Within(held.Add(less))
}

// tell puts the latest answer into a grant, but for what the node holds already.
func (e *entry) tell(grant *Grant) {
	grant.SameShare = e.usage.Unchanged && e.usage.Held == e.share
	grant.SameAside = e.usage.Unchanged && e.usage.Fallback == e.fallback && e.usage.Standby == e.standby
	if !grant.SameShare {
		grant.Share = e.share
	}
	if !grant.SameAside {
		grant.Fallback, grant.Standby = e.fallback, e.standby
	}
}

func newLedger(resource Resource, held *lease, timing Timing, now time.Time) *ledger {
	return &ledger{
		resource: resource,
		lease:    held,
		timing:   timing,
		start:    start{at: now},
		entries:  map[string]*entry{},
	}
}

// limit is the most that all nodes together may hold. The ramp allows for a
// clock that runs fast.
func (l *ledger) limit(now time.Time) Amount {
	age := l.timing.shorten(now.Sub(l.start.at))
	return l.resource.Capacity.Scale(l.resource.Ramp.Fraction(age))
}

// heard reports whether a node reports and what it told is of this term.
func (l *ledger) heard(now time.Time, e *entry) bool {
	return now.Sub(e.seen) < l.timing.Silence && !e.sent.Before(l.since)
}

// recharge works out the most that a node can hold until the horizon.
func (l *ledger) recharge(e *entry) {
	e.due = Amount{}
	if e.standbyFrom.Before(l.sums.horizon) {
		e.due = e.usage.Standby
	}
	if e.standbyTold.Before(l.sums.horizon) {
		e.due = e.due.Max(e.standby)
	}
	aside := e.fallbackCharge().Add(e.due)
	e.charged = e.usage.Running.Max(e.usage.Held).Max(e.share).Max(aside)
}

// unsure reports whether a node may hold more than it told.
func (l *ledger) unsure(node string, e *entry) bool {
	return l.lease.inherited[node] && e.sent.Before(l.since)
}

// charge brings an entry's part of the sums up to date.
func (l *ledger) charge(now time.Time, node string, e *entry) {
	if l.resource.Rate {
		e.charged = Amount{}
		if now.Before(e.expires) {
			e.charged = e.usage.Held.Max(e.share)
		}
		return
	}
	l.recharge(e)
	if l.unsure(node, e) {
		e.charged = e.charged.Max(l.resource.nodeLimit())
	}
}

// change applies a change to an entry and carries the sums on.
func (l *ledger) change(now time.Time, node string, e *entry, apply func()) {
	fallback, standby, charged := l.fallbackHeld(node, e), l.standbyHeld(node, e), e.charged
	apply()
	l.charge(now, node, e)
	l.sums.total = l.sums.total.Add(e.charged).Sub(charged)
	l.sums.fallback = l.sums.fallback.Add(l.fallbackHeld(node, e)).Sub(fallback)
	l.sums.standby = l.sums.standby.Add(l.standbyHeld(node, e)).Sub(standby)
}

// record takes in one usage, which was sent at sent or later.
func (l *ledger) record(now, sent time.Time, node string, usage Usage) {
	e := l.entries[node]
	if e == nil {
		e = &entry{}
		l.entries[node] = e
		l.sums.at = time.Time{}
	}
	l.change(now, node, e, func() { e.record(now, sent, usage) })
	l.start.learn(now, usage.Start, l.timing.Silence)
}

func (e *entry) record(now, sent time.Time, usage Usage) {
	if usage.Unchanged {
		usage.Held, usage.Fallback, usage.Standby = e.share, e.fallback, e.standby
		e.standbyFrom = e.standbyTold
	} else {
		e.told = 0
	}
	e.usage, e.seen, e.sent = usage, now, sent
	e.share, e.fallback, e.standby = Amount{}, Amount{}, Amount{}
}

// lead reports whether this process may grant, and begins its term.
func (l *ledger) lead(now time.Time) bool {
	if !l.lease.holds(now) {
		return false
	}
	if l.since != l.lease.since {
		l.since = l.lease.since
		l.sums.at = time.Time{}
		for _, e := range l.entries {
			e.standbyFrom = time.Time{}
		}
	}
	l.start.assume()
	return true
}

// grant decides the share of a node that has just reported, and reports
// whether the sum kept within its bound.
func (l *ledger) grant(now time.Time, node string) (Grant, bool) {
	grant := Grant{Resource: l.resource.Name}
	if !l.lead(now) || !l.resource.Rate && !l.lease.admit(now, node) {
		return grant, true
	}
	sound := l.refresh(now)
	e := l.entries[node]
	if e.sent.Before(l.since) || !now.Before(l.sums.horizon) {
		return grant, sound
	}
	before := l.sums.total
	limit := l.limit(now)
	free := limit.Sub(before.Sub(e.charged)).Max(Amount{})
	share := l.target(now, node, before).Min(free)
	if e.content(share) && e.usage.Held.Within(free) {
		share = e.usage.Held
	}
	if l.onStandby(now, e) && !e.fallbackCharge().Add(e.due).Within(share) {
		return grant, sound
	}
	left := l.sums.horizon.Sub(now)
	l.change(now, node, e, func() {
		e.share = share
		e.expires = laterOf(e.expires, now.Add(l.timing.lengthen(left)))
		e.standbyTold = l.standbyStart(now)
	})
	l.change(now, node, e, func() { e.fallback = l.fallback(node, e) })
	l.change(now, node, e, func() { e.standby = l.standby(node, e) })
	l.lease.grantEnd = laterOf(l.lease.grantEnd, e.expires)
	e.tell(&grant)
	grant.Lifetime = l.timing.shorten(left)
	grant.StandbyIn = e.standbyTold.Sub(now)
	if e.told != l.start.number {
		grant.Start = l.start.tell(now)
		e.told = l.start.number
	}
	return grant, sound && l.sums.total.Within(limit.Max(before))
}

// onStandby reports whether a node may use a standby share now. While a grant
// would be of less, because of processes that were not heard yet, it goes on with
// that.
func (l *ledger) onStandby(now time.Time, e *entry) bool {
	starting := now.Sub(l.start.at) < l.resource.Ramp.Duration
	return !starting && e.due != (Amount{}) && l.sums.unsure > 0
}

// fallback is what the node may hold without a keeper at any time: an even part
// of what the others leave. A node without a share gets no more than it has.
func (l *ledger) fallback(node string, e *entry) Amount {
	limit := l.resource.fallbackLimit()
	left := limit.Sub(l.sums.fallback.Sub(l.fallbackHeld(node, e))).Max(e.usage.Fallback)
	unused := e.share.Sub(e.due).Max(e.usage.Fallback)
	return evenPart(limit, len(l.entries)).Min(left).Min(unused)
}

// standbyStart is when a node that has an answer now may use its standby share:
// no later than the lease's end. It is the same for answers that are near in
// time, so that their grants end together.
func (l *ledger) standbyStart(now time.Time) time.Time {
	age := now.Add(l.timing.Standby).Sub(l.since)
	return earlierOf(l.since.Add(age.Truncate(standbyStep)), l.lease.end)
}

// standby is what the node may hold besides when the lease has ended: an even
// part among the nodes that expect work, of what the others leave.
func (l *ledger) standby(node string, e *entry) Amount {
	if l.resource.Rate || e.usage.Idle {
		return Amount{}
	}
	limit := l.resource.standbyLimit()
	left := limit.Sub(l.sums.standby.Sub(l.standbyHeld(node, e))).Max(e.usage.Standby)
	most := l.resource.nodeLimit().Sub(e.fallbackCharge()).Max(Amount{})
	return evenPart(limit, max(l.sums.active, 1)).Min(left).Min(most)
}

// fallbackHeld is the most that a node can hold as fallback.
func (l *ledger) fallbackHeld(node string, e *entry) Amount {
	if l.unsure(node, e) {
		return l.resource.fallbackLimit().Min(l.resource.nodeLimit())
	}
	return e.fallbackCharge()
}

// standbyHeld is the most that a node can hold as standby.
func (l *ledger) standbyHeld(node string, e *entry) Amount {
	if l.unsure(node, e) {
		return l.resource.nodeLimit()
	}
	return e.standbyCharge()
}

func evenPart(total Amount, nodes int) Amount {
	return Amount{ceilDiv(total.Slots, nodes), ceilDiv(total.KVTokens, nodes)}
}

// expire forgets nodes whose work has ended by the longest deadline.
func (l *ledger) expire(now time.Time, longest time.Duration) {
	maps.DeleteFunc(l.entries, func(_ string, e *entry) bool {
		return now.Sub(e.seen) > longest
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
