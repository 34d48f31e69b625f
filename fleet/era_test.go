package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// readEra replaces both tables by whole reads of an era, as the follower does.
func readEra(r *Replica, era int64, revision int64, now time.Duration, operator, upstreams []Change) {
	for table, changes := range [][]Change{operator, upstreams} {
		if era > r.Era(Table(table)) {
			r.BeginEra(Table(table), era, now)
		}
		r.Replace(Table(table), changes, revision, now, now)
	}
}

func document(version int64) Change {
	configuration := &Configuration{Version: version, Services: map[string]*Service{}}
	configuration.Index()
	return Change{Configuration: configuration}
}

func upstreamState(id string, startedMs int64, draining bool) Change {
	change := upstreamChange(id)
	change.Upstream.StartedMs, change.Upstream.Draining = startedMs, draining
	return change
}

func TestLowerRevisionsOfALaterEraAreRead(t *testing.T) {
	is := is.New(t)
	r := NewReplica()
	readEra(r, 1, 100, 0, []Change{document(5)}, []Change{upstreamState("a", 1, false)})
	readEra(r, 2, 60, time.Second, []Change{document(5)}, []Change{upstreamState("b", 1, false)})
	is.Equal(r.Revision(UpstreamTable), int64(60))
	is.True(r.View().Upstreams["b"] != nil)
	// Versions that were given out again are changes.
	is.True(r.Apply(UpstreamTable, []Change{upstreamState("c", 1, false)}, 61, 61, time.Second, time.Second))
	is.True(r.View().Upstreams["c"] != nil)
}

func TestRestoredStoreDoesNotRevertNewerState(t *testing.T) {
	is := is.New(t)
	r := NewReplica()
	readEra(r, 1, 100, 0, []Change{document(5), {Zone: "z"}}, []Change{upstreamState("drains", 7, true), upstreamState("gone", 7, false)})
	is.True(r.Apply(UpstreamTable, []Change{{Removed: "gone"}}, 101, 101, 0, 0))
	now := time.Second
	// The copy has an older document, no order to empty the zone, and both upstreams as ready.
	readEra(r, 2, 60, now, []Change{document(4)}, []Change{upstreamState("drains", 7, false), upstreamState("gone", 7, false)})
	is.Equal(r.View().Configuration.Version, int64(5))
	is.True(r.View().ZonesOutOfService["z"])
	is.True(r.View().Upstreams["drains"].Draining)
	is.True(r.View().Upstreams["gone"].Draining)
	// Later reads of the same era change nothing about that.
	is.True(r.Replace(OperatorTable, []Change{document(4)}, 62, now, now))
	is.True(r.View().ZonesOutOfService["z"])
	// What ends the holds: a new start, the store's own word, and time.
	is.True(r.Apply(UpstreamTable, []Change{upstreamState("drains", 8, false)}, 63, 63, now, now))
	is.True(!r.View().Upstreams["drains"].Draining)
	is.True(r.Apply(OperatorTable, []Change{{Zone: "z"}, {Zone: "z", InService: true}}, 64, 64, now, now))
	is.True(!r.View().ZonesOutOfService["z"])
	is.True(!r.RemoveExpired(now + goneHold))
	is.True(r.Apply(UpstreamTable, nil, 0, 65, now+goneHold, now+goneHold)) // the store still says so
	is.True(r.RemoveExpired(now + goneHold))
	is.True(!r.View().Upstreams["gone"].Draining)
}

func TestZoneReturnsToServiceAfterTheHold(t *testing.T) {
	is := is.New(t)
	r := NewReplica()
	readEra(r, 1, 100, 0, []Change{document(5), {Zone: "z"}}, nil)
	readEra(r, 2, 60, 0, []Change{document(5)}, nil)
	is.True(!r.RemoveExpired(eraHold))
	is.True(r.Apply(OperatorTable, nil, 0, 61, eraHold, eraHold))
	is.True(r.RemoveExpired(eraHold))
	is.True(!r.View().ZonesOutOfService["z"])
}

func TestNodesOfTwoErasDoNotConfirmEachOther(t *testing.T) {
	is := is.New(t)
	before, after := NewReplica(), NewReplica()
	readEra(before, 1, 100, 0, []Change{document(5)}, []Change{upstreamState("a", 1, false)})
	readEra(after, 2, 60, 0, []Change{document(5)}, []Change{upstreamState("a", 1, false)})
	is.True(after.Apply(UpstreamTable, nil, 0, 120, 9*time.Second, 9*time.Second))
	for table := range tableCount {
		is.True(before.ApplyWatermark(table, after.Watermarks()[table], 9*time.Second)) // it lacks the era
		is.True(!after.ApplyWatermark(table, before.Watermarks()[table], 9*time.Second))
		is.Equal(before.TableFreshAt(table), time.Duration(0))
	}
	update := Update{Table: UpstreamTable, Era: 2, PreviousChange: 60, LastChange: 61, Revision: 61, Changes: []Change{{Removed: "a"}}}
	is.True(!before.ApplyUpdate(UpstreamTable, update, 9*time.Second))
	update.Era = 1
	is.True(after.ApplyUpdate(UpstreamTable, update, 9*time.Second))
	is.True(before.View().Upstreams["a"] != nil)
	is.True(after.View().Upstreams["a"] != nil)
}

// TestUpdateOfAnEarlierEraChangesNothing guards against a node that has not seen the restore yet, whose
// revisions are higher.
func TestUpdateOfAnEarlierEraChangesNothing(t *testing.T) {
	is := is.New(t)
	r := NewReplica()
	readEra(r, 1, 100, 0, []Change{document(5)}, []Change{upstreamState("a", 1, false)})
	readEra(r, 2, 60, time.Second, []Change{document(5)}, []Change{upstreamState("a", 2, false)})
	is.True(r.Apply(UpstreamTable, []Change{upstreamState("b", 2, true)}, 61, 61, 2*time.Second, 2*time.Second))
	late := Update{
		Table: UpstreamTable, Era: 1, PreviousChange: 50, LastChange: 120, Revision: 120, FreshAt: 9 * time.Second,
		Changes: []Change{upstreamState("a", 1, false), upstreamState("b", 1, false), upstreamState("old", 1, false)},
	}
	is.True(r.ApplyUpdate(UpstreamTable, late, 9*time.Second))
	is.Equal(r.Revision(UpstreamTable), int64(61))
	is.Equal(r.TableFreshAt(UpstreamTable), 2*time.Second)
	is.Equal(r.View().Upstreams["a"].StartedMs, int64(2))
	is.True(r.View().Upstreams["b"].Draining)
	is.True(r.View().Upstreams["old"] == nil)
}
