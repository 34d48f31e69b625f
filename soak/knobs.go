package soak

import (
	"sync"

	"github.com/wigeontiller/wigeontiller/standin/fault"
)

// knobs lets several faults act on one stand-in. The mutex keeps two changes
// apart.
type knobs struct {
	mutex   sync.Mutex
	control *fault.Control
}

func newKnobs() *knobs {
	return &knobs{control: new(fault.Control)}
}

// set changes the knobs.
func (k *knobs) set(change func(*fault.Knobs)) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	current := k.control.Knobs()
	change(&current)
	k.control.Set(current)
}
