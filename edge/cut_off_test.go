package edge

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
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
