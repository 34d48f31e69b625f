package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func upstreamChange(id string) Change {
	return Change{Upstream: &Upstream{ID: id, Service: "s", Address: "10.0.0.1:1", Zone: "a"}}
}

func newTestReplica(t *testing.T, ids ...string) *Replica {
	t.Helper()
	replica := NewReplica()
	var changes []Change
	for _, id := range ids {
		changes = append(changes, upstreamChange(id))
	}
	configuration := &Configuration{Version: 5, Services: map[string]*Service{}}
	configuration.Index()
	is.New(t).True(replica.Replace(OperatorTable, []Change{{Configuration: configuration}}, 10, 0, 0))
	is.New(t).True(replica.Replace(UpstreamTable, changes, 10, 0, 0))
	return replica
}

func TestReplicaIgnoresAnswersOlderThanItsRevision(t *testing.T) {
	is := is.New(t)
	replica := newTestReplica(t, "a", "b")
	is.True(!replica.Replace(UpstreamTable, []Change{upstreamChange("a")}, 9, time.Second, time.Second))
	is.True(!replica.Apply(UpstreamTable, []Change{{Removed: "a"}}, 9, 9, time.Second, time.Second))
	is.Equal(len(replica.View().Upstreams), 2)
	is.Equal(replica.TableFreshAt(UpstreamTable), time.Duration(0)) // a stale answer does not update the time
}

func TestReplicaIgnoresOlderConfigurationVersion(t *testing.T) {
	is := is.New(t)
	replica := newTestReplica(t)
	is.True(replica.Apply(OperatorTable, []Change{{Configuration: &Configuration{Version: 4}}}, 11, 11, 0, 0))
	is.Equal(replica.View().Configuration.Version, int64(5))
	is.True(replica.Apply(OperatorTable, []Change{{Configuration: &Configuration{Version: 9}}}, 12, 12, 0, 0))
	is.Equal(replica.View().Configuration.Version, int64(9))
}

func TestFreshAtIsWhenTheCallBegan(t *testing.T) {
	is := is.New(t)
	replica := newTestReplica(t)
	is.True(replica.Apply(OperatorTable, nil, 11, 11, 3*time.Second, 4*time.Second))
	is.Equal(replica.TableFreshAt(OperatorTable), 3*time.Second)
	is.Equal(replica.FreshAt(), time.Duration(0)) // that of the other table, which is older
	is.Equal(replica.Age(4*time.Second), 4*time.Second)
}

func TestEntriesRemovedAfterAnOutageAreKeptForTheGraceTime(t *testing.T) {
	is := is.New(t)
	replica := newTestReplica(t, "a", "b")
	replica.RecordFailure(UpstreamTable)
	now := 10 * time.Second
	is.True(replica.Apply(UpstreamTable, []Change{{Removed: "a"}, {Removed: "b"}}, 12, 12, now, now))
	is.Equal(len(replica.View().Upstreams), 2)
	is.True(replica.View().Upstreams["a"].Missing())
	is.True(replica.Apply(UpstreamTable, []Change{upstreamChange("a")}, 13, 13, now+time.Second, now+time.Second))
	is.True(!replica.View().Upstreams["a"].Missing())
	is.True(!replica.RemoveExpired(now + returnGrace - 1))
	is.True(replica.RemoveExpired(now + returnGrace))
	is.Equal(len(replica.View().Upstreams), 1) // b did not return
}

func TestEntriesRemovedWithoutAnOutageAreDroppedAtOnce(t *testing.T) {
	is := is.New(t)
	replica := newTestReplica(t, "a")
	is.True(replica.Apply(UpstreamTable, []Change{{Removed: "a"}}, 12, 12, time.Second, time.Second))
	is.Equal(len(replica.View().Upstreams), 0)
}

func TestDrainingEntryIsDroppedAtOnceAfterAnOutage(t *testing.T) {
	is := is.New(t)
	replica := newTestReplica(t, "a")
	draining := upstreamChange("a")
	draining.Upstream.Draining = true
	is.True(replica.Apply(UpstreamTable, []Change{draining}, 11, 11, time.Second, time.Second))
	replica.RecordFailure(UpstreamTable)
	now := 20 * time.Second
	is.True(replica.Apply(UpstreamTable, []Change{{Removed: "a"}}, 12, 12, now, now))
	is.Equal(len(replica.View().Upstreams), 0)
}

