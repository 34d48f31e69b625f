package placement

import (
	"time"
)

// Share is an update that one node sends to the others about its requests at one upstream.
type Share struct {
	Hash   uint32
	Totals Totals
	// AddedMs is the prefill time that was placed there since the last update, less what
	// was removed.
	AddedMs float64
	// Pace is how many times longer than its model the upstream reported to take, to this
	// node since the last update; 0 is no report.
	Pace float64
	// Unknown is the number of requests that no node knows of; valid with Pace.
	Unknown int
	// AvoidFor is how long the sender still avoids the upstream; 0 is not at all.
	AvoidFor time.Duration
}

// Shares returns updates for the upstreams whose totals changed since the last call, or,
// with all, also for those in use.
func (s *Scheduler) Shares(now time.Duration, all bool) []Share {
	var shares []Share
	for _, l := range s.loads {
		if _, changed := s.changed[l]; !changed && (!all || l.running+l.helperPrompts == 0) {
			continue
		}
		share := Share{Hash: l.hash, Totals: Totals{Running: l.running, Memory: l.memoryTokens, Helping: l.helperPrompts}}
		share.AddedMs = l.unpublishedMs
		share.Pace, share.Unknown = l.unpublishedSpeedFactor, l.unattributed
		l.unpublishedMs, l.unpublishedSpeedFactor = 0, 0
		if now < l.avoidUntil && l.avoidedByOwnAttempt {
			share.AvoidFor = l.avoidUntil - now
		}
		shares = append(shares, share)
	}
	clear(s.changed)
	return shares
}

// Changed reports whether there are updates to send.
func (s *Scheduler) Changed() bool { return len(s.changed) > 0 }

// Told applies another node's updates. If whole is true they cover all upstreams that
// the node uses.
func (s *Scheduler) Told(now time.Duration, node string, shares []Share, whole bool) {
	if whole {
		mentioned := make(map[uint32]bool, len(shares))
		for _, share := range shares {
			mentioned[share.Hash] = true
		}
		for _, l := range s.loads {
			if !mentioned[l.hash] {
				l.setNodeTotals(node, Totals{})
			}
		}
	}
	for _, share := range shares {
		l := s.byHash[share.Hash]
		if l == nil {
			continue
		}
		l.setNodeTotals(node, share.Totals)
		if share.AddedMs != 0 {
			l.addBacklog(now, share.AddedMs)
		}
		if share.Pace > 0 {
			l.speedFactor, l.reportedAt, l.unattributed = share.Pace, now, share.Unknown
			l.avoidUntil, l.avoidFor = 0, 0
		}
		if share.AvoidFor > 0 && now >= l.avoidUntil {
			l.avoidUntil = now + min(share.AvoidFor, maxAvoidTime)
			l.avoidedByOwnAttempt = false
		}
	}
}

// Forget removes the totals of a node that is gone.
func (s *Scheduler) Forget(node string) {
	for _, l := range s.loads {
		l.setNodeTotals(node, Totals{})
	}
}

// Report is what an upstream reports about itself.
type Report struct {
	// Pace is how many times longer than its model it takes; 1 is on time.
	Pace float64
	// Queued and Active are the numbers of its requests.
	Queued, Active int
	// MemoryTokens is the memory that its requests hold.
	MemoryTokens int
	// StartedMs identifies the reporting incarnation; 0 is not stated.
	StartedMs int64
}

// Reported applies a report that this node requested, or, with ok false, its failure.
func (s *Scheduler) Reported(now time.Duration, id string, report Report, ok bool) {
	l := s.loads[id]
	if l == nil {
		return
	}
	s.changed[l] = struct{}{}
	if !ok {
		l.avoid(now)
		return
	}
	l.speedFactor, l.reportedAt, l.unpublishedSpeedFactor = max(1, report.Pace), now, max(1, report.Pace)
	l.unattributed = max(0, report.Queued+report.Active-l.totalRunning())
	l.avoidUntil, l.avoidFor = 0, 0
}
