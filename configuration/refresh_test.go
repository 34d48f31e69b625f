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
	spread := NewSpread(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	view := SpreadView{HasSite: true, Version: 3}
	peer := netip.MustParseAddrPort("10.0.0.1:7000")
	is.True(!spread.NextPoll(now, view)) // neither poller nor isolated
	for range maxFetchFailures {
		spread.Offer(peer, 4)
		now = now.Add(time.Second)
		from, due := spread.NextFetch(now, view)
		is.True(due)
		is.Equal(from, peer)
		spread.FetchFailed(from)
	}
	spread.NextPoll(now, view)
	is.True(spread.NextPoll(now.Add(soloPollJitter), view))
	spread.Adopted()
	is.True(!spread.NextPoll(now.Add(time.Minute), view)) // fetches from peers again
}

func TestRefreshSkipsPeersWithoutNewerSite(t *testing.T) {
	is := is.New(t)
	spread := NewSpread(rand.New(rand.NewPCG(1, 1)))
	spread.Offer(netip.MustParseAddrPort("10.0.0.1:7000"), 3)
	_, due := spread.NextFetch(time.Unix(0, 0), SpreadView{HasSite: true, Version: 3})
	is.True(!due)
}
