package periodic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestRunCallsOncePerIntervalUntilContextDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5500*time.Millisecond)
		defer cancel()
		calls := 0
		Run(ctx, time.Second, func() { calls++ })
		is.New(t).Equal(calls, 5)
	})
}
