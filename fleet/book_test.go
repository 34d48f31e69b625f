package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func entry(id string) Change {
	return Change{Upstream: &Upstream{ID: id, Service: "s", Address: "10.0.0.1:1", Zone: "a"}}
}

func bookWith(t *testing.T, ids ...string) *Replica {
	t.Helper()
	book := NewReplica()
	var changes []Change
	for _, id := range ids {
		changes = append(changes, entry(id))
	}
	site := &Configuration{Version: 5, Services: map[string]*Service{}}
	site.Index()
	is.New(t).True(book.Replace(OperatorTable, []Change{{Configuration: site}}, 10, 0, 0))
	is.New(t).True(book.Replace(UpstreamTable, changes, 10, 0, 0))
	return book
}

func TestAnOlderAnswerChangesNothing(t *testing.T) {
	is := is.New(t)
	book := bookWith(t, "a", "b")
	is.True(!book.Replace(UpstreamTable, []Change{entry("a")}, 9, time.Second, time.Second))
	is.True(!book.Apply(UpstreamTable, []Change{{Removed: "a"}}, 9, 9, time.Second, time.Second))
	is.Equal(len(book.View().Upstreams), 2)
	is.Equal(book.TableFreshAt(UpstreamTable), time.Duration(0)) // a stale answer makes nothing fresher
}

func TestTheSiteNeverGoesBack(t *testing.T) {
	is := is.New(t)
	book := bookWith(t)
	is.True(book.Apply(OperatorTable, []Change{{Configuration: &Configuration{Version: 4}}}, 11, 11, 0, 0))
	is.Equal(book.View().Configuration.Version, int64(5))
	is.True(book.Apply(OperatorTable, []Change{{Configuration: &Configuration{Version: 9}}}, 12, 12, 0, 0))
	is.Equal(book.View().Configuration.Version, int64(9))
}

func TestFreshnessCountsFromTheQuestion(t *testing.T) {
	is := is.New(t)
	book := bookWith(t)
	is.True(book.Apply(OperatorTable, nil, 11, 11, 3*time.Second, 4*time.Second))
	is.Equal(book.TableFreshAt(OperatorTable), 3*time.Second)
	is.Equal(book.FreshAt(), time.Duration(0)) // the other table is older
	is.Equal(book.Age(4*time.Second), 4*time.Second)
}

func TestEntriesThatLapsedInAnOutageMayReturn(t *testing.T) {
	is := is.New(t)
	book := bookWith(t, "a", "b")
	book.RecordFailure(UpstreamTable)
	now := 10 * time.Second
	is.True(book.Apply(UpstreamTable, []Change{{Removed: "a"}, {Removed: "b"}}, 12, 12, now, now))
	is.Equal(len(book.View().Upstreams), 2)
	is.True(book.View().Upstreams["a"].Missing())
	is.True(book.Apply(UpstreamTable, []Change{entry("a")}, 13, 13, now+time.Second, now+time.Second))
	is.True(!book.View().Upstreams["a"].Missing())
	is.True(!book.RemoveExpired(now + lapseGrace - 1))
	is.True(book.RemoveExpired(now + lapseGrace))
	is.Equal(len(book.View().Upstreams), 1) // b did not return
}

func TestEntriesRemovedInCalmTimesAreGoneAtOnce(t *testing.T) {
	is := is.New(t)
	book := bookWith(t, "a")
	is.True(book.Apply(UpstreamTable, []Change{{Removed: "a"}}, 12, 12, time.Second, time.Second))
	is.Equal(len(book.View().Upstreams), 0)
}

func TestADrainingEntryDoesNotReturn(t *testing.T) {
	is := is.New(t)
	book := bookWith(t, "a")
	leaving := entry("a")
	leaving.Upstream.Draining = true
	is.True(book.Apply(UpstreamTable, []Change{leaving}, 11, 11, time.Second, time.Second))
	book.RecordFailure(UpstreamTable)
	now := 20 * time.Second
	is.True(book.Apply(UpstreamTable, []Change{{Removed: "a"}}, 12, 12, now, now))
	is.Equal(len(book.View().Upstreams), 0)
}

func TestRowsMissingFromAWholeReadAreGone(t *testing.T) {
	is := is.New(t)
	book := bookWith(t, "a", "b")
	is.True(book.Replace(UpstreamTable, []Change{entry("b")}, 12, time.Second, time.Second))
	is.Equal(len(book.View().Upstreams), 1)
	is.True(book.Replace(OperatorTable, []Change{{Zone: "x"}}, 12, time.Second, time.Second))
	is.True(book.View().ZonesOutOfService["x"])
	is.True(book.Replace(OperatorTable, nil, 13, time.Second, time.Second))
	is.Equal(len(book.View().ZonesOutOfService), 0)
	is.Equal(book.View().Configuration.Version, int64(5)) // the document is never dropped
}

func TestAViewThatWasGivenOutDoesNotChange(t *testing.T) {
	is := is.New(t)
	book := bookWith(t, "a")
	before := book.View()
	is.True(book.Apply(UpstreamTable, []Change{entry("b")}, 12, 12, 0, 0))
	is.True(book.Apply(OperatorTable, []Change{{Zone: "z"}}, 12, 12, 0, 0))
	is.Equal(len(before.Upstreams), 1)
	is.Equal(len(before.ZonesOutOfService), 0)
}

func TestTheLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	site := &Configuration{Routes: []Route{
		{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "g", Prefix: "/a/b/c/"},
	}}
	site.Index()
	is.Equal(site.Route("h", "/a/b/c/d").Name, "long")
	is.Equal(site.Route("h", "/a/x").Name, "short")
	is.True(site.Route("h", "/a") == nil)
	is.True(site.Route("x", "/a/b/") == nil)
}

func TestWeightsAreKept(t *testing.T) {
	is := is.New(t)
	route := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	is.Equal(route.ChooseService(0), "a")
	is.Equal(route.ChooseService(0.89), "a")
	is.Equal(route.ChooseService(0.91), "b")
	is.Equal(route.ChooseService(0.999), "b")
	is.Equal((&Route{}).ChooseService(0.5), "")
}
