package configuration

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSpreadFallsBackToTheStore(t *testing.T) {
	is := is.New(t)
	spread := NewSpread(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	view := SpreadView{HasSite: true, Version: 3}
	holder := netip.MustParseAddrPort("10.0.0.1:7000")
	is.True(!spread.NextPoll(now, view)) // no poller, not isolated
	for range fetchesBeforeStore {
		spread.Offer(holder, 4)
		now = now.Add(time.Second)
		from, due := spread.NextFetch(now, view)
		is.True(due)
		is.Equal(from, holder)
		spread.FetchFailed(from)
	}
	spread.NextPoll(now, view)
	is.True(spread.NextPoll(now.Add(lonePollJitter), view))
	spread.Adopted()
	is.True(!spread.NextPoll(now.Add(time.Minute), view)) // peers again
}

func TestSpreadDoesNotAskForWhatIsNotNewer(t *testing.T) {
	is := is.New(t)
	spread := NewSpread(rand.New(rand.NewPCG(1, 1)))
	spread.Offer(netip.MustParseAddrPort("10.0.0.1:7000"), 3)
	_, due := spread.NextFetch(time.Unix(0, 0), SpreadView{HasSite: true, Version: 3})
	is.True(!due)
}
