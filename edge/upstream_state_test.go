package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/standin/fleetengine"
	"github.com/wigeontiller/wigeontiller/standin/fleetstore"
)

// TestRestoredStoreRevertsNothing restores the store from a backup that lacks a document that took
// a key away, an order to empty a zone, and an upstream's word that it drains.
func TestRestoredStoreRevertsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	is.Equal(f.call(0, "look", "key-b", nil).status, http.StatusOK)
	backup := f.store.Backup()
	f.configure("key-a")
	f.register("app-1", "draining")
	f.eventually("the key was not revoked", func() bool {
		return f.call(0, "look", "key-b", nil).status == http.StatusUnauthorized && f.call(1, "look", "key-b", nil).status == http.StatusUnauthorized
	})
	f.eventually("the upstream did not drain", func() bool {
		before := len(f.engines["app-1"].Runs())
		for i := range 12 {
			f.call(i%2, "look", "key-a", nil)
		}
		return len(f.engines["app-1"].Runs()) == before
	})
	f.store.Restore(backup)
	drained := len(f.engines["app-1"].Runs())
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for node := range f.nodes {
			is.Equal(f.call(node, "look", "key-b", nil).status, http.StatusUnauthorized)
			is.Equal(f.call(node, "look", "key-a", nil).status, http.StatusOK)
		}
	}
	is.Equal(len(f.engines["app-1"].Runs()), drained)
	// What is written from now on counts, though its versions were given out before.
	f.configure("key-a", "key-c")
	f.eventually("a new document was passed over", func() bool { return f.call(1, "look", "key-c", nil).status == http.StatusOK })
	f.eventually("the nodes' list was not written again", func() bool { return f.store.Rows("wigeontiller-nodes") == 2 })
}

func TestNodeStartedAfterRestoreLearnsNewerState(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1)
	backup := f.store.Backup()
	f.configure("key-a")
	f.eventually("the key was not revoked", func() bool { return f.call(0, "look", "key-b", nil).status == http.StatusUnauthorized })
	f.store.Restore(backup)
	time.Sleep(time.Second)
	f.startNode("edge-late")
	f.eventually("the late node kept the backup's state", func() bool { return f.call(1, "look", "key-b", nil).status == http.StatusUnauthorized })
	is.Equal(f.call(1, "look", "key-a", nil).status, http.StatusOK)
}

func TestStoreWithoutErasIsFollowed(t *testing.T) {
	f := newFixture(t, 1)
	f.store.Set(fleetstore.Knobs{NoEra: true})
	f.configure("key-a", "key-c")
	f.eventually("a new document was passed over", func() bool { return f.call(0, "look", "key-c", nil).status == http.StatusOK })
}

func TestUpstreamThatSaysItLeavesGetsNothingMore(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1)
	f.engines["app-1"].Set(fleetengine.Knobs{Leaving: true})
	f.eventually("the leaving upstream got no request", func() bool {
		f.call(0, "book", "key-a", nil)
		return len(f.engines["app-1"].Runs()) > 0
	})
	left := len(f.engines["app-1"].Runs())
	f.register("app-1", "ready") // the store's entry says nothing of it
	for range 30 {
		is.Equal(f.call(0, "look", "key-a", nil).status, http.StatusOK)
	}
	is.Equal(len(f.engines["app-1"].Runs()), left)
}

func TestUpstreamsThatWantNothingAreLeftAlone(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1)
	for _, id := range []string{"app-1", "app-2"} {
		f.engines[id].Set(fleetengine.Knobs{Full: true, RetryAfter: "1.5"})
	}
	refused := f.call(0, "book", "key-a", nil)
	is.Equal(refused.status, http.StatusServiceUnavailable)
	for _, id := range []string{"app-1", "app-2"} {
		f.engines[id].Set(fleetengine.Knobs{})
	}
	started := time.Now()
	again := f.call(0, "book", "key-a", nil)
	is.Equal(again.status, http.StatusServiceUnavailable) // at once, and with a time to come back
	is.True(time.Since(started) < 500*time.Millisecond)
	is.True(again.header.Get("Retry-After") != "")
	is.Equal(len(f.runs()), 0)
	f.eventually("the pause did not end", func() bool { return f.call(0, "book", "key-a", nil).status == http.StatusOK })
}
