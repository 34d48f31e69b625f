package placement

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An engine that states more requests than an int holds, or fewer than none, must not look empty.
func TestReportOutOfRangeFreesNoPlaces(t *testing.T) {
	for _, report := range []Report{
		{Queued: math.MaxInt64, Active: math.MaxInt64}, {Queued: math.MaxInt64, Active: 1}, {Queued: math.MinInt64, Active: math.MaxInt64},
		{Queued: 1 << 20, Active: math.MinInt64},
	} {
		is := is.New(t)
		f := newFixture(1, 0)
		f.ApplyReport(time.Second, "e0", report, true)
		l := f.loads["e0"]
		is.True(l.occupied(time.Second) >= 1<<20)
		is.Equal(l.freePlaces(time.Second), 0)
	}
	f := newFixture(1, 0)
	f.ApplyReport(time.Second, "e0", Report{Queued: -5, Active: math.MinInt64}, true)
	is.New(t).Equal(f.loads["e0"].occupied(time.Second), 0)
}
