package budget

import "time"

// confirmDivisor is the number of reports per interval while a reduced share is
// to be confirmed, or a first or larger one is requested.
const confirmDivisor = 5

// clientResource is a client's state of one resource.
type clientResource struct {
	interest Interest
	demand   Demand
	share    Amount
	expires  time.Time
	// fallback may be used after share has expired.
	fallback       Amount
	reserveExpires time.Time
	// standby may be used in addition to fallback from standbyFrom until
	// reserveExpires.
	standby     Amount
	standbyFrom time.Time
	start       start
	// shortSince is the time since which the node has wanted more than it may
	// use, or zero.
	shortSince time.Time
	// ownerSince is when allocator became the owner.
	ownerSince time.Time
	// ownerGranted is true when a grant of that owner has been applied.
	ownerGranted bool
	// allocator, reportedAt and sequence belong to the latest report.
	allocator  string
	reportedAt time.Time
	sequence   uint64
	// reportedStart is the number of the start known at the latest report.
	reportedStart uint64
	// appliedProcess is the allocator's process whose answer to the latest
	// report has been applied, or empty.
	appliedProcess string
	// reportedUnused is true when the latest report showed neither usage nor
	// demand.
	reportedUnused bool
	// shrunk is true when the latest answer reduced the share. Others get the
	// difference once a report confirms it.
	shrunk bool
}

// ownerChangePeriod is the longest time after a change of allocator during
// which every node reports often, so that the new allocator has a report from
// each once it has taken over the lease.
func ownerChangePeriod(timing Timing) time.Duration {
	return timing.LeaseDuration + 2*timing.ReportTimeout
}

func (r *clientResource) idle() bool {
	return !r.interest.Local && r.demand == Demand{}
}

// dormant reports whether no report is needed.
func (r *clientResource) dormant(now time.Time) bool {
	_, holds := r.currentShare(now)
	return r.interest.OnDemand && r.idle() && !holds
}

// interval returns the time from the latest report to the next.
func (r *clientResource) interval(now time.Time, timing Timing) time.Duration {
	_, holds := r.currentShare(now)
	settled := r.ownerGranted || now.Sub(r.ownerSince) > ownerChangePeriod(timing)
	if settled && r.idle() && r.reportedUnused && !holds {
		return timing.IdleInterval
	}
	if r.shrunk || r.awaitsGrant(now, timing) {
		return timing.Interval / confirmDivisor
	}
	return timing.Interval
}

// awaitsGrant reports whether the node waits for the first grant of a new
// allocator, or has become short of capacity within the last two intervals.
func (r *clientResource) awaitsGrant(now time.Time, timing Timing) bool {
	if !r.shortSince.IsZero() && now.Sub(r.shortSince) < 2*timing.Interval {
		return true
	}
	_, holds := r.currentShare(now)
	return !holds && r.appliedProcess == "" && !r.idle() && now.Sub(r.ownerSince) < timing.ReportTimeout
}

// trackShortage records since when the node wants more than it may use.
// Shortages that come and go within the report timeout count as one.
func (r *clientResource) trackShortage(now time.Time, timing Timing) {
	share, _ := r.currentShare(now)
	short := !r.demand.Running.Add(r.demand.Waiting).Within(share.Amount)
	switch {
	case short && r.shortSince.IsZero():
		r.shortSince = now
	case !short && now.Sub(r.shortSince) > timing.ReportTimeout:
		r.shortSince = time.Time{}
	}
}

// usage returns what the node reports to an allocator's process.
func (r *clientResource) usage(now time.Time, name, allocator string) Usage {
	usage := Usage{
		Resource: name,
		Running:  r.demand.Running,
		Waiting:  r.demand.Waiting,
		Next:     r.demand.Next,
		Idle:     r.idle(),
	}
	if allocator != "" && r.appliedProcess == allocator && r.start.number == r.reportedStart {
		usage.Unchanged = true
		return usage
	}
	usage.Start = r.start.message(now)
	if now.Before(r.expires) {
		usage.Held = r.share
	}
	if now.Before(r.reserveExpires) {
		usage.Fallback = r.fallback
		usage.Standby = r.standby
	}
	return usage
}

func (r *clientResource) empty() bool {
	return r.demand == Demand{} && r.share == Amount{} && r.fallback == Amount{} && r.standby == Amount{}
}

// apply applies the grant that answers a report sent at sentAt.
func (r *clientResource) apply(now, sentAt time.Time, allocator string, grant Grant, timing Timing) {
	if max(grant.Start.Number, r.reportedStart) < r.start.number {
		return
	}
	r.appliedProcess, r.ownerGranted = allocator, true
	r.start.merge(now, grant.Start, timing.ReportTimeout)
	r.expires = sentAt.Add(grant.Lifetime)
	r.reserveExpires = sentAt.Add(timing.FallbackDuration)
	r.standbyFrom = now.Add(timing.lengthen(grant.StandbyIn))
	r.reportedStart = r.start.number
	if !grant.SameShare {
		r.shrunk = !r.share.Within(grant.Share)
		r.share = grant.Share
	}
	if !grant.SameReserve {
		r.fallback, r.standby = grant.Fallback, grant.Standby
	}
}

// currentShare returns the share in force, or false when there is none.
func (r *clientResource) currentShare(now time.Time) (Share, bool) {
	if now.Before(r.expires) && r.share != (Amount{}) {
		return Share{Amount: r.share, Expires: r.expires}, true
	}
	reserve := r.fallback
	standby := r.standbyUsable(now)
	if standby {
		reserve = reserve.Add(r.standby)
	}
	if now.Before(r.reserveExpires) && reserve != (Amount{}) {
		return Share{Amount: reserve, Expires: r.reserveExpires, Standby: standby}, true
	}
	return Share{}, false
}

// standbyUsable reports whether the standby share may be used: the lease has
// ended and no ramp that the node knows of is in progress.
func (r *clientResource) standbyUsable(now time.Time) bool {
	if r.standby == (Amount{}) || now.Before(r.standbyFrom) || now.Before(r.expires) {
		return false
	}
	return now.Sub(r.start.at) >= r.interest.Ramp.Duration
}
