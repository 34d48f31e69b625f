package breaker

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOpensProbesAndCloses(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := &Breaker{}
	for range threshold {
		is.True(b.Ready(now))
		b.Sent()
		b.Failed(now)
	}
	is.True(!b.Ready(now))
	now = b.NextProbe()
	is.True(b.Ready(now))
	b.Sent()
	is.True(!b.Ready(now)) // one trial at a time
	b.Failed(now)
	is.Equal(b.NextProbe().Sub(now), 2*shortest)
	now = b.NextProbe()
	b.Sent()
	b.Abandoned()
	is.True(b.Ready(now))
	b.Sent()
	b.Succeeded()
	is.True(b.Closed())
}

func TestOldFailuresDoNotExtend(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := &Breaker{}
	for range 100 {
		b.Failed(now) // all were sent before it opened
	}
	is.Equal(b.NextProbe().Sub(now), shortest)
}
