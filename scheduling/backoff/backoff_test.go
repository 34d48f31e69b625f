package backoff

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPauseGrowsToItsBound(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	bound := firstPause
	for refusals := 1; refusals < 100; refusals++ {
		pause := Delay(refusals, random)
		is.True(pause >= bound/2 && pause <= bound)
		bound = min(2*bound, maxPause)
	}
	first, second := Delay(3, random), Delay(3, random)
	is.True(first != second) // jitter
}

func TestRefusalsWithinAPauseCountOnce(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	var b Backoff
	for range 20 {
		b.Refused(now, 100, random)
	}
	is.True(!b.Ready(now, 100))
	is.True(b.Ready(now, 99)) // smaller work may fit
	b.Refused(now, 50, random)
	is.True(!b.Ready(now, 50))
	is.True(b.Ready(now.Add(firstPause), 100))
	b.Refused(now.Add(firstPause), 100, random)
	is.True(!b.Ready(now.Add(2*firstPause-1-firstPause/2), 100))
	b.Accepted()
	is.True(b.Ready(now, 100))
}
