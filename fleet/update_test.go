package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWatermarkNeedsAllEarlierChanges(t *testing.T) {
	is := is.New(t)
	replica := newTestReplica(t, "a")
	is.True(!replica.ApplyWatermark(UpstreamTable, Watermark{LastChange: 10, FreshAt: 5 * time.Second}, 0))
	is.Equal(replica.TableFreshAt(UpstreamTable), 5*time.Second)
	is.True(replica.ApplyWatermark(UpstreamTable, Watermark{LastChange: 11, FreshAt: 9 * time.Second}, 0)) // a change is missing here
	is.Equal(replica.TableFreshAt(UpstreamTable), 5*time.Second)
	is.True(!replica.ApplyWatermark(UpstreamTable, Watermark{LastChange: 3, FreshAt: time.Second}, 0))
	is.Equal(replica.TableFreshAt(UpstreamTable), 5*time.Second) // FreshAt does not go back
	is.True(!NewReplica().ApplyWatermark(UpstreamTable, Watermark{LastChange: 0, FreshAt: time.Second}, 0))
	is.True(replica.Apply(UpstreamTable, []Change{upstreamChange("b")}, 12, 15, 0, 0))
	is.Equal(replica.Watermarks()[UpstreamTable].LastChange, int64(12))
}

// Two nodes without contact to the store must not keep each other's tables fresh: each
// watermark's time is raised by the least delay of a datagram on its way.
func TestWatermarksLeaveOutThoseOfOtherNodes(t *testing.T) {
	is := is.New(t)
	const delay = 5 * time.Millisecond
	a, b := newTestReplica(t, "x"), newTestReplica(t, "x")
	for range 1000 {
		for _, pair := range [][2]*Replica{{a, b}, {b, a}} {
			for table, watermark := range pair[0].Watermarks() {
				watermark.FreshAt += delay
				pair[1].ApplyWatermark(Table(table), watermark, 0)
			}
		}
	}
	is.True(a.FreshAt() <= delay)
	is.True(b.FreshAt() <= delay)
}

func TestUpdateNeedsAllEarlierChanges(t *testing.T) {
	is := is.New(t)
	replica := newTestReplica(t, "a")
	is.Equal(replica.Revision(UpstreamTable), int64(10))
	update := Update{PreviousChange: 12, LastChange: 14, Revision: 20, Changes: []Change{upstreamChange("c")}, FreshAt: 6 * time.Second}
	is.True(!replica.ApplyUpdate(UpstreamTable, update, 6*time.Second)) // the change with version 12 is missing
	is.Equal(len(replica.View().Upstreams), 1)
	is.Equal(replica.TableFreshAt(UpstreamTable), time.Duration(0))

	first := Update{PreviousChange: 10, LastChange: 12, Revision: 13, Changes: []Change{upstreamChange("b")}, FreshAt: 5 * time.Second}
	is.True(replica.ApplyUpdate(UpstreamTable, first, 5*time.Second))
	is.True(replica.ApplyUpdate(UpstreamTable, update, 6*time.Second))
	is.Equal(len(replica.View().Upstreams), 3)
	is.Equal(replica.Revision(UpstreamTable), int64(20))
	is.Equal(replica.TableFreshAt(UpstreamTable), 6*time.Second)

	is.True(replica.ApplyUpdate(UpstreamTable, Update{PreviousChange: 10, LastChange: 12, Revision: 13, Changes: []Change{{Removed: "b"}}}, 7*time.Second))
	is.Equal(len(replica.View().Upstreams), 3) // older than the replica
	is.True(!NewReplica().ApplyUpdate(UpstreamTable, first, 5*time.Second))
	is.Equal(replica.Watermarks()[UpstreamTable].FreshAt, time.Duration(0)) // none of it came from the store itself
}

func TestWatermarkRaisesTheRevision(t *testing.T) {
	is := is.New(t)
	replica := newTestReplica(t, "a")
	is.True(!replica.ApplyWatermark(UpstreamTable, Watermark{LastChange: 9, Revision: 30, FreshAt: time.Second}, time.Second))
	is.Equal(replica.Revision(UpstreamTable), int64(30))
	is.True(replica.ApplyWatermark(UpstreamTable, Watermark{LastChange: 31, Revision: 40, FreshAt: 2 * time.Second}, 2*time.Second))
	is.Equal(replica.Revision(UpstreamTable), int64(30))
}

// A node that polls the store rarely may first see the end of an outage by a watermark or an
// update of another node. Entries that lapsed in the outage must be kept then too.
func TestGraceTimeBeginsWithContactThroughAnotherNode(t *testing.T) {
	removal := Update{PreviousChange: 10, LastChange: 11, Revision: 11, Changes: []Change{{Removed: "a"}}, FreshAt: 9 * time.Second}
	for name, first := range map[string]func(replica *Replica){
		"update that removes the entry": func(*Replica) {},
		"watermark before the update": func(replica *Replica) {
			replica.ApplyWatermark(UpstreamTable, Watermark{LastChange: 10, Revision: 10, FreshAt: 8 * time.Second}, 8*time.Second)
		},
		"update without changes before": func(replica *Replica) {
			replica.ApplyUpdate(UpstreamTable, Update{PreviousChange: 10, LastChange: 10, Revision: 10, FreshAt: 8 * time.Second}, 8*time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			replica := newTestReplica(t, "a")
			first(replica)
			is.True(replica.ApplyUpdate(UpstreamTable, removal, 9*time.Second))
			is.True(replica.View().Upstreams["a"].Missing())
			is.True(replica.RemoveExpired(9*time.Second + returnGrace))
			is.Equal(len(replica.View().Upstreams), 0)
		})
	}
}
