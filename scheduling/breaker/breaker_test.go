package breaker

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBreakerOpensAtThresholdAndClosesAfterProbe(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := &Breaker{}
	for range failureThreshold {
		is.True(b.Ready(now))
		b.Sent()
		b.Failed(now)
	}
	is.True(!b.Ready(now))
	now = b.NextProbe()
	is.True(b.Ready(now))
	b.Sent()
	is.True(!b.Ready(now)) // one probe at a time
	b.Failed(now)
	is.Equal(b.NextProbe().Sub(now), 2*minOpenDuration)
	now = b.NextProbe()
	b.Sent()
	b.Abandoned()
	is.True(b.Ready(now))
	b.Sent()
	b.Succeeded()
	is.True(b.Closed())
}

func TestFailuresSentBeforeOpeningDoNotExtendIt(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := &Breaker{}
	for range 100 {
		b.Failed(now) // all were sent before the breaker opened
	}
	is.Equal(b.NextProbe().Sub(now), minOpenDuration)
}
