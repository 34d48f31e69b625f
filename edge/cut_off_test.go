package edge

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/standin/fleetengine"
)

// cutLoad sends sound requests of all kinds to nodes for a time, and returns how many were sent and how
// many were served.
func (f *fixture) cutLoad(nodes []int, length time.Duration) (sent, served int64) {
	const interval = 25 * time.Millisecond
	var group sync.WaitGroup
	var complete atomic.Int64
	for end := time.Now().Add(length); time.Now().Before(end); sent++ {
		node, kind := nodes[int(sent)%len(nodes)], []string{"look", "chat", "book"}[sent%3]
		group.Go(func() {
			got := f.call(node, kind, "key-a", func(r *http.Request) { r.URL.Path = fmt.Sprintf("/%s/%d", kind, requestCount.Load()) })
			if got.err == nil && got.status == http.StatusOK {
				complete.Add(1)
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
	return sent, complete.Load()
}

// TestNodesCutOffFromAllUpstreamsServeTheirCallers guards against nodes that refuse their callers because they
// reach no upstream, while other nodes do.
func TestNodesCutOffFromAllUpstreamsServeTheirCallers(t *testing.T) {
	const nodes, detectTime, length = 3, time.Second, 2 * time.Second
	for name, mode := range map[string]linkMode{"refused": linkRefused, "reset": linkReset, "silent": linkSilent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, nodes)
			cut := []int{0, 1}
			f.cutLoad([]int{0, 1, 2}, time.Second)
			for _, node := range cut {
				f.nodes[node].link.set(mode)
			}
			f.cutLoad(cut, detectTime)
			runs := len(f.runs())
			if sent, served := f.cutLoad(cut, length); served < sent*95/100 {
				t.Errorf("%d of %d requests were served at nodes that are cut off", served, sent)
			} else if ran := int64(len(f.runs()) - runs); ran > sent {
				t.Errorf("%d requests ran %d times", sent, ran)
			}
			for _, node := range cut {
				f.nodes[node].link.set(linkUp)
			}
			f.cutLoad(cut, detectTime)
			if sent, served := f.cutLoad(cut, length); served < sent*95/100 {
				t.Errorf("%d of %d requests were served after the cut", served, sent)
			}
		})
	}
}

// TestHandoverIsTakenFromNodesOnly guards against callers who pass for a node, and nodes that pass on what
// callers or upstreams say in the nodes' own headers.
func TestHandoverIsTakenFromNodesOnly(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	f.cutLoad([]int{0, 1}, 300*time.Millisecond)
	f.nodes[0].link.set(linkReset)
	f.cutLoad([]int{0}, 500*time.Millisecond)
	claimed := func(r *http.Request) {
		r.Header.Set("Wigeontiller-Handover", "1")
		r.Header.Set("Wigeontiller-Waited", "1000000000")
	}
	is.Equal(f.call(0, "look", "key-a", claimed).status, http.StatusOK) // still handed over, and not expired
	is.Equal(f.call(1, "look", "key-a", claimed).status, http.StatusOK)
	is.Equal(f.call(0, "look", "unknown", claimed).status, http.StatusUnauthorized)
	for _, run := range f.runs() {
		for name := range run.Header {
			is.True(!strings.HasPrefix(name, "Wigeontiller-"))
		}
		is.Equal(run.Header.Get("Authorization"), "")
		is.Equal(run.Organisation, "works")
	}
}

// TestCallerThatLeavesEndsRequestAtBothNodes guards against work for callers that are gone.
func TestCallerThatLeavesEndsRequestAtBothNodes(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	f.cutLoad([]int{0, 1}, 300*time.Millisecond)
	f.nodes[0].link.set(linkReset)
	f.cutLoad([]int{0}, 500*time.Millisecond)
	for _, engine := range f.engines {
		engine.Set(fleetengine.Knobs{Unresponsive: true})
	}
	ctx, cancel := context.WithCancel(t.Context())
	before := len(f.runs())
	done := make(chan callResult, 1)
	go func() { done <- f.call(0, "book", "key-a", func(r *http.Request) { *r = *r.WithContext(ctx) }) }()
	f.eventually("the request did not arrive", func() bool { return len(f.runs()) == before+1 })
	cancel()
	is.True((<-done).err != nil)
	left := time.Now()
	f.eventually("the run goes on", func() bool { return slices.ContainsFunc(f.runs(), func(r fleetengine.Run) bool { return r.Cut }) })
	is.True(time.Since(left) < 500*time.Millisecond)
}

// TestNodeThatEndsMidwayRunsNothingTwice ends the node that serves another one's requests, by shutdown.
func TestNodeThatEndsMidwayRunsNothingTwice(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	f.cutLoad([]int{0, 1, 2}, 300*time.Millisecond)
	f.nodes[0].link.set(linkReset)
	f.cutLoad([]int{0}, 500*time.Millisecond)
	stopped := time.AfterFunc(500*time.Millisecond, f.nodes[1].stop)
	defer stopped.Stop()
	sent, served := f.cutLoad([]int{0}, 2*time.Second)
	if served < sent*95/100 {
		t.Errorf("%d of %d requests were served", served, sent)
	}
	runs := map[string]int{}
	for _, run := range f.runs() {
		if strings.HasPrefix(run.Path, "/book/") {
			runs[run.ID]++
			is.True(runs[run.ID] == 1)
		}
	}
}
