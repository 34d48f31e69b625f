package orders

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestSlotsLimitConcurrentLoads(t *testing.T) {
	is := is.New(t)
	all := func(string) bool { return true }
	slots, ok := Slots{}, false
	for i := range LoadSlots {
		slots, ok = slots.Acquire(fmt.Sprint(i), all)
		is.True(ok)
	}
	_, ok = slots.Acquire("more", all)
	is.True(!ok)
	_, ok = slots.Acquire("0", all)
	is.True(ok) // an engine's next issuer keeps its slot
	_, ok = slots.Release("0").Acquire("more", all)
	is.True(ok)
	slots, ok = slots.Acquire("more", func(engine string) bool { return engine != "3" })
	is.True(ok) // replaces an engine that is no longer configured
	is.Equal(len(slots.Engines), LoadSlots)
}

func TestLoadKindFollowsModelName(t *testing.T) {
	is := is.New(t)
	is.Equal(loadKindOf("adviser"), LoadModel)
	is.Equal(loadKindOf("adviser@7"), LoadVersion)
	is.Equal(loadKindOf("adviser+dock"), LoadAdapter)
}
