package orders

import "slices"

// LoadSlots is the most engines that load from the weight store at once, over all
// nodes.
const LoadSlots = 8

// Slots is the row that limits concurrent loads. An engine keeps its slot when its
// issuer changes, so that no clock decides when a slot is free.
type Slots struct {
	// Engines are the addresses of the engines that load.
	Engines []string `json:"engines"`
}

// Acquire adds an engine and reports whether it may load. Engines that are no
// longer configured lose their slots.
func (s Slots) Acquire(engine string, configured func(string) bool) (Slots, bool) {
	kept := Slots{}
	for _, address := range s.Engines {
		if configured(address) {
			kept.Engines = append(kept.Engines, address)
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
	return Slots{Engines: slices.DeleteFunc(kept, func(address string) bool { return address == engine })}
}
