package budget

import "time"

// sumsLifetime is how long sums are carried on before they are worked out anew.
const sumsLifetime = 100 * time.Millisecond

// leastGrant is how long a grant must last before the standby share of another
// node is left uncharged for it.
const leastGrant = time.Second

// sums are carried from report to report. They are never below the true ones:
// what only lowers those is taken in when they are worked out anew.
type sums struct {
	at time.Time
	// members is the generation of the lease's members that total counts.
	members uint64
	// total is the most that all nodes can hold; fallback and standby are what
	// was set aside.
	total, fallback, standby Amount
	// unsure is the number of processes that may hold more than they told.
	unsure int
	// active is the number of nodes that expect work.
	active int
	// horizon is the latest end of a grant. No standby share that total leaves
	// out may be used before.
	horizon time.Time
}

// refresh works the sums out anew when they are old or may be too low, and
// reports whether they were sound.
func (l *ledger) refresh(now time.Time) bool {
	whole := !l.sums.at.IsZero() && l.sums.members == l.lease.generation
	if whole && now.Sub(l.sums.at) < sumsLifetime {
		return true
	}
	most := l.sums.total
	l.sums = sums{at: now, members: l.lease.generation, horizon: l.horizon(now)}
	for node, e := range l.entries {
		was, wasDue := e.charged, e.due
		l.charge(now, node, e)
		if e.due != wasDue {
			most = most.Add(e.charged.Sub(was).Max(Amount{}))
		}
		l.sums.total = l.sums.total.Add(e.charged)
		l.sums.fallback = l.sums.fallback.Add(l.fallbackHeld(node, e))
		l.sums.standby = l.sums.standby.Add(l.standbyHeld(node, e))
		if !e.usage.Idle && l.heard(now, e) {
			l.sums.active++
		}
		if l.unsure(node, e) {
			l.sums.unsure++
		}
	}
	l.addUnheard()
	return !whole || l.sums.total.Within(most)
}

// horizon is when the first standby share may be used of a node that reports, or
// that has its answer from now on. That of others, or one whose time is near, is
// charged.
func (l *ledger) horizon(now time.Time) time.Time {
	horizon := l.standbyStart(now)
	near := now.Add(leastGrant)
	for _, e := range l.entries {
		if !l.heard(now, e) {
			continue
		}
		if e.usage.Standby != (Amount{}) && e.standbyFrom.After(near) {
			horizon = earlierOf(horizon, e.standbyFrom)
		}
		if e.standby != (Amount{}) && e.standbyTold.After(near) {
			horizon = earlierOf(horizon, e.standbyTold)
		}
	}
	return horizon
}

// addUnheard adds the most that processes hold of which only the lease's row
// tells.
func (l *ledger) addUnheard() {
	if l.resource.Rate {
		return
	}
	limit := l.resource.nodeLimit()
	for process := range l.lease.inherited {
		if l.entries[process] != nil {
			continue
		}
		l.sums.unsure++
		l.sums.total = l.sums.total.Add(limit)
		l.sums.standby = l.sums.standby.Add(limit)
		l.sums.fallback = l.sums.fallback.Add(l.resource.fallbackLimit().Min(limit))
	}
}
