package placement

import (
	"time"
)

// LoadUpdate is an update that one node sends to the others about its requests at one upstream.
type LoadUpdate struct {
	Hash   uint32
	Totals Totals
	// AddedPrefillMs is the prefill time that was placed there since the last update, less what
	// was removed.
	AddedPrefillMs float64
	// SpeedFactor is how many times longer than its model the upstream reported to take, to this
	// node since the last update; 0 is no report.
	SpeedFactor float64
	// Unattributed is the number of requests that no node knows of; valid with SpeedFactor.
	Unattributed int
	// AvoidFor is how long the sender still avoids the upstream; 0 is not at all.
	AvoidFor time.Duration
}

// LoadUpdates returns updates for the upstreams whose totals changed since the last call, or,
// with all, also for those in use.
func (s *Scheduler) LoadUpdates(now time.Duration, all bool) []LoadUpdate {
	s.releaseUnusedClaims(now)
	var updates []LoadUpdate
	for _, l := range s.ordered {
		if _, changed := s.changed[l]; !changed && (!all || l.running+l.helperPrompts == 0) {
			continue
		}
		update := LoadUpdate{Hash: l.hash, Totals: Totals{Running: l.running, MemoryTokens: l.memoryTokens, HelperPrompts: l.helperPrompts}}
		update.AddedPrefillMs = l.unpublishedMs
		update.SpeedFactor, update.Unattributed = l.unpublishedSpeedFactor, l.unattributed
		l.unpublishedMs, l.unpublishedSpeedFactor = 0, 0
		if now < l.avoidUntil && l.avoidedByOwnAttempt && !s.unreached[l.entry.Service] {
			update.AvoidFor = l.avoidUntil - now
		}
		if l.leavingUnpublished || l.pausedUnpublished > now {
			// The others try the upstream last; what it asked binds this node only.
			update.AvoidFor = maxAvoidTime
			l.leavingUnpublished, l.pausedUnpublished = false, 0
		}
		updates = append(updates, update)
	}
	clear(s.changed)
	return updates
}

// HasLoadUpdates reports whether there are updates to send.
func (s *Scheduler) HasLoadUpdates() bool { return len(s.changed) > 0 }

// ApplyLoadUpdates applies another node's updates. If whole is true they cover all upstreams that
// the node uses.
func (s *Scheduler) ApplyLoadUpdates(now time.Duration, node string, updates []LoadUpdate, whole bool) {
	if whole {
		mentioned := make(map[uint32]bool, len(updates))
		for _, update := range updates {
			mentioned[update.Hash] = true
		}
		for _, l := range s.loads {
			if !mentioned[l.hash] {
				l.setNodeTotals(node, Totals{})
			}
		}
	}
	for _, update := range updates {
		l := s.byHash[update.Hash]
		if l == nil {
			continue
		}
		before := l.otherNodes.Running
		l.setNodeTotals(node, update.Totals)
		l.departed.add(now, max(0, before-l.otherNodes.Running))
		if update.AddedPrefillMs != 0 {
			l.addBacklog(now, update.AddedPrefillMs)
		}
		if update.SpeedFactor > 0 {
			l.speedFactor, l.reportedAt, l.unattributed = update.SpeedFactor, now, update.Unattributed
			l.avoidUntil, l.avoidFor = 0, 0
		}
		if update.AvoidFor > 0 && now >= l.avoidUntil {
			l.avoidUntil = now + min(update.AvoidFor, maxAvoidTime)
			l.avoidedByOwnAttempt = false
		}
	}
}

// RemoveNode removes the totals and the demand of a node that is gone.
func (s *Scheduler) RemoveNode(node string) {
	s.admission.Ledger().Remove(node)
	for _, l := range s.loads {
		l.setNodeTotals(node, Totals{})
	}
}

// Report is what an upstream reports about itself.
type Report struct {
	// SpeedFactor is how many times longer than its model it takes; 1 is on time.
	SpeedFactor float64
	// Queued and Active are the numbers of its requests.
	Queued, Active int
	// MemoryTokens is the memory that its requests hold.
	MemoryTokens int
	// StartedMs identifies the reporting incarnation; 0 is not stated.
	StartedMs int64
	// Leaving is true if the upstream said that it leaves.
	Leaving bool
	// Limit is the rate of requests that it takes from all nodes, if LimitValid.
	Limit      StatedLimit
	LimitValid bool
}

// maxReported bounds the requests that a report may state, so that their sum stays within the range of an int.
const maxReported = 1 << 20

// requests returns the number of requests that the report states.
func (r *Report) requests() int {
	return max(0, min(r.Queued, maxReported)) + max(0, min(r.Active, maxReported))
}

// ApplyReport applies a report that this node requested, or, with ok false, its failure.
func (s *Scheduler) ApplyReport(now time.Duration, id string, report Report, ok bool) {
	l := s.loads[id]
	if l == nil {
		return
	}
	s.changed[l] = struct{}{}
	if ok && report.LimitValid {
		s.RecordLimit(now, l.entry, report.Limit, true)
	}
	if !ok {
		l.avoid(now)
		return
	}
	if report.Leaving {
		s.MarkLeaving(now, id, report.StartedMs)
	}
	l.speedFactor, l.reportedAt, l.unpublishedSpeedFactor = max(1, report.SpeedFactor), now, max(1, report.SpeedFactor)
	l.unattributed = max(0, report.requests()-l.totalRunning()-l.departed.recent(now))
	l.avoidUntil, l.avoidFor = 0, 0
}
