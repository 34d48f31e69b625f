package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAnotherNodesClaimCountsOnlyWithoutAGap(t *testing.T) {
	is := is.New(t)
	book := bookWith(t, "a")
	is.True(!book.ApplyWatermark(UpstreamTable, Watermark{LastChange: 10, FreshAt: 5 * time.Second}, 0))
	is.Equal(book.TableFreshAt(UpstreamTable), 5*time.Second)
	is.True(book.ApplyWatermark(UpstreamTable, Watermark{LastChange: 11, FreshAt: 9 * time.Second}, 0)) // a change is missing here
	is.Equal(book.TableFreshAt(UpstreamTable), 5*time.Second)
	is.True(!book.ApplyWatermark(UpstreamTable, Watermark{LastChange: 3, FreshAt: time.Second}, 0))
	is.Equal(book.TableFreshAt(UpstreamTable), 5*time.Second) // nothing grows older
	is.True(!NewReplica().ApplyWatermark(UpstreamTable, Watermark{LastChange: 0, FreshAt: time.Second}, 0))
	is.True(book.Apply(UpstreamTable, []Change{entry("b")}, 12, 15, 0, 0))
	is.Equal(book.Watermarks()[UpstreamTable].LastChange, int64(12))
}

// Two nodes that the store does not answer must not keep each other fresh: each
// word on the way adds the least delay of a datagram to the time it names.
func TestWhatANodeWasToldIsNotItsOwnClaim(t *testing.T) {
	is := is.New(t)
	const delay = 5 * time.Millisecond
	a, b := bookWith(t, "x"), bookWith(t, "x")
	for range 1000 {
		for _, pair := range [][2]*Replica{{a, b}, {b, a}} {
			for kind, claim := range pair[0].Watermarks() {
				claim.FreshAt += delay
				pair[1].ApplyWatermark(Table(kind), claim, 0)
			}
		}
	}
	is.True(a.FreshAt() <= delay)
	is.True(b.FreshAt() <= delay)
}

func TestNewsAreTakenOnlyWithoutAGap(t *testing.T) {
	is := is.New(t)
	book := bookWith(t, "a")
	is.Equal(book.Revision(UpstreamTable), int64(10))
	news := Update{PreviousChange: 12, LastChange: 14, Revision: 20, Changes: []Change{entry("c")}, FreshAt: 6 * time.Second}
	is.True(!book.ApplyUpdate(UpstreamTable, news, 6*time.Second)) // what came at 12 is missing
	is.Equal(len(book.View().Upstreams), 1)
	is.Equal(book.TableFreshAt(UpstreamTable), time.Duration(0))

	first := Update{PreviousChange: 10, LastChange: 12, Revision: 13, Changes: []Change{entry("b")}, FreshAt: 5 * time.Second}
	is.True(book.ApplyUpdate(UpstreamTable, first, 5*time.Second))
	is.True(book.ApplyUpdate(UpstreamTable, news, 6*time.Second))
	is.Equal(len(book.View().Upstreams), 3)
	is.Equal(book.Revision(UpstreamTable), int64(20))
	is.Equal(book.TableFreshAt(UpstreamTable), 6*time.Second)

	is.True(book.ApplyUpdate(UpstreamTable, Update{PreviousChange: 10, LastChange: 12, Revision: 13, Changes: []Change{{Removed: "b"}}}, 7*time.Second))
	is.Equal(len(book.View().Upstreams), 3) // older than what is known
	is.True(!NewReplica().ApplyUpdate(UpstreamTable, first, 5*time.Second))
	is.Equal(book.Watermarks()[UpstreamTable].FreshAt, time.Duration(0)) // it was told all of it
}

func TestAClaimBringsTheStoresVersion(t *testing.T) {
	is := is.New(t)
	book := bookWith(t, "a")
	is.True(!book.ApplyWatermark(UpstreamTable, Watermark{LastChange: 9, Revision: 30, FreshAt: time.Second}, time.Second))
	is.Equal(book.Revision(UpstreamTable), int64(30))
	is.True(book.ApplyWatermark(UpstreamTable, Watermark{LastChange: 31, Revision: 40, FreshAt: 2 * time.Second}, 2*time.Second))
	is.Equal(book.Revision(UpstreamTable), int64(30))
}

// A node that asks the store itself seldom hears of an outage's end from others.
func TestEntriesThatLapsedMayReturnWhereOthersTellOfIt(t *testing.T) {
	gone := Update{PreviousChange: 10, LastChange: 11, Revision: 11, Changes: []Change{{Removed: "a"}}, FreshAt: 9 * time.Second}
	for name, first := range map[string]func(book *Replica){
		"by the news": func(*Replica) {},
		"by a claim": func(book *Replica) {
			book.ApplyWatermark(UpstreamTable, Watermark{LastChange: 10, Revision: 10, FreshAt: 8 * time.Second}, 8*time.Second)
		},
		"by other's news": func(book *Replica) {
			book.ApplyUpdate(UpstreamTable, Update{PreviousChange: 10, LastChange: 10, Revision: 10, FreshAt: 8 * time.Second}, 8*time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			book := bookWith(t, "a")
			first(book)
			is.True(book.ApplyUpdate(UpstreamTable, gone, 9*time.Second))
			is.True(book.View().Upstreams["a"].Missing())
			is.True(book.RemoveExpired(9*time.Second + lapseGrace))
			is.Equal(len(book.View().Upstreams), 0)
		})
	}
}
