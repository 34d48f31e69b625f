package entry

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/standin/engine"
	"github.com/wigeontiller/wigeontiller/standin/fault"
)

// TestRequestIsRequeuedUntilFullEngineHasRoom has the engine reject more attempts than a
// request has retries before it has room.
func TestRequestIsRequeuedUntilFullEngineHasRoom(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, engine.Config{Slots: 8, KVTokens: 100_000, PrefillTokensPerSecond: 1_000_000, TokenInterval: fastEngine.TokenInterval})
	f.control.Set(fault.Knobs{Cold: true}) // admits one request at a time
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	first, err := f.postCompletion(ctx, chatBody("a", 20_000, true), nil)
	is.NoErr(err)
	defer func() { _ = first.Body.Close() }()
	status := make(chan int, 1)
	go func() {
		second, err := f.postCompletion(context.Background(), chatBody("b", 3, false), nil)
		if err != nil {
			status <- 0
			return
		}
		text, _ := io.ReadAll(second.Body)
		_ = second.Body.Close()
		if !strings.Contains(string(text), "-3 ") {
			status <- -1
			return
		}
		status <- second.StatusCode
	}()
	eventually(t, "the engine has rejected six attempts", func() bool { return f.engine.Load().Rejected >= 6 })
	disconnect()
	is.Equal(<-status, 200)
	is.Equal(f.engine.Load().Runs, 2)
	is.Equal(len(f.dispatcher.LimitedUpstreams()), 0)
}
