package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The last upstream of a service is used while it drains, until the time that its report allows.
func TestLastUpstreamIsUsedWhileItDrains(t *testing.T) {
	is := is.New(t)
	f := newFixtureWithoutUpstreams(t)
	f.drainMs = 2500
	f.addEngine("app-1")
	f.startNode("edge-0")
	f.eventually("the node serves", func() bool { return f.call(0, "book", "key-a", nil).status == 200 })
	f.register("app-1", "draining")
	accepted := time.Now()
	runs := len(f.engines["app-1"].Runs())
	for time.Since(accepted) < 500*time.Millisecond {
		is.Equal(f.call(0, "book", "key-a", nil).status, 200)
	}
	is.True(len(f.engines["app-1"].Runs()) > runs)
	f.eventually("the upstream is used no more", func() bool { return f.call(0, "book", "key-a", nil).status == 503 })
	is.True(time.Since(accepted) < 2500*time.Millisecond)
	is.Equal(f.call(0, "book", "key-a", nil).status, 503)
}
