package edge

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/standin/fleetengine"
)

// busiestWindow returns the most arrivals in any window of this length that begins after from.
func busiestWindow(arrivals []time.Time, from time.Time, length time.Duration) int {
	most := 0
	for i, start := range arrivals {
		if start.Before(from) {
			continue
		}
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(start) < length {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestStatedRequestLimitHoldsOverAllNodes guards against nodes that each send, or poll, as if an
// engine's stated limit were not there.
func TestStatedRequestLimitHoldsOverAllNodes(t *testing.T) {
	is := is.New(t)
	const nodes, perSecond = 3, 1
	const allowed = 4*3*perSecond/2 + 5
	f := newFixture(t, nodes)
	f.eventually("the nodes do not serve", func() bool { return f.call(0, "chat", "key-a", nil).status == http.StatusOK })
	f.engines["llm-1"].Set(fleetengine.Knobs{RequestLimit: "1"})
	stated := time.Now()
	var group sync.WaitGroup
	var mutex sync.Mutex
	refused := 0
	for end := stated.Add(9 * time.Second); time.Now().Before(end); time.Sleep(40 * time.Millisecond) {
		for node := range nodes {
			group.Go(func() {
				if f.call(node, "chat", "key-a", nil).status != http.StatusOK {
					mutex.Lock()
					refused++
					mutex.Unlock()
				}
			})
		}
	}
	group.Wait()
	arrivals := f.engines["llm-1"].Arrivals()
	if got := busiestWindow(arrivals, stated.Add(time.Second), 4*time.Second); got > allowed {
		t.Errorf("%d requests in 4 s reached an engine with a limit of 1 a second, allowed %d", got, allowed)
	}
	is.Equal(refused, 0) // the other engines have room
	is.True(len(arrivals) > 3)
	f.engines["llm-1"].Set(fleetengine.Knobs{})
	f.eventually("the engine is not used again after the end of its limit", func() bool {
		before := len(f.engines["llm-1"].Runs())
		for i := range 30 {
			f.call(i%nodes, "chat", "key-a", nil)
		}
		return len(f.engines["llm-1"].Runs())-before >= 5
	})
}
