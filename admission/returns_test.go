package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReturnsAreSpreadOverTheWindow refuses 1,000 requests at once whose callers have 10 s left: in no
// tenth of the window do more than twice as many come back as on average.
func TestReturnsAreSpreadOverTheWindow(t *testing.T) {
	is := is.New(t)
	const count, parts = 1000, 10
	random, r := rand.New(rand.NewPCG(1, 2)), NewReturns()
	earliest, latest := 500*time.Millisecond, 3300*time.Millisecond
	var returning [parts]int
	for range count {
		after := r.Plan(0, random.Uint64(), 0, Forecast{Clearing: earliest}, latest)
		is.True(after >= earliest && after <= latest)
		returning[min(parts-1, int(parts*(after-earliest)/(latest-earliest)))]++
	}
	for _, n := range returning {
		is.True(n <= 2*count/parts)
	}
}

func TestMoreUrgentRequestsComeBackFirst(t *testing.T) {
	is := is.New(t)
	const identity = 12345
	plan := func(priority uint8) time.Duration {
		return NewReturns().Plan(0, identity, priority, Forecast{Clearing: time.Second}, 3*time.Second)
	}
	is.True(plan(0) < plan(1) && plan(1) < plan(2))
	is.True(plan(9) <= 3*time.Second)
}

func TestNoTimeIsNamedWhereNoneHelps(t *testing.T) {
	is := is.New(t)
	r := NewReturns()
	is.Equal(r.Plan(0, 1, 0, Forecast{Clearing: 2 * time.Second}, time.Second), time.Duration(0))
	is.Equal(r.Plan(0, 2, 0, Forecast{}, minReturn/2), time.Duration(0))
	is.True(!r.InTurn(0, 1))
}

func TestReturnInTurnIsKnownAndMemoryBounded(t *testing.T) {
	is := is.New(t)
	r := NewReturns()
	after := r.Plan(0, 1, 0, Forecast{Clearing: time.Second}, 3*time.Second)
	is.True(!r.InTurn(after/2, 1)) // too early
	is.True(r.Early(after/2, 1) && !r.Early(after, 1) && !r.Early(after/2, 2))
	is.True(r.InTurn(after, 1))
	is.True(!r.InTurn(after+returnTTL+time.Millisecond, 1)) // too late
	is.True(!r.InTurn(after, 2))
	for identity := range uint64(3 * maxReturns) {
		r.Plan(0, identity+10, 0, Forecast{Clearing: time.Second}, 3*time.Second)
	}
	is.Equal(len(r.due), maxReturns)
	is.Equal(len(r.order), maxReturns)
}

func TestCallersComeBackLaterWhileTheLoadGrows(t *testing.T) {
	is := is.New(t)
	const window = 3 * time.Second
	for identity := range uint64(100) {
		is.True(NewReturns().Plan(0, identity<<9, 0, Forecast{Growing: true}, window) >= window/2)
	}
}
