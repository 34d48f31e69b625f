package placement

import (
	"time"
)

// Share is what one node tells the others of its requests at one upstream.
type Share struct {
	Hash   uint32
	Totals Totals
	// AddedMs is the reading that was placed there since the last share, less what
	// was taken back.
	AddedMs float64
	// Pace is how many times longer than its model the upstream reported to take,
	// to this node since the last share; 0 is no report.
	Pace float64
	// Unknown is the number of requests that no node knows of, with Pace.
	Unknown int
	// AvoidFor is how long the teller avoids the upstream; 0 is not at all.
	AvoidFor time.Duration
}

// Shares returns the upstreams whose totals changed since the last call, or all
// that are in use.
func (s *Scheduler) Shares(now time.Duration, all bool) []Share {
	var shares []Share
	for _, l := range s.loads {
		if _, changed := s.changed[l]; !changed && (!all || l.running+l.helping == 0) {
			continue
		}
		share := Share{Hash: l.hash, Totals: Totals{Running: l.running, Memory: l.memory, Helping: l.helping}}
		share.AddedMs = l.toldMs
		share.Pace, share.Unknown = l.toldPace, l.unknown
		l.toldMs, l.toldPace = 0, 0
		if now < l.avoidUntil && l.ownAvoid {
			share.AvoidFor = l.avoidUntil - now
		}
		shares = append(shares, share)
	}
	clear(s.changed)
	return shares
}

// Changed reports whether there is something to tell.
func (s *Scheduler) Changed() bool { return len(s.changed) > 0 }

// Told takes another node's shares. Where whole is true they are all that the
// node has.
func (s *Scheduler) Told(now time.Duration, node string, shares []Share, whole bool) {
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
		if share.AddedMs != 0 {
			l.addBacklog(now, share.AddedMs)
		}
		if share.Pace > 0 {
			l.pace, l.paceAt, l.unknown = share.Pace, now, share.Unknown
			l.avoidUntil, l.avoidFor = 0, 0
		}
		if share.AvoidFor > 0 && now >= l.avoidUntil {
			l.avoidUntil = now + min(share.AvoidFor, lastAvoid)
			l.ownAvoid = false
		}
	}
}

// Forget drops what a node that is gone had told.
func (s *Scheduler) Forget(node string) {
	for _, l := range s.loads {
		l.tell(node, Totals{})
	}
}

// Report is an upstream's word on itself.
type Report struct {
	// Pace is how many times longer than its model it takes; 1 is on time.
	Pace float64
	// Queued and Active are its requests.
	Queued, Active int
	// MemoryTokens is the memory that its requests hold.
	MemoryTokens int
	// StartedMs names the incarnation that reports; 0 is unsaid.
	StartedMs int64
}

// Reported takes a report, or its failure, that this node asked for.
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
	l.pace, l.paceAt, l.toldPace = max(1, report.Pace), now, max(1, report.Pace)
	l.unknown = max(0, report.Queued+report.Active-l.totalRunning())
	l.avoidUntil, l.avoidFor = 0, 0
}
