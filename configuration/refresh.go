package configuration

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	pollInterval = time.Second
	// soloPollJitter spreads the reads of nodes that poll without being the region's
	// poller.
	soloPollJitter     = time.Second
	fetchRetryInterval = 200 * time.Millisecond
	fetchJitter        = 300 * time.Millisecond
	// maxFetchFailures is the number of failed fetches from peers after which the node
	// reads the store.
	maxFetchFailures = 3
	maxPeerVersions  = 8
	// PollerRole names the role that reads the site row for a region.
	PollerRole = "configuration-poller"
)

// RefreshState is the state by which a node decides whether it reads the store.
type RefreshState struct {
	// HasSite is true when a site is in force; Version is the version of that site.
	HasSite bool
	Version uint64
	// IsPoller is true when the node holds PollerRole in its own view. A second node that
	// holds it too costs one more read per second.
	IsPoller bool
	// Isolated is true when the node receives nothing from any other node.
	Isolated bool
	// Peers are the nodes to fetch from while no site is in force.
	Peers []netip.AddrPort
}

func (v RefreshState) readsStore(failures int) bool {
	return v.IsPoller || v.Isolated || !v.HasSite || failures >= maxFetchFailures
}

// peerVersion is the version that a peer reported to have in force.
type peerVersion struct {
	address netip.AddrPort
	version uint64
}

// RefreshPolicy decides when a node reads the site row and from which peer it fetches a
// newer site. It does no I/O and is not safe for concurrent use.
type RefreshPolicy struct {
	rand         *rand.Rand
	peerVersions []peerVersion
	failures     int
	nextFetch    time.Time
	nextPoll     time.Time
	polling      bool
}

// NewRefreshPolicy returns a RefreshPolicy that knows of no peer.
func NewRefreshPolicy(random *rand.Rand) *RefreshPolicy {
	return &RefreshPolicy{rand: random}
}

// RecordPeerVersion records the version that a peer has in force.
func (s *RefreshPolicy) RecordPeerVersion(from netip.AddrPort, version uint64) {
	for i := range s.peerVersions {
		if s.peerVersions[i].address == from {
			s.peerVersions[i].version = max(s.peerVersions[i].version, version)
			return
		}
	}
	s.peerVersions = append(s.peerVersions, peerVersion{address: from, version: version})
	if len(s.peerVersions) > maxPeerVersions {
		oldest := slices.MinFunc(s.peerVersions, func(a, b peerVersion) int {
			if a.version < b.version {
				return -1
			}
			return 1
		})
		s.peerVersions = slices.DeleteFunc(s.peerVersions, func(p peerVersion) bool { return p == oldest })
	}
}

// ShouldPoll reports whether to read the store now. A true result counts as a read.
func (s *RefreshPolicy) ShouldPoll(now time.Time, view RefreshState) bool {
	wanted := view.readsStore(s.failures)
	started := wanted && !s.polling
	s.polling = wanted
	if !wanted {
		return false
	}
	if started && !view.IsPoller {
		s.nextPoll = now.Add(s.jitter(soloPollJitter))
	}
	if now.Before(s.nextPoll) {
		return false
	}
	s.nextPoll = now.Add(pollInterval)
	if !view.IsPoller {
		s.nextPoll = s.nextPoll.Add(s.jitter(soloPollJitter))
	}
	return true
}

// NextFetch returns the peer to fetch the site from now, if any.
func (s *RefreshPolicy) NextFetch(now time.Time, view RefreshState) (netip.AddrPort, bool) {
	s.peerVersions = slices.DeleteFunc(s.peerVersions, func(p peerVersion) bool { return view.HasSite && p.version <= view.Version })
	if now.Before(s.nextFetch) {
		return netip.AddrPort{}, false
	}
	candidates := s.newestPeers()
	if len(candidates) == 0 && !view.HasSite {
		candidates = view.Peers
	}
	if len(candidates) == 0 {
		return netip.AddrPort{}, false
	}
	s.nextFetch = now.Add(fetchRetryInterval + s.jitter(fetchJitter))
	return candidates[s.rand.IntN(len(candidates))], true
}

func (s *RefreshPolicy) newestPeers() []netip.AddrPort {
	var found []netip.AddrPort
	newestVersion := uint64(0)
	for _, p := range s.peerVersions {
		if p.version > newestVersion {
			newestVersion, found = p.version, nil
		}
		if p.version == newestVersion {
			found = append(found, p.address)
		}
	}
	return found
}

// FetchFailed drops a peer that did not answer or had nothing newer. The peer's next
// datagram adds it again.
func (s *RefreshPolicy) FetchFailed(from netip.AddrPort) {
	s.failures++
	s.peerVersions = slices.DeleteFunc(s.peerVersions, func(p peerVersion) bool { return p.address == from })
}

// Adopted resets the failures and the wait between fetches after the node adopted a
// newer site.
func (s *RefreshPolicy) Adopted() {
	s.failures = 0
	s.nextFetch = time.Time{}
}

func (s *RefreshPolicy) jitter(limit time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(limit)))
}
