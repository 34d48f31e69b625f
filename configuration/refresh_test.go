package configuration

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRefreshFallsBackToStore(t *testing.T) {
	is := is.New(t)
	spread := NewRefreshPolicy(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	view := RefreshState{HasSite: true, Version: 3}
	peer := netip.MustParseAddrPort("10.0.0.1:7000")
	is.True(!spread.ShouldPoll(now, view)) // neither poller nor isolated
	for range maxFetchFailures {
		spread.RecordPeerVersion(peer, 4)
		now = now.Add(time.Second)
		from, due := spread.NextFetch(now, view)
		is.True(due)
		is.Equal(from, peer)
		spread.FetchFailed(from)
	}
	spread.ShouldPoll(now, view)
	is.True(spread.ShouldPoll(now.Add(soloPollJitter), view))
	spread.Adopted()
	is.True(!spread.ShouldPoll(now.Add(time.Minute), view)) // fetches from peers again
}

func TestRefreshSkipsPeersWithoutNewerSite(t *testing.T) {
	is := is.New(t)
	spread := NewRefreshPolicy(rand.New(rand.NewPCG(1, 1)))
	spread.RecordPeerVersion(netip.MustParseAddrPort("10.0.0.1:7000"), 3)
	_, due := spread.NextFetch(time.Unix(0, 0), RefreshState{HasSite: true, Version: 3})
	is.True(!due)
}
