package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWatermarkNeedsAllEarlierChanges(t *testing.T) {
	is := is.New(t)
	replica := newTestReplica(t, "a")
	is.True(!replica.Confirm(Upstreams, Claim{Changed: 10, FreshAt: 5 * time.Second}, 0))
	is.Equal(replica.TableFreshAt(Upstreams), 5*time.Second)
	is.True(replica.Confirm(Upstreams, Claim{Changed: 11, FreshAt: 9 * time.Second}, 0)) // a change is missing here
	is.Equal(replica.TableFreshAt(Upstreams), 5*time.Second)
	is.True(!replica.Confirm(Upstreams, Claim{Changed: 3, FreshAt: time.Second}, 0))
	is.Equal(replica.TableFreshAt(Upstreams), 5*time.Second) // FreshAt does not go back
	is.True(!NewBook().Confirm(Upstreams, Claim{Changed: 0, FreshAt: time.Second}, 0))
	is.True(replica.Apply(Upstreams, []Change{upstreamChange("b")}, 12, 15, 0, 0))
	is.Equal(replica.Claims()[Upstreams].Changed, int64(12))
}

// Two nodes without contact to the store must not keep each other's tables fresh: each
// claim's time is raised by the least delay of a datagram on its way.
func TestWatermarksLeaveOutThoseOfOtherNodes(t *testing.T) {
	is := is.New(t)
	const delay = 5 * time.Millisecond
	a, b := newTestReplica(t, "x"), newTestReplica(t, "x")
	for range 1000 {
		for _, pair := range [][2]*Book{{a, b}, {b, a}} {
			for kind, claim := range pair[0].Claims() {
				claim.FreshAt += delay
				pair[1].Confirm(Kind(kind), claim, 0)
			}
		}
	}
	is.True(a.FreshAt() <= delay)
	is.True(b.FreshAt() <= delay)
}

func TestUpdateNeedsAllEarlierChanges(t *testing.T) {
	is := is.New(t)
	replica := newTestReplica(t, "a")
	is.Equal(replica.Revision(Upstreams), int64(10))
	update := News{Before: 12, Last: 14, Revision: 20, Changes: []Change{upstreamChange("c")}, FreshAt: 6 * time.Second}
	is.True(!replica.Learn(Upstreams, update, 6*time.Second)) // the change with version 12 is missing
	is.Equal(len(replica.View().Upstreams), 1)
	is.Equal(replica.TableFreshAt(Upstreams), time.Duration(0))

	first := News{Before: 10, Last: 12, Revision: 13, Changes: []Change{upstreamChange("b")}, FreshAt: 5 * time.Second}
	is.True(replica.Learn(Upstreams, first, 5*time.Second))
	is.True(replica.Learn(Upstreams, update, 6*time.Second))
	is.Equal(len(replica.View().Upstreams), 3)
	is.Equal(replica.Revision(Upstreams), int64(20))
	is.Equal(replica.TableFreshAt(Upstreams), 6*time.Second)

	is.True(replica.Learn(Upstreams, News{Before: 10, Last: 12, Revision: 13, Changes: []Change{{Gone: "b"}}}, 7*time.Second))
	is.Equal(len(replica.View().Upstreams), 3) // older than the replica
	is.True(!NewBook().Learn(Upstreams, first, 5*time.Second))
	is.Equal(replica.Claims()[Upstreams].FreshAt, time.Duration(0)) // none of it came from the store itself
}

func TestWatermarkRaisesTheRevision(t *testing.T) {
	is := is.New(t)
	replica := newTestReplica(t, "a")
	is.True(!replica.Confirm(Upstreams, Claim{Changed: 9, Revision: 30, FreshAt: time.Second}, time.Second))
	is.Equal(replica.Revision(Upstreams), int64(30))
	is.True(replica.Confirm(Upstreams, Claim{Changed: 31, Revision: 40, FreshAt: 2 * time.Second}, 2*time.Second))
	is.Equal(replica.Revision(Upstreams), int64(30))
}

// A node that polls the store rarely may first see the end of an outage by a claim or an
// update of another node. Entries that lapsed in the outage must be kept then too.
func TestGraceTimeBeginsWithContactThroughAnotherNode(t *testing.T) {
	removal := News{Before: 10, Last: 11, Revision: 11, Changes: []Change{{Gone: "a"}}, FreshAt: 9 * time.Second}
	for name, first := range map[string]func(replica *Book){
		"update that removes the entry": func(*Book) {},
		"claim before the update": func(replica *Book) {
			replica.Confirm(Upstreams, Claim{Changed: 10, Revision: 10, FreshAt: 8 * time.Second}, 8*time.Second)
		},
		"update without changes before": func(replica *Book) {
			replica.Learn(Upstreams, News{Before: 10, Last: 10, Revision: 10, FreshAt: 8 * time.Second}, 8*time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			replica := newTestReplica(t, "a")
			first(replica)
			is.True(replica.Learn(Upstreams, removal, 9*time.Second))
			is.True(replica.View().Upstreams["a"].Missing())
			is.True(replica.Expire(9*time.Second + returnGrace))
			is.Equal(len(replica.View().Upstreams), 0)
		})
	}
}
