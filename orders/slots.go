package orders

import "slices"

// LoadSlots bounds the engines that load from the weight store at once, over
// all nodes.
const LoadSlots = 8

// Slots is the row that bounds loads. An engine keeps its slot when its giver
// changes, so that no clock decides when one is free.
type Slots struct {
	// Engines are the addresses of the engines that load.
	Engines []string `json:"engines"`
}

// Take adds an engine and reports whether it may load. Engines that are no
// longer configured lose their slots.
func (s Slots) Take(engine string, configured func(string) bool) (Slots, bool) {
	kept := Slots{}
	for _, one := range s.Engines {
		if configured(one) {
			kept.Engines = append(kept.Engines, one)
		}
	}
	if slices.Contains(kept.Engines, engine) {
		return kept, true
	}
	if len(kept.Engines) >= LoadSlots {
		return kept, false
	}
	kept.Engines = append(kept.Engines, engine)
	return kept, true
}

// Release frees an engine's slot.
func (s Slots) Release(engine string) Slots {
	kept := slices.Clone(s.Engines)
	return Slots{Engines: slices.DeleteFunc(kept, func(one string) bool { return one == engine })}
}
