package budget

import "time"

// sumsLifetime is how long sums are updated incrementally before they are
// recomputed.
const sumsLifetime = 100 * time.Millisecond

// minGrantLifetime is how long a grant must last; a standby share that becomes
// usable sooner is charged instead of limiting the grant.
const minGrantLifetime = time.Second

// sums are updated with each report. They are never below the true sums: a
// change that only lowers those is applied when they are recomputed.
type sums struct {
	at time.Time
	// leaseGeneration is the generation of the lease's inherited members that
	// total includes.
	leaseGeneration uint64
	// total is the most that all nodes can hold; fallback and standby are the
	// parts set aside for these shares.
	total, fallback, standby Amount
	// uncertain is the number of processes that may hold more than they
	// reported.
	uncertain int
	// active is the number of nodes that expect requests.
	active int
	// grantDeadline is the latest time at which a grant may end. No standby
	// share that total leaves out may be used before it.
	grantDeadline time.Time
}

// refresh recomputes the sums when they are old or may be too low, and reports
// whether they were high enough.
func (a *allocation) refresh(now time.Time) bool {
	current := !a.sums.at.IsZero() && a.sums.leaseGeneration == a.lease.generation
	if current && now.Sub(a.sums.at) < sumsLifetime {
		return true
	}
	bound := a.sums.total
	a.sums = sums{at: now, leaseGeneration: a.lease.generation, grantDeadline: a.grantDeadline(now)}
	for node, n := range a.nodes {
		wasCharged, wasStandby := n.charged, n.chargedStandby
		a.updateCharge(now, node, n)
		if n.chargedStandby != wasStandby {
			bound = bound.Add(n.charged.Sub(wasCharged).Max(Amount{}))
		}
		a.sums.total = a.sums.total.Add(n.charged)
		a.sums.fallback = a.sums.fallback.Add(a.fallbackHeld(node, n))
		a.sums.standby = a.sums.standby.Add(a.standbyHeld(node, n))
		if !n.usage.Idle && a.reporting(now, n) {
			a.sums.active++
		}
		if a.uncertain(node, n) {
			a.sums.uncertain++
		}
	}
	a.addUnreported()
	return !current || a.sums.total.Within(bound)
}

// grantDeadline returns the earliest time at which a standby share that is not
// charged may be used: one of a reporting node, or one granted from now on. The
// standby shares of other nodes, and those that are usable within
// minGrantLifetime, are charged.
func (a *allocation) grantDeadline(now time.Time) time.Time {
	deadline := a.standbyStart(now)
	soon := now.Add(minGrantLifetime)
	for _, n := range a.nodes {
		if !a.reporting(now, n) {
			continue
		}
		if n.usage.Standby != (Amount{}) && n.reportedStandbyFrom.After(soon) {
			deadline = earlierOf(deadline, n.reportedStandbyFrom)
		}
		if n.standby != (Amount{}) && n.grantedStandbyFrom.After(soon) {
			deadline = earlierOf(deadline, n.grantedStandbyFrom)
		}
	}
	return deadline
}

// addUnreported adds the most that processes can hold that are known only from
// the lease's row.
func (a *allocation) addUnreported() {
	if a.resource.Rate {
		return
	}
	limit := a.resource.nodeLimit()
	for process := range a.lease.inherited {
		if a.nodes[process] != nil {
			continue
		}
		a.sums.uncertain++
		a.sums.total = a.sums.total.Add(limit)
		a.sums.standby = a.sums.standby.Add(limit)
		a.sums.fallback = a.sums.fallback.Add(a.resource.fallbackLimit().Min(limit))
	}
}
