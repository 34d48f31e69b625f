package budget

import (
	"maps"
	"slices"
	"time"
)

// seekInterval is the least time between two counts of the pledges while they
// are too few.
const seekInterval = 20 * time.Millisecond

// ledger is the account of one resource at its keeper.
type ledger struct {
	resource Resource
	// ballot holds the pledges; it is the ledger itself or another one.
	ballot  *ledger
	timing  Timing
	start   start
	entries map[string]*entry
	// leaseEnd is the latest time until which this keeper may have granted.
	leaseEnd time.Time
	// leaseFound is when it was worked out, leaseSought when that failed.
	leaseFound, leaseSought time.Time
	// since is when the present term began: what was sent before it may have
	// changed under another keeper.
	since    time.Time
	division division
	sums     sums
}

// entry is what one node holds of a resource, as far as its keeper knows.
type entry struct {
	usage Usage
	// share and fallback are the latest answer.
	share, fallback Amount
	// told is the number of the start that the latest answer told or relied on.
	told uint64
	// seen is when the latest report came; it was sent at sent or later.
	seen, sent time.Time
	// expires is when share has surely expired.
	expires time.Time
	// pledged is when the node's pledge may end.
	pledged time.Time
}

func (e *entry) fallbackCharge() Amount {
	return e.usage.Fallback.Max(e.fallback)
}

func newLedger(resource Resource, timing Timing, now time.Time) *ledger {
	l := &ledger{
		resource: resource,
		timing:   timing,
		start:    start{at: now},
		entries:  map[string]*entry{},
		since:    now,
	}
	l.ballot = l
	return l
}

// limit is the most that all nodes together may hold.
func (l *ledger) limit(now time.Time) Amount {
	return l.resource.Capacity.Scale(l.resource.Ramp.Fraction(now.Sub(l.start.at)))
}

// charge is the most that a node can hold.
func (l *ledger) charge(now time.Time, e *entry) Amount {
	if l.resource.Rate {
		return l.rateCharge(now, e)
	}
	held := e.usage.Held.Max(e.share).Max(e.fallbackCharge())
	charge := e.usage.Running.Max(held)
	if e.sent.Before(l.since) {
		return charge.Max(l.resource.nodeLimit())
	}
	return charge
}

func (l *ledger) rateCharge(now time.Time, e *entry) Amount {
	if !now.Before(e.expires) {
		return Amount{}
	}
	return e.usage.Held.Max(e.share)
}

// record takes in one usage, which was sent at sent or later.
func (l *ledger) record(now, sent time.Time, node string, usage Usage) {
	e := l.entries[node]
	if e == nil {
		e = &entry{}
		l.entries[node] = e
		l.sums.at = time.Time{}
	}
	was, wasFallback := l.charge(now, e), e.fallbackCharge()
	if usage.Unchanged {
		usage.Held, usage.Fallback = e.share, e.fallback
	}
	told := e.told
	if !usage.Unchanged {
		told = 0
	}
	*e = entry{usage: usage, seen: now, sent: sent, expires: e.expires, pledged: e.pledged, told: told}
	pledged := sent.Add(l.timing.shorten(l.timing.Pledge))
	if usage.Pledged && pledged.After(e.pledged) {
		e.pledged = pledged
	}
	l.sums.total = l.sums.total.Add(l.charge(now, e)).Sub(was)
	l.sums.fallback = l.sums.fallback.Add(e.fallbackCharge()).Sub(wasFallback)
	l.start.learn(now, usage.Start, l.timing.Pledge)
}

// lead returns until when more than half of the voters are pledged. A term
// begins when they come to be: until then another keeper may have granted.
func (l *ledger) lead(now time.Time) (time.Time, bool) {
	lease, ok := l.lease(now)
	if !ok {
		return time.Time{}, false
	}
	if l.leaseEnd.Before(now) {
		l.since = now
		l.sums.at = time.Time{}
	}
	if l.start.number == 0 {
		l.start.begin(l.start.at)
	}
	l.leaseEnd = laterOf(l.leaseEnd, lease)
	return lease, true
}

// lease returns until when a majority is pledged; within sumsLifetime it
// returns the earlier finding, since pledges are never taken back.
func (l *ledger) lease(now time.Time) (time.Time, bool) {
	if now.Sub(l.leaseFound) < sumsLifetime && l.leaseEnd.After(now) {
		return l.leaseEnd, true
	}
	if now.Sub(l.leaseSought) < seekInterval {
		return time.Time{}, false
	}
	l.leaseSought = now
	lease, ok := l.findLease(now)
	if ok {
		l.leaseFound, l.leaseSought = now, time.Time{}
	}
	return lease, ok
}

func (l *ledger) findLease(now time.Time) (time.Time, bool) {
	var ends []time.Time
	for _, e := range l.ballot.entries {
		if e.pledged.After(now) {
			ends = append(ends, e.pledged)
		}
	}
	majority := l.ballot.resource.Voters/2 + 1
	if len(ends) < majority {
		return time.Time{}, false
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends[majority-1], true
}

// total is the most that all nodes together can hold. A node that is known and
// was never heard counts in full.
func (l *ledger) total(now time.Time, k known) Amount {
	var sum Amount
	for _, e := range l.entries {
		sum = sum.Add(l.charge(now, e))
	}
	if l.resource.Rate {
		return sum
	}
	for node := range k.last {
		if l.entries[node] == nil {
			sum = sum.Add(l.resource.nodeLimit())
		}
	}
	return sum
}

// grant decides the share of a node that has just reported, and reports
// whether the sum kept within its bound.
func (l *ledger) grant(now time.Time, node string, k known) (Grant, bool) {
	grant := Grant{Resource: l.resource.Name}
	lease, ok := l.lead(now)
	if !ok {
		return grant, true
	}
	sound := l.refresh(now, k)
	e := l.entries[node]
	if e.sent.Before(l.since) {
		return grant, sound
	}
	before := l.sums.total
	limit := l.limit(now)
	own := l.charge(now, e)
	free := limit.Sub(before.Sub(own)).Max(Amount{})
	l.sums.fallback = l.sums.fallback.Sub(e.fallbackCharge())
	e.share = l.target(now, node, before).Min(free)
	e.fallback = l.fallback().Min(e.share)
	l.sums.fallback = l.sums.fallback.Add(e.fallbackCharge())
	e.expires = now.Add(l.timing.lengthen(lease.Sub(now)))
	grant.Share = e.share
	grant.Fallback = e.fallback
	grant.Lifetime = l.timing.shorten(lease.Sub(now))
	if e.told != l.start.number {
		grant.Start = l.start.tell(now)
		e.told = l.start.number
	}
	l.sums.total = before.Add(l.charge(now, e)).Sub(own)
	return grant, sound && l.sums.total.Within(limit.Max(before))
}

// fallback is what the node may hold without a keeper: an even part of what
// the others leave. Nodes without a share get none.
func (l *ledger) fallback() Amount {
	limit := l.resource.fallbackLimit()
	left := limit.Sub(l.sums.fallback).Max(Amount{})
	nodes := len(l.entries)
	return Amount{ceilDiv(limit.Slots, nodes), ceilDiv(limit.KVTokens, nodes)}.Min(left)
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
