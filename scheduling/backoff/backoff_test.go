package backoff

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDelayDoublesUpToMaxDelay(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	bound := initialDelay
	for refusals := 1; refusals < 100; refusals++ {
		delay := Delay(refusals, random)
		is.True(delay >= bound/2 && delay <= bound)
		bound = min(2*bound, maxDelay)
	}
	first, second := Delay(3, random), Delay(3, random)
	is.True(first != second) // jitter
}

func TestBackoffCountsRefusalsDuringDelayOnce(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	var b Backoff
	for range 20 {
		b.Refused(now, 100, random)
	}
	is.True(!b.Ready(now, 100))
	is.True(b.Ready(now, 99)) // a smaller request may fit
	b.Refused(now, 50, random)
	is.True(!b.Ready(now, 50))
	is.True(b.Ready(now.Add(initialDelay), 100))
	b.Refused(now.Add(initialDelay), 100, random)
	is.True(!b.Ready(now.Add(2*initialDelay-1-initialDelay/2), 100))
	b.Accepted()
	is.True(b.Ready(now, 100))
}
