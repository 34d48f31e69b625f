package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/follow"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// Callers that come back while a node reads its first view were refused, which used up their retries.
func TestRequestWaitsForTheFirstViewOfANodeThatStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := func() time.Duration { return time.Hour }
		follower := follow.New(staticSource{}, clock, zerolog.Nop(), telemetry.NewMetrics())
		waited := func(e *Exchange) time.Duration {
			started := time.Now()
			e.AwaitView(t.Context())
			return time.Since(started)
		}
		e := New(Config{Follower: follower})
		time.AfterFunc(300*time.Millisecond, e.ViewReady)
		is.Equal(waited(e), 300*time.Millisecond)
		is.Equal(waited(e), time.Duration(0))
		late := New(Config{Follower: follower})
		is.Equal(waited(late), startupWait)
		is.Equal(waited(late), time.Duration(0)) // a node that is not starting refuses at once
	})
}
