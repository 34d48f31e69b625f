package exchange

import (
	"testing"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/placement"
)

// TestWatchdogOfPeerRunsWhileNodeIsRecorded guards against a data race: a node that is silent for long is given up
// while the attempt learns which node it was.
func TestWatchdogOfPeerRunsWhileNodeIsRecorded(t *testing.T) {
	f := newFixture(t)
	handler := f.exchange.newHandler(f.request("safe"), &recordingWriter{})
	for range 100 {
		decision := &placement.Decision{ID: "r/handover", Lead: &fleet.Upstream{}}
		watch := handler.startWatchdog(t.Context(), decision, true, func() time.Duration { return 0 })
		watch.setPeer("edge-b")
		<-watch.ctx.Done()
		watch.stop()
	}
}
