package configuration

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	pollInterval = time.Second
	// lonePollJitter spreads the reads of nodes that poll for themselves alone.
	lonePollJitter = time.Second
	fetchRetry     = 200 * time.Millisecond
	fetchJitter    = 300 * time.Millisecond
	// fetchesBeforeStore is how often peers are tried before the store is.
	fetchesBeforeStore = 3
	maxHolders         = 8
	// PollerRole names the role that reads the site row for a region.
	PollerRole = "configuration-poller"
)

// SpreadView is what decides whether a node reads the store.
type SpreadView struct {
	// HasSite is whether a site is in force, and Version which.
	HasSite bool
	Version uint64
	// Poller is whether the node holds PollerRole as far as it knows. That two
	// nodes hold it costs one more read a second.
	Poller bool
	// Isolated is whether the node hears no other.
	Isolated bool
	// Peers are the nodes to ask while no site is in force.
	Peers []netip.AddrPort
}

func (v SpreadView) needsStore(failures int) bool {
	return v.Poller || v.Isolated || !v.HasSite || failures >= fetchesBeforeStore
}

// holder is a peer that said it has a version in force.
type holder struct {
	address netip.AddrPort
	version uint64
}

// Spread decides when a node reads the site row and which peer it asks for a
// newer site. It does no I/O and is not safe for concurrent use.
type Spread struct {
	rand      *rand.Rand
	holders   []holder
	failures  int
	nextFetch time.Time
	nextPoll  time.Time
	polling   bool
}

// NewSpread returns a spread that knows of no peer.
func NewSpread(random *rand.Rand) *Spread {
	return &Spread{rand: random}
}

// Offer notes that a peer has a version in force.
func (s *Spread) Offer(from netip.AddrPort, version uint64) {
	for i := range s.holders {
		if s.holders[i].address == from {
			s.holders[i].version = max(s.holders[i].version, version)
			return
		}
	}
	s.holders = append(s.holders, holder{address: from, version: version})
	if len(s.holders) > maxHolders {
		oldest := slices.MinFunc(s.holders, func(a, b holder) int {
			if a.version < b.version {
				return -1
			}
			return 1
		})
		s.holders = slices.DeleteFunc(s.holders, func(h holder) bool { return h == oldest })
	}
}

// NextPoll reports whether to read the store now; a true answer counts as read.
func (s *Spread) NextPoll(now time.Time, view SpreadView) bool {
	wanted := view.needsStore(s.failures)
	started := wanted && !s.polling
	s.polling = wanted
	if !wanted {
		return false
	}
	if started && !view.Poller {
		s.nextPoll = now.Add(s.jitter(lonePollJitter))
	}
	if now.Before(s.nextPoll) {
		return false
	}
	s.nextPoll = now.Add(pollInterval)
	if !view.Poller {
		s.nextPoll = s.nextPoll.Add(s.jitter(lonePollJitter))
	}
	return true
}

// NextFetch returns the peer to ask for its site now, if any.
func (s *Spread) NextFetch(now time.Time, view SpreadView) (netip.AddrPort, bool) {
	s.holders = slices.DeleteFunc(s.holders, func(h holder) bool { return view.HasSite && h.version <= view.Version })
	if now.Before(s.nextFetch) {
		return netip.AddrPort{}, false
	}
	among := s.newest()
	if len(among) == 0 && !view.HasSite {
		among = view.Peers
	}
	if len(among) == 0 {
		return netip.AddrPort{}, false
	}
	s.nextFetch = now.Add(fetchRetry + s.jitter(fetchJitter))
	return among[s.rand.IntN(len(among))], true
}

func (s *Spread) newest() []netip.AddrPort {
	var found []netip.AddrPort
	best := uint64(0)
	for _, h := range s.holders {
		if h.version > best {
			best, found = h.version, nil
		}
		if h.version == best {
			found = append(found, h.address)
		}
	}
	return found
}

// FetchFailed drops a peer that did not answer or had nothing newer. It is
// heard of again by its next datagram.
func (s *Spread) FetchFailed(from netip.AddrPort) {
	s.failures++
	s.holders = slices.DeleteFunc(s.holders, func(h holder) bool { return h.address == from })
}

// Adopted ends the search that led to a newer site.
func (s *Spread) Adopted() {
	s.failures = 0
	s.nextFetch = time.Time{}
}

func (s *Spread) jitter(most time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(most)))
}
