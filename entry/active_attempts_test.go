package entry

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/standin/engine"
	"github.com/wigeontiller/wigeontiller/standin/fault"
)

func TestAttemptIsActiveUntilEngineReleasesIt(t *testing.T) {
	for _, test := range []struct {
		name        string
		loseCancels int
		stream      bool
	}{{"whole answer", 0, false}, {"stream", 0, true}, {"stream whose cancel is lost", 2, true}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, engine.Config{Slots: 2, KVTokens: 100_000, PrefillTokensPerSecond: 3_000, TokenInterval: time.Millisecond})
			f.server.config.Owner = "node/1"
			f.control.Set(fault.Knobs{LoseCancels: test.loseCancels})
			ctx, disconnect := context.WithCancel(context.Background())
			go func() {
				response, err := f.postCompletion(ctx, chatBody(strings.Repeat("a", 80_000), 10, test.stream), nil)
				if err == nil {
					_ = response.Body.Close()
				}
			}()
			eventually(t, "the request runs", func() bool { return f.engine.Load().Running == 1 })
			listed := f.engine.Load().Streams[0]
			is.Equal(listed.Owner, "node/1")
			is.True(f.server.HasActiveAttempt(listed.ID))
			is.True(!f.server.HasActiveAttempt("another"))
			disconnect()
			eventually(t, "no attempt is active", func() bool { return len(f.server.ActiveAttempts()) == 0 })
			is.Equal(len(f.engine.Load().Streams), 0) // the engine ended it first
		})
	}
}
