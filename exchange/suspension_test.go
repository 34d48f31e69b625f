package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/quarantine"
)

// TestResumedProcessHearsOfBlocksBeforeItSends guards against a process that was suspended and sends what
// waits at it before it has read that it crashes upstreams.
func TestResumedProcessHearsOfBlocksBeforeItSends(t *testing.T) {
	const suspended = 2 * time.Second
	for name, before := range map[string]bool{"before the request": true, "between placing and sending": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.exchange.Tick()
			resume := func() {
				f.skew.Add(int64(suspended))
				time.AfterFunc(100*time.Millisecond, func() { f.blockFeature(quarantine.RequestFeature(1)) })
			}
			if before {
				resume()
			} else {
				f.sender.steps = []attemptStep{{status: 200, before: resume}}
			}
			got := f.serve(t, f.plain("safe", "a", 1))
			is.Equal(got.failure.Code, RequestBlocked)
		})
	}
}

func TestResumedProcessServesAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.exchange.Tick()
	f.skew.Add(int64(2 * time.Second))
	started := time.Now()
	is.Equal(f.serve(t, f.plain("safe", "a", 1)).status, 200)
	is.True(time.Since(started) < catchUpTime+200*time.Millisecond)
	f.exchange.Tick()
	started = time.Now()
	is.Equal(f.serve(t, f.plain("safe", "b", 1)).status, 200)
	is.True(time.Since(started) < 100*time.Millisecond)
	f.skew.Add(int64(500 * time.Millisecond)) // a short pause of the process
	is.Equal(f.serve(t, f.plain("safe", "c", 1)).status, 200)
	is.True(time.Since(started) < 100*time.Millisecond)
}
