package edge

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/standin/fleetengine"
)

// crashTarget is the path and query of a request that crashes upstreams.
const crashTarget = "/look/crash?y=1"

// crashRequestFixture runs nodes before three upstreams of a plain service that crashTarget crashes and
// that are back after downTime.
func crashRequestFixture(t *testing.T, nodes int, downTime time.Duration) *fixture {
	f := newFixture(t, nodes)
	f.addEngine("app-3")
	for _, id := range []string{"app-1", "app-2", "app-3"} {
		f.engines[id].DownTime = downTime
		f.engines[id].Set(fleetengine.Knobs{CrashTarget: crashTarget, RunTime: 5 * time.Millisecond})
	}
	for i := range nodes {
		f.eventually("the nodes do not know the upstreams", func() bool { return f.look(i, "sound").status == http.StatusOK })
	}
	time.Sleep(50 * time.Millisecond)
	return f
}

// look sends a request of a safe route with this last element of its path to a node.
func (f *fixture) look(node int, name string) callResult {
	return f.call(node, "look", "key-a", func(r *http.Request) { r.URL.Path = "/look/" + name })
}

// TestRequestThatCrashesUpstreamsIsBlockedOnAllNodes guards against nodes that send a request that comes
// again to one upstream after the other, although each ends under it.
func TestRequestThatCrashesUpstreamsIsBlockedOnAllNodes(t *testing.T) {
	is := is.New(t)
	// Two upstreams end in a calm service, and one more request may be under way.
	const nodes, requests, maxCrashes, interval, downTime = 3, 40, 3, 100 * time.Millisecond, 500 * time.Millisecond
	f := crashRequestFixture(t, nodes, downTime)
	var group sync.WaitGroup
	var sent, served atomic.Int64
	for i := range requests {
		group.Go(func() { f.look(i%nodes, "crash") })
		time.Sleep(interval / 2)
		// The upstreams are back.
		if i > requests/2 {
			group.Go(func() {
				sent.Add(1)
				if f.look(i%nodes, fmt.Sprint("sound", i)).status == http.StatusOK {
					served.Add(1)
				}
			})
		}
		time.Sleep(interval / 2)
	}
	group.Wait()
	if got := f.crashes(); got > maxCrashes {
		t.Errorf("%d upstreams crashed, at most %d expected", got, maxCrashes)
	}
	is.True(served.Load() >= sent.Load()*95/100) // sound requests of the same route
}

// TestBlockedRequestOutlivesAllNodes guards against nodes that learn by new crashes what nodes that
// are gone knew.
func TestBlockedRequestOutlivesAllNodes(t *testing.T) {
	is := is.New(t)
	const nodes, downTime = 3, 300 * time.Millisecond
	f := crashRequestFixture(t, nodes, downTime)
	for i := range 8 {
		f.look(i%nodes, "crash")
		time.Sleep(downTime / 2)
	}
	before := f.crashes()
	is.True(before <= 3)
	f.eventually("the block was not stored", func() bool { return f.store.Rows("wigeontiller-nodes") > nodes })
	for _, node := range f.nodes {
		node.stop()
	}
	for _, node := range f.nodes {
		is.NoErr(<-node.done)
	}
	for i := range nodes {
		f.startNode(fmt.Sprintf("edge-%d", i))
	}
	for i := range 6 {
		f.look(nodes+i%nodes, "crash")
		time.Sleep(downTime / 2)
	}
	is.Equal(f.crashes(), before)
	is.Equal(f.look(nodes, "sound").status, http.StatusOK)
}

// TestRequestThatSilencesUpstreamsIsBlocked guards against a request under which upstreams end without closing
// their connections, so that it looks like one that takes too long.
func TestRequestThatSilencesUpstreamsIsBlocked(t *testing.T) {
	// Three upstreams end before the first is known to have, and one more request may be under way.
	const nodes, requests, maxCrashes, interval, downTime = 3, 40, 4, 100 * time.Millisecond, 800 * time.Millisecond
	f := crashRequestFixture(t, nodes, downTime)
	for _, id := range []string{"app-1", "app-2", "app-3"} {
		f.engines[id].Set(fleetengine.Knobs{CrashTarget: crashTarget, CrashSilently: true})
	}
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() { f.look(i%nodes, "crash") })
		time.Sleep(interval)
	}
	group.Wait()
	if got := f.crashes(); got > maxCrashes {
		t.Errorf("%d upstreams ended, at most %d expected", got, maxCrashes)
	}
	if got := f.look(0, "sound"); got.status != http.StatusOK {
		t.Errorf("a sound request got %d", got.status)
	}
}
