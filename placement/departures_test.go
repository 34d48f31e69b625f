package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReportDoesNotCountRequestsThatHaveLeft plays a report that is some 100 ms old: it counts requests
// that have ended since, whose slots are free.
func TestReportDoesNotCountRequestsThatHaveLeft(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 0)
	now := time.Second
	var running []Decision
	for range 16 {
		running = append(running, f.Submit(now, f.request(now, 2_000)))
	}
	f.ApplyLoadUpdates(now, "other", []LoadUpdate{{Hash: f.loads["e0"].hash, Totals: Totals{Running: 2}}}, false)
	now += 200 * time.Millisecond
	f.End(now, running[0].ID, Answered, "")
	f.ApplyLoadUpdates(now, "other", []LoadUpdate{{Hash: f.loads["e0"].hash}}, false)
	f.ApplyReport(now, "e0", Report{SpeedFactor: 1, Active: 18}, true)
	is.True(f.Submit(now, f.request(now, 2_000)).Lead != nil)
	// A later report can't mean them any more.
	now += 3 * maxReportAge
	f.End(now, running[1].ID, Answered, "")
	f.ApplyReport(now, "e0", Report{SpeedFactor: 1, Active: 18}, true)
	is.True(f.Submit(now, f.request(now, 2_000)).Lead == nil)
}
