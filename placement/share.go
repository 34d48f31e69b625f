package placement

import (
	"time"
)

// LoadUpdate is what one node tells the others of its requests at one upstream.
type LoadUpdate struct {
	Hash   uint32
	Totals Totals
	// AddedPrefillMs is the reading that was placed there since the last share, less what
	// was taken back.
	AddedPrefillMs float64
	// SpeedFactor is how many times longer than its model the upstream reported to take,
	// to this node since the last share; 0 is no report.
	SpeedFactor float64
	// Unattributed is the number of requests that no node knows of, with Pace.
	Unattributed int
	// AvoidFor is how long the teller avoids the upstream; 0 is not at all.
	AvoidFor time.Duration
}

// LoadUpdates returns the upstreams whose totals changed since the last call, or all
// that are in use.
func (s *Scheduler) LoadUpdates(now time.Duration, all bool) []LoadUpdate {
	var shares []LoadUpdate
	for _, l := range s.loads {
		if _, changed := s.changed[l]; !changed && (!all || l.running+l.helping == 0) {
			continue
		}
		share := LoadUpdate{Hash: l.hash, Totals: Totals{Running: l.running, MemoryTokens: l.memory, HelperPrompts: l.helping}}
		share.AddedPrefillMs = l.toldMs
		share.SpeedFactor, share.Unattributed = l.toldPace, l.unknown
		l.toldMs, l.toldPace = 0, 0
		if now < l.avoidUntil && l.ownAvoid {
			share.AvoidFor = l.avoidUntil - now
		}
		shares = append(shares, share)
	}
	clear(s.changed)
	return shares
}

// HasLoadUpdates reports whether there is something to tell.
func (s *Scheduler) HasLoadUpdates() bool { return len(s.changed) > 0 }

// ApplyLoadUpdates takes another node's shares. Where whole is true they are all that the
// node has.
func (s *Scheduler) ApplyLoadUpdates(now time.Duration, node string, shares []LoadUpdate, whole bool) {
	if whole {
		mentioned := make(map[uint32]bool, len(shares))
		for _, share := range shares {
			mentioned[share.Hash] = true
		}
		for _, l := range s.loads {
			if !mentioned[l.hash] {
				l.tell(node, Totals{})
			}
		}
	}
	for _, share := range shares {
		l := s.byHash[share.Hash]
		if l == nil {
			continue
		}
		l.tell(node, share.Totals)
		if share.AddedPrefillMs != 0 {
			l.addBacklog(now, share.AddedPrefillMs)
		}
		if share.SpeedFactor > 0 {
			l.pace, l.paceAt, l.unknown = share.SpeedFactor, now, share.Unattributed
			l.avoidUntil, l.avoidFor = 0, 0
		}
		if share.AvoidFor > 0 && now >= l.avoidUntil {
			l.avoidUntil = now + min(share.AvoidFor, lastAvoid)
			l.ownAvoid = false
		}
	}
}

// RemoveNode drops what a node that is gone had told.
func (s *Scheduler) RemoveNode(node string) {
	for _, l := range s.loads {
		l.tell(node, Totals{})
	}
}

// Report is an upstream's word on itself.
type Report struct {
	// SpeedFactor is how many times longer than its model it takes; 1 is on time.
	SpeedFactor float64
	// Queued and Active are its requests.
	Queued, Active int
	// MemoryTokens is the memory that its requests hold.
	MemoryTokens int
	// StartedMs names the incarnation that reports; 0 is unsaid.
	StartedMs int64
}

// ApplyReport takes a report, or its failure, that this node asked for.
func (s *Scheduler) ApplyReport(now time.Duration, id string, report Report, ok bool) {
	l := s.loads[id]
	if l == nil {
		return
	}
	s.changed[l] = struct{}{}
	if !ok {
		l.avoid(now)
		return
	}
	l.pace, l.paceAt, l.toldPace = max(1, report.SpeedFactor), now, max(1, report.SpeedFactor)
	l.unknown = max(0, report.Queued+report.Active-l.totalRunning())
	l.avoidUntil, l.avoidFor = 0, 0
}