func TestReplaceDropsMissingRowsButNotTheConfiguration(t *testing.T) {
	is := is.New(t)
	replica := newTestReplica(t, "a", "b")
	is.True(replica.Replace(UpstreamTable, []Change{upstreamChange("b")}, 12, time.Second, time.Second))
	is.Equal(len(replica.View().Upstreams), 1)
	is.True(replica.Replace(OperatorTable, []Change{{Zone: "x"}}, 12, time.Second, time.Second))
	is.True(replica.View().ZonesOutOfService["x"])
	is.True(replica.Replace(OperatorTable, nil, 13, time.Second, time.Second))
	is.Equal(len(replica.View().ZonesOutOfService), 0)
	is.Equal(replica.View().Configuration.Version, int64(5)) // the document is never dropped
}

func TestReturnedViewDoesNotChange(t *testing.T) {
	is := is.New(t)
	replica := newTestReplica(t, "a")
	before := replica.View()
	is.True(replica.Apply(UpstreamTable, []Change{upstreamChange("b")}, 12, 12, 0, 0))
	is.True(replica.Apply(OperatorTable, []Change{{Zone: "z"}}, 12, 12, 0, 0))
	is.Equal(len(before.Upstreams), 1)
	is.Equal(len(before.ZonesOutOfService), 0)
}

func TestRouteReturnsTheLongestPrefix(t *testing.T) {
	is := is.New(t)
	configuration := &Configuration{Routes: []Route{
		{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "g", Prefix: "/a/b/c/"},
	}}
	configuration.Index()
	is.Equal(configuration.Route("h", "/a/b/c/d").Name, "long")
	is.Equal(configuration.Route("h", "/a/x").Name, "short")
	is.True(configuration.Route("h", "/a") == nil)
	is.True(configuration.Route("x", "/a/b/") == nil)
}

func TestChooseFollowsTheWeights(t *testing.T) {
	is := is.New(t)
	route := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	is.Equal(route.ChooseService(0), "a")
	is.Equal(route.ChooseService(0.89), "a")
	is.Equal(route.ChooseService(0.91), "b")
	is.Equal(route.ChooseService(0.999), "b")
	is.Equal((&Route{}).ChooseService(0.5), "")
}

// The store accepted a report that an upstream drains after the view was last complete without it.
func TestDrainingSinceIsTheLastTimeAtWhichTheUpstreamWasReady(t *testing.T) {
	is := is.New(t)
	r := NewReplica()
	is.True(r.Replace(UpstreamTable, []Change{upstreamState("a", 1, false), upstreamState("old", 1, true)}, 10, 1*time.Second, 1100*time.Millisecond))
	is.Equal(r.View().Upstreams["old"].DrainingSince, time.Duration(0)) // unknown since when
	is.True(r.Apply(UpstreamTable, nil, 0, 10, 2*time.Second, 2100*time.Millisecond))
	is.True(r.Apply(UpstreamTable, []Change{upstreamState("a", 1, true)}, 11, 11, 3*time.Second, 3100*time.Millisecond))
	is.Equal(r.View().Upstreams["a"].DrainingSince, 2*time.Second)
	// Repeated reports change nothing, a new start does.
	is.True(r.Apply(UpstreamTable, []Change{upstreamState("a", 1, true)}, 12, 12, 4*time.Second, 4*time.Second))
	is.Equal(r.View().Upstreams["a"].DrainingSince, 2*time.Second)
	is.True(r.Apply(UpstreamTable, []Change{upstreamState("a", 2, true)}, 13, 13, 5*time.Second, 5*time.Second))
	is.Equal(r.View().Upstreams["a"].DrainingSince, time.Duration(0))
}

func TestDrainingSinceIsUnknownAfterTheStoreWasRestored(t *testing.T) {
	is := is.New(t)
	r := NewReplica()
	readEra(r, 1, 100, time.Second, []Change{document(5)}, []Change{upstreamState("a", 1, false)})
	readEra(r, 2, 60, 2*time.Second, []Change{document(5)}, []Change{upstreamState("a", 1, false)})
	is.True(r.Apply(UpstreamTable, []Change{upstreamState("a", 1, true)}, 61, 61, 3*time.Second, 3*time.Second))
	is.Equal(r.View().Upstreams["a"].DrainingSince, time.Duration(0))
}
