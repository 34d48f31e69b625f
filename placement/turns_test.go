package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An entry without slots has no limit of places: a draw for each of them held the scheduler's lock for good, and all
// requests of the node hung.
func TestDrawForAnyNumberOfPlacesIsBounded(t *testing.T) {
	is := is.New(t)
	for _, free := range []int{1, 64, 64 + 1, 1 << 20, math.MaxInt32, math.MaxInt64} {
		draws := 0
		var turns turns
		turns.draw(time.Second, free, 0.25, func() float64 {
			draws++
			if draws > 1000 {
				t.Fatalf("%d draws for %d places", draws, free)
			}
			return 0.5
		})
		is.True(draws >= 1 && draws <= maxDraws)
		is.True(turns.won >= 0 && turns.won <= free)
	}
}

// Beyond the places that are drawn for, the expected number is won.
func TestDrawWinsItsShareOfManyPlaces(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	won := 0
	for range 1000 {
		var turns turns
		turns.draw(time.Second, 1000, 0.3, random.Float64)
		won += turns.won
	}
	is.True(math.Abs(float64(won)/1000-300) < 3)
}
