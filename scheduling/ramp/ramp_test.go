package ramp

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/environment"
)

func TestSlotsRiseFromInitialPercentToAll(t *testing.T) {
	is := is.New(t)
	bounds := environment.Ramp{InitialPercent: 10, Duration: 30 * time.Second}
	now := time.Unix(1000, 0)
	var r Ramp
	is.Equal(r.Slots(now, bounds, 100), 100)
	r.Start(now)
	is.Equal(r.Slots(now, bounds, 100), 10)
	is.Equal(r.Slots(now.Add(15*time.Second), bounds, 100), 55)
	is.Equal(r.Slots(now.Add(30*time.Second), bounds, 100), 100)
	is.Equal(r.Slots(now, bounds, 4), 1)
	is.Equal(r.Slots(now, bounds, 0), 0)
}
