package orders

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestSlotsBoundLoads(t *testing.T) {
	is := is.New(t)
	all := func(string) bool { return true }
	slots, ok := Slots{}, false
	for i := range LoadSlots {
		slots, ok = slots.Take(fmt.Sprint(i), all)
		is.True(ok)
	}
	_, ok = slots.Take("more", all)
	is.True(!ok)
	_, ok = slots.Take("0", all)
	is.True(ok) // the next giver of an engine goes on with its slot
	_, ok = slots.Release("0").Take("more", all)
	is.True(ok)
	slots, ok = slots.Take("more", func(engine string) bool { return engine != "3" })
	is.True(ok) // in place of one that is no longer configured
	is.Equal(len(slots.Engines), LoadSlots)
}

func TestKindOfAnOrder(t *testing.T) {
	is := is.New(t)
	is.Equal(kindOf("adviser"), LoadModel)
	is.Equal(kindOf("adviser@7"), LoadVersion)
	is.Equal(kindOf("adviser+dock"), LoadAdapter)
}
