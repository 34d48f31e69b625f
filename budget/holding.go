package budget

import "time"

// confirmDivisor sets how soon a smaller share is confirmed, and a first or larger
// one asked for again, in parts of an interval.
const confirmDivisor = 5

// holding is what one node holds of a resource.
type holding struct {
	interest Interest
	demand   Demand
	share    Amount
	expires  time.Time
	// fallback may be used when share has expired.
	fallback    Amount
	fallbackEnd time.Time
	// standby may be used besides fallback from standbyFrom until fallbackEnd.
	standby     Amount
	standbyFrom time.Time
	start       start
	// shortSince is since when the node wants more than it may use, or zero.
	shortSince time.Time
	// moved is when keeper became the owner.
	moved time.Time
	// accepted is true when a grant of that owner was applied.
	accepted bool
	// keeper, reported and sequence are of the latest report.
	keeper   string
	reported time.Time
	sequence uint64
	// reportedStart is the number of the start known at the latest report.
	reportedStart uint64
	// applied is the keeper's process whose answer to the latest report was
	// applied, or empty.
	applied string
	// quiet is true when the latest report showed neither use nor want.
	quiet bool
	// shrunk is true when the latest answer took from the share. Others get what
	// was taken once a report shows it.
	shrunk bool
}

// settleTime is how long after a change of keeper every node reports often at the
// most, so that the new one hears of all once it has taken the lease over.
func settleTime(timing Timing) time.Duration {
	return timing.Lease + 2*timing.Silence
}

func (h *holding) idle() bool {
	return !h.interest.Local && h.demand == Demand{}
}

// dormant reports whether nothing need be reported.
func (h *holding) dormant(now time.Time) bool {
	_, holds := h.current(now)
	return h.interest.OnDemand && h.idle() && !holds
}

// interval is the time from the latest report to the next.
func (h *holding) interval(now time.Time, timing Timing) time.Duration {
	_, holds := h.current(now)
	settled := h.accepted || now.Sub(h.moved) > settleTime(timing)
	if settled && h.idle() && h.quiet && !holds {
		return timing.IdleInterval
	}
	if h.shrunk || h.asks(now, timing) {
		return timing.Interval / confirmDivisor
	}
	return timing.Interval
}

// asks reports whether the node waits for a first grant of a keeper that is new to
// it, or has come to be short a moment ago.
func (h *holding) asks(now time.Time, timing Timing) bool {
	if !h.shortSince.IsZero() && now.Sub(h.shortSince) < 2*timing.Interval {
		return true
	}
	_, holds := h.current(now)
	return !holds && h.applied == "" && !h.idle() && now.Sub(h.moved) < timing.Silence
}

// see notes since when the node wants more than it may use. It counts as one time
// of want when that comes and goes.
func (h *holding) see(now time.Time, timing Timing) {
	share, _ := h.current(now)
	short := !h.demand.Running.Add(h.demand.Waiting).Within(share.Amount)
	switch {
	case short && h.shortSince.IsZero():
		h.shortSince = now
	case !short && now.Sub(h.shortSince) > timing.Silence:
		h.shortSince = time.Time{}
	}
}

// usage is what the node reports to a keeper's process.
func (h *holding) usage(now time.Time, name, keeper string) Usage {
	usage := Usage{
		Resource: name,
		Running:  h.demand.Running,
		Waiting:  h.demand.Waiting,
		Next:     h.demand.Next,
		Idle:     h.idle(),
	}
	if keeper != "" && h.applied == keeper && h.start.number == h.reportedStart {
		usage.Unchanged = true
		return usage
	}
	usage.Start = h.start.tell(now)
	if now.Before(h.expires) {
		usage.Held = h.share
	}
	if now.Before(h.fallbackEnd) {
		usage.Fallback = h.fallback
		usage.Standby = h.standby
	}
	return usage
}

func (h *holding) empty() bool {
	return h.demand == Demand{} && h.share == Amount{} && h.fallback == Amount{} && h.standby == Amount{}
}

// apply takes in the grant that answers a report sent at sentAt.
func (h *holding) apply(now, sentAt time.Time, keeper string, grant Grant, timing Timing) {
	if max(grant.Start.Number, h.reportedStart) < h.start.number {
		return
	}
	h.applied, h.accepted = keeper, true
	h.start.learn(now, grant.Start, timing.Silence)
	h.expires = sentAt.Add(grant.Lifetime)
	h.fallbackEnd = sentAt.Add(timing.Fallback)
	h.standbyFrom = now.Add(timing.lengthen(grant.StandbyIn))
	h.reportedStart = h.start.number
	if !grant.SameShare {
		h.shrunk = !h.share.Within(grant.Share)
		h.share = grant.Share
	}
	if !grant.SameAside {
		h.fallback, h.standby = grant.Fallback, grant.Standby
	}
}

// current returns the share in force, or false when there is none.
func (h *holding) current(now time.Time) (Share, bool) {
	if now.Before(h.expires) && h.share != (Amount{}) {
		return Share{Amount: h.share, Expires: h.expires}, true
	}
	aside := h.fallback
	standby := h.onStandby(now)
	if standby {
		aside = aside.Add(h.standby)
	}
	if now.Before(h.fallbackEnd) && aside != (Amount{}) {
		return Share{Amount: aside, Expires: h.fallbackEnd, Standby: standby}, true
	}
	return Share{}, false
}

// onStandby reports whether the standby share may be used: the lease has ended
// and the resource is in no start that the node knows of.
func (h *holding) onStandby(now time.Time) bool {
	if h.standby == (Amount{}) || now.Before(h.standbyFrom) || now.Before(h.expires) {
		return false
	}
	return now.Sub(h.start.at) >= h.interest.Ramp.Duration
}
